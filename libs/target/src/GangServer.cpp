#include "GangServer.h"

#include "TaskLabel.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace amaranthwind::target {

using gang::AttemptKey;
using protocol::ConnectionId;
using namespace std::chrono_literals;

namespace {

constexpr base::Duration kTaskPollInterval = 200ms;

std::chrono::milliseconds
ToMilliseconds(base::Duration aDuration)
{
  return std::chrono::ceil<std::chrono::milliseconds>(aDuration);
}

/** Returns the fence of a message if its type has one. */
struct FenceOf
{
  std::optional<gang::Fence> operator()(const gang::Prepare& aMessage) const
  {
    return aMessage.fence;
  }
  std::optional<gang::Fence> operator()(const gang::Commit& aMessage) const
  {
    return aMessage.fence;
  }
  std::optional<gang::Fence> operator()(const gang::Abort& aMessage) const
  {
    return aMessage.fence;
  }
  std::optional<gang::Fence> operator()(const gang::StopGang& aMessage) const
  {
    return aMessage.fence;
  }
  template<typename M>
  std::optional<gang::Fence> operator()(const M&) const
  {
    return std::nullopt;
  }
};

gang::MemberResult
ToResult(TaskState aState)
{
  switch (aState) {
    case TaskState::Succeeded:
      return gang::MemberResult::Succeeded;
    case TaskState::Stopped:
      return gang::MemberResult::Stopped;
    default:
      return gang::MemberResult::Failed;
  }
}

telemetry::GangResult
ToMetric(TaskState aState, bool aWasStarted)
{
  if (!aWasStarted) {
    return telemetry::GangResult::NotRun;
  }
  switch (aState) {
    case TaskState::Succeeded:
      return telemetry::GangResult::Succeeded;
    case TaskState::Stopped:
      return telemetry::GangResult::Preempted;
    default:
      return telemetry::GangResult::Failed;
  }
}

} // namespace

GangServer::GangServer(const base::TargetId& aWorker,
                       const base::ZoneId& aCell,
                       const fleet::Resources& aCapacity,
                       const base::Clock& aClock,
                       base::EventLoop& aLoop,
                       protocol::Node& aNode,
                       WorkerClient& aClient,
                       EntryDirectory& aEntries,
                       const telemetry::TargetMetrics& aMetrics,
                       telemetry::Logger& aLogger)
  : cell(aCell)
  , clock(aClock)
  , loop(aLoop)
  , node(aNode)
  , client(aClient)
  , entries(aEntries)
  , metrics(aMetrics)
  , logger(aLogger)
  , member(aWorker, aCapacity)
{
}

void
GangServer::Start(std::function<void()> aReady)
{
  this->readyHandler = std::move(aReady);
  this->ListTasks();
}

void
GangServer::ListTasks()
{
  this->client.List([this](auto aResult) {
    this->loop.Post([this, result = std::move(aResult)] {
      if (result.has_error()) {
        // Registering the worker now would offer accelerators that tasks of
        // the previous daemon may still hold.
        this->logger.Warning("failed to list the tasks of the worker",
                             { { "error", base::Describe(result.error()) } });
        this->nextListAttempt = this->clock.Now() + this->listBackoff.Next();
        return;
      }
      this->AdoptTasks(result.value());
      this->hasAdoptedTasks = true;
      this->readyHandler();
    });
  });
}

void
GangServer::AdoptTasks(std::span<const WorkerTask> aTasks)
{
  for (const auto& task : aTasks) {
    if (task.state != TaskState::Running) {
      continue;
    }
    const auto adopted = DecodeTaskLabel(task.label);
    if (adopted.has_error()) {
      this->logger.Warning("task with invalid label ignored",
                           { { "task", task.id } });
      continue;
    }
    const auto& plan = adopted.value().plan;
    this->tasks[gang::KeyOf(*plan)] = { task.id, plan,  adopted.value().rank,
                                        true,    false, {} };
    this->logger.Info("task adopted", { { "task", task.id } });
    gang::AdoptTask event = adopted.value();
    event.leaseLeft = task.leaseLeft;
    this->Handle(event, std::nullopt);
  }
}

void
GangServer::OnMessage(ConnectionId aConnection, const gang::MemberEvent& aEvent)
{
  if (!this->hasAdoptedTasks) {
    // A gang that is not known yet would be answered with a stop. Members
    // repeat their heartbeats, and entries learn of this worker only later.
    return;
  }
  if (const auto fence = std::visit(FenceOf{}, aEvent)) {
    Coordinator& coordinator = this->coordinators[fence->cell];
    if (fence->token >= coordinator.token) {
      coordinator = { fence->token, aConnection };
    } else {
      this->metrics.staleTokens.Increment();
    }
  }
  this->Handle(aEvent, aConnection);
}

void
GangServer::Handle(const gang::MemberEvent& aEvent,
                   std::optional<ConnectionId> aSender)
{
  this->currentSender = aSender;
  this->isHandlingTick = std::holds_alternative<gang::Tick>(aEvent);
  const auto effects = this->member.Handle(this->clock.Now(), aEvent);
  for (const auto& effect : effects) {
    std::visit([this](const auto& aEffect) { this->Apply(aEffect); }, effect);
  }
}

void
GangServer::OnTick()
{
  const auto now = this->clock.Now();
  if (this->nextListAttempt && now >= *this->nextListAttempt) {
    this->nextListAttempt.reset();
    this->ListTasks();
  }
  const auto due = this->member.NextDeadline();
  if (due && now >= *due) {
    this->Handle(gang::Tick{}, std::nullopt);
  }
  if (!this->tasks.empty() && !this->isPollingTasks &&
      now >= this->nextTaskPoll) {
    this->PollTasks();
  }
}

void
GangServer::PollTasks()
{
  this->isPollingTasks = true;
  this->nextTaskPoll = this->clock.Now() + kTaskPollInterval;
  this->client.List([this](auto aResult) {
    this->loop.Post([this, result = std::move(aResult)] {
      this->isPollingTasks = false;
      if (result.has_value()) {
        this->OnTaskList(result.value());
      }
    });
  });
}

void
GangServer::OnTaskList(const std::vector<WorkerTask>& aTasks)
{
  std::vector<std::pair<AttemptKey, TaskState>> ended;
  for (const auto& held : this->tasks) {
    const Task& task = held.second;
    if (!task.isStarted) {
      continue;
    }
    const auto found =
      std::find_if(aTasks.begin(), aTasks.end(), [&](const auto& aTask) {
        return aTask.id == task.id;
      });
    if (found == aTasks.end()) {
      // The worker has restarted and lost the task.
      ended.emplace_back(held.first, TaskState::Expired);
    } else if (found->state != TaskState::Running) {
      ended.emplace_back(held.first, found->state);
    }
  }
  for (const auto& [key, state] : ended) {
    this->EndTask(key, state);
  }
}

void
GangServer::EndTask(const AttemptKey& aKey, TaskState aState)
{
  const auto found = this->tasks.find(aKey);
  if (found == this->tasks.end()) {
    return;
  }
  this->logger.Info("task ended",
                    { { "task", found->second.id },
                      { "state", static_cast<unsigned>(aState) } });
  if (found->second.isStopping) {
    this->metrics.taskStopTime.Observe(this->clock.Now() -
                                       found->second.stopRequestedAt);
  }
  const bool wasStarted = found->second.isStarted;
  this->metrics.Tasks(ToMetric(aState, wasStarted)).Increment();
  this->tasks.erase(found);
  this->Handle(gang::TaskEnded{ aKey, ToResult(aState) }, std::nullopt);
}

void
GangServer::Apply(const gang::SendToCoordinator& aEffect)
{
  const auto connection = this->CoordinatorOf(aEffect.cell);
  if (!connection) {
    this->logger.Warning(
      "message dropped: coordinator is unknown or not connected",
      { { "cell", aEffect.cell } });
    return;
  }
  std::visit(
    [&](const auto& aMessage) { this->node.Send(*connection, aMessage); },
    aEffect.message);
}

void
GangServer::Apply(const gang::SendToPeer& aEffect)
{
  const auto connection = aEffect.worker.IsEmpty()
                            ? this->currentSender
                            : this->ConnectToPeer(aEffect.address);
  if (!connection) {
    return;
  }
  std::visit(
    [&](const auto& aMessage) { this->node.Send(*connection, aMessage); },
    aEffect.message);
}

void
GangServer::Apply(const gang::QueryOutcome& aEffect)
{
  const auto connection = aEffect.askAnyEntry
                            ? this->entries.NextEntry()
                            : this->CoordinatorOf(aEffect.query.cell);
  if (connection) {
    this->node.Send(*connection, aEffect.query);
  }
}

void
GangServer::Apply(const gang::StartTask& aEffect)
{
  const AttemptKey key = aEffect.key;
  Task task{
    MakeTaskId(key, aEffect.rank), aEffect.plan, aEffect.rank, false, false, {}
  };
  TaskSpec spec;
  spec.id = task.id;
  spec.accelerators =
    aEffect.plan->members[aEffect.rank].resources.accelerators;
  spec.payload = aEffect.plan->payload;
  spec.label = EncodeTaskLabel({ this->cell, aEffect.plan, aEffect.rank, {} });
  spec.lease = ToMilliseconds(aEffect.lease);
  this->logger.Info("starting task", { { "task", task.id } });
  this->tasks[key] = std::move(task);
  this->client.Start(spec, [this, key](const base::Result<void>& aResult) {
    this->loop.Post(
      [this, key, result = aResult] { this->OnStartResult(key, result); });
  });
}

void
GangServer::OnStartResult(const AttemptKey& aKey,
                          const base::Result<void>& aResult)
{
  const auto found = this->tasks.find(aKey);
  if (found == this->tasks.end()) {
    return;
  }
  if (aResult.has_value()) {
    found->second.isStarted = true;
    this->Handle(gang::TaskStarted{ aKey }, std::nullopt);
    return;
  }
  this->logger.Warning("failed to start task",
                       { { "task", found->second.id },
                         { "error", base::Describe(aResult.error()) } });
  // The task may have started although the response was lost.
  this->client.Stop(found->second.id, false, [](const auto&) {});
  this->EndTask(aKey, TaskState::Failed);
}

void
GangServer::Apply(const gang::RenewLease& aEffect)
{
  const auto found = this->tasks.find(aEffect.key);
  if (found != this->tasks.end()) {
    this->client.Renew(
      found->second.id, ToMilliseconds(aEffect.lease), [](const auto&) {});
  }
}

void
GangServer::Apply(const gang::StopTask& aEffect)
{
  const auto found = this->tasks.find(aEffect.key);
  if (found == this->tasks.end()) {
    return;
  }
  if (!found->second.isStopping) {
    found->second.stopRequestedAt = this->clock.Now();
    if (this->isHandlingTick) {
      this->metrics.gangStops.Increment();
    }
  }
  found->second.isStopping = true;
  this->logger.Info("stopping task", { { "task", found->second.id } });
  this->client.Stop(found->second.id,
                    aEffect.grace > base::Duration::zero(),
                    [](const auto&) {});
}

std::optional<ConnectionId>
GangServer::CoordinatorOf(const base::ZoneId& aCell) const
{
  const auto found = this->coordinators.find(aCell);
  if (found != this->coordinators.end()) {
    return found->second.connection;
  }
  return this->entries.CoordinatorOf(aCell);
}

ConnectionId
GangServer::ConnectToPeer(const std::string& aAddress)
{
  const auto found = this->peerConnections.find(aAddress);
  if (found != this->peerConnections.end()) {
    return found->second;
  }
  const auto connection = this->node.Connect(aAddress);
  this->peerConnections[aAddress] = connection;
  return connection;
}

void
GangServer::OnClosed(ConnectionId aConnection)
{
  std::erase_if(this->peerConnections,
                [&](const auto& aPeer) { return aPeer.second == aConnection; });
  std::erase_if(this->coordinators, [&](const auto& aCoordinator) {
    return aCoordinator.second.connection == aConnection;
  });
}

std::vector<protocol::HeldGang>
GangServer::HeldGangs() const
{
  std::vector<protocol::HeldGang> held;
  for (const auto& status : this->member.Status()) {
    const auto found = this->tasks.find(status.key);
    protocol::HeldGang gang;
    gang.plan.gang = status.key.gang;
    gang.plan.token = status.key.planToken;
    if (found != this->tasks.end()) {
      gang.plan.members = found->second.plan->members;
    }
    gang.rank = status.rank;
    gang.phase = status.phase;
    held.push_back(std::move(gang));
  }
  return held;
}

GangStatus
GangServer::Status() const
{
  GangStatus status;
  status.gangs = this->member.Status();
  for (const auto& [key, task] : this->tasks) {
    status.tasks.push_back(
      { task.id, key, task.rank, task.isStarted, task.isStopping });
  }
  return status;
}

void
GangServer::Drain()
{
  this->Handle(gang::Drain{}, std::nullopt);
}

void
GangServer::HandOver()
{
  this->Handle(gang::HandOver{}, std::nullopt);
}

} // namespace amaranthwind::target
