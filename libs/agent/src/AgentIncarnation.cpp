// Tracks the worker's incarnation, its lease and its task list.

#include "AgentState.h"

#include <algorithm>

namespace amaranthwind::agent {

using namespace std::chrono_literals;

namespace {

/** Lowest rate of the worker's clock relative to real time. */
constexpr double kMinClockRate = 0.98;
/** Margin past the end of a lease before its tasks are assumed to be stopped.
 */
constexpr Duration kExpiryMargin = 300ms;
/** Interval of holds while ended tasks await their acknowledgement. */
constexpr Duration kUnacknowledgedEndInterval = 150ms;
/**
 * A deregistered worker that closes so many connections in a row has ended. One
 * closed connection may be a fault of the network.
 */
constexpr std::uint32_t kMinClosedHolds = 3;
/**
 * Ends are acknowledged only so long after an answered hold. A worker that has
 * been silent for longer may have restarted under its id.
 */
constexpr Duration kMaxAnswerAge = 500ms;
/** Interval of holds that find out whether a deregistered worker has ended. */
constexpr Duration kDeregisteredPollInterval = 300ms;
/**
 * Longer checkpoints are left out. Messages and records hold those of many
 * tasks, and each has a limit.
 */
constexpr std::size_t kMaxCheckpointBytes = 4096;
/** Well above the seconds that an unanswered request may take to arrive. */
constexpr Duration kMaxRequestDelay = 30s;

/** Formats a time in milliseconds, or "none". */
std::string
ToLogText(const std::optional<WorkerClockTime>& aTime)
{
  return aTime ? std::to_string(aTime->count()) : "none";
}

} // namespace

void
WorkerAgent::State::RunAfterDelay(Duration aDelay,
                                  std::function<void(State&)> aTask)
{
  this->executor.RunAfter(
    aDelay, [weak = this->weak_from_this(), task = std::move(aTask)] {
      const auto self = weak.lock();
      if (self != nullptr && !self->isStopped) {
        task(*self);
      }
    });
}

void
WorkerAgent::State::BeginIncarnation(const dispatch::WorkerInfo& aInfo)
{
  this->EndIncarnation("replaced");
  this->givenLease.BeginLife(aInfo.life.id == this->lastWorkerId);
  this->workerInfo = aInfo;
  this->registeredAt = this->clock.Now();
  this->incarnationStart = this->registeredAt;
  this->lastWorkerId = aInfo.life.id;
  this->logger.Info("worker registered",
                    { { "worker", aInfo.life.id },
                      { "born", aInfo.life.born },
                      { "draining", aInfo.isDraining ? "yes" : "no" } });
  // A life that had been taken for over goes on.
  this->unacknowledgedEnds = this->pastEnds.Take(aInfo.life);
  this->CancelLateStarts();
  this->ContinueHoldLoop();
}

void
WorkerAgent::State::EndIncarnation(std::string_view aReason)
{
  if (this->workerInfo) {
    this->logger.Info(
      "worker removed",
      { { "worker", this->workerInfo->life.id },
        { "born", this->workerInfo->life.born },
        { "reason", aReason },
        { "running", this->listedTasks.size() },
        { "unacknowledgedEnds", this->unacknowledgedEnds.size() } });
    this->pastEnds.Add(this->workerInfo->life,
                       std::exchange(this->unacknowledgedEnds, {}),
                       this->clock.Now());
    this->LimitPastEnds();
  }
  ++this->incarnationNumber;
  const auto life =
    this->workerInfo ? this->workerInfo->life : ledger::WorkerIncarnation{};
  this->workerInfo.reset();
  for (const auto& [run, state] : this->runs) {
    if (state.mayTakeEffectLate || !this->listedTasks.contains(run)) {
      // Also a stop whose start was sent by an earlier process.
      this->lateStarts.try_emplace(
        run, LateStart{ life, this->clock.Now(), 1, false });
    }
  }
  this->runs.clear();
  this->listedTasks.clear();
  this->lastAcknowledgedEnd = 0;
  this->lastDiscardedEnd = 0;
  this->lastHoldAnswerAt = {};
  this->hasTaskList = false;
  this->mayHaveMoreEnds = false;
  this->waitingRequests.clear();
  this->requestsInFlight = 0;
  this->isHoldInFlight = false;
  this->consecutiveHoldFailures = 0;
  // The coordinator may give the runs of this incarnation up from now on.
  this->grantUntil = {};
  this->leaseBound = {};
  this->workerClock.reset();
  this->holdBackoff.Reset();
}

void
WorkerAgent::State::AwaitNextIncarnation()
{
  this->lateStartsUntil =
    this->clock.Now() + this->options.maxLease + kExpiryMargin;
}

bool
WorkerAgent::State::IsDeregistered(const ledger::WorkerIncarnation& aLife) const
{
  return std::find(this->deregisteredLives.begin(),
                   this->deregisteredLives.end(),
                   aLife) != this->deregisteredLives.end();
}

const char*
WorkerAgent::State::EndOfDeregisteredWorker(base::ErrorCode aFailure)
{
  if (!this->IsDeregistered(this->workerInfo->life)) {
    return nullptr;
  }
  if (aFailure == base::ErrorCode::ConnectFailed) {
    return "deregistered, and its address is closed";
  }
  if (aFailure == base::ErrorCode::UnknownPath) {
    return "deregistered, and its address belongs to another worker";
  }
  if (aFailure != base::ErrorCode::ConnectionClosed) {
    return nullptr;
  }
  ++this->closedHolds;
  return this->wasAnsweringUntilDeregistration &&
             this->closedHolds >= kMinClosedHolds
           ? "deregistered, and it closes its connections"
           : nullptr;
}

void
WorkerAgent::State::AwaitWorkerEnd()
{
  this->RunAfterDelay(kDeregisteredPollInterval,
                      [number = this->incarnationNumber](State& aSelf) {
                        if (aSelf.incarnationNumber == number) {
                          aSelf.HoldNow();
                          aSelf.AwaitWorkerEnd();
                        }
                      });
}

void
WorkerAgent::State::ForgetLateStarts()
{
  std::erase_if(
    this->lateStarts,
    [oldest = this->clock.Now() - kMaxRequestDelay](const auto& aStart) {
      return aStart.second.sentAt < oldest;
    });
}

void
WorkerAgent::State::CancelLateStarts()
{
  this->ForgetLateStarts();
  const auto& life = this->workerInfo->life;
  for (const auto& [run, start] : this->lateStarts) {
    if (start.life.id != life.id ||
        (start.life.born == life.born && start.isAccepted)) {
      continue;
    }
    this->logger.Info(
      "cancelling an unanswered start to an earlier life of the worker",
      { { "task", ToLogText(run) },
        { "sentTo", start.life.born },
        { "born", life.born } });
    Run& cancelled = this->runs[run];
    cancelled.phase = RunPhase::Stopping;
    cancelled.isCancellationOnly = true;
    this->SendStop(run);
  }
}

void
WorkerAgent::State::LimitPastEnds()
{
  for (const auto& each : this->pastEnds.Limit(this->clock.Now())) {
    this->logger.Warning("ends of an earlier life of the worker discarded",
                         { { "worker", each.life.id },
                           { "born", each.life.born },
                           { "count", each.count },
                           { "reason", each.reason } });
  }
}

bool
WorkerAgent::State::HasUncancelledRequests() const
{
  if (!this->workerInfo) {
    return this->clock.Now() < this->lateStartsUntil &&
           std::any_of(this->lateStarts.begin(),
                       this->lateStarts.end(),
                       [this](const auto& aStart) {
                         return aStart.second.life.id == this->lastWorkerId;
                       });
  }
  return std::any_of(
    this->runs.begin(), this->runs.end(), [](const auto& aRun) {
      return aRun.second.isCancellationOnly;
    });
}

bool
WorkerAgent::State::IsGranted() const
{
  return this->clock.Now() < this->grantUntil;
}

std::optional<WorkerClockTime>
WorkerAgent::State::LeaseDeadline() const
{
  const TimePoint now = this->clock.Now();
  if (!this->workerClock || now >= this->grantUntil ||
      (this->workerInfo && this->IsDeregistered(this->workerInfo->life))) {
    return std::nullopt;
  }
  const Duration sinceReading = now - this->workerClock->second;
  const Duration left = std::min(this->grantUntil - this->workerClock->second,
                                 sinceReading + this->options.maxLease);
  return this->workerClock->first +
         std::chrono::duration_cast<WorkerClockTime>(left * kMinClockRate);
}

void
WorkerAgent::State::ExtendLeaseBound(WorkerClockTime aDeadline)
{
  this->leaseBound = std::max(this->leaseBound, this->grantUntil);
  // A lapse before the request would not be seen any more afterwards.
  if (const auto clock = this->EarliestWorkerClock()) {
    this->LogLapse(*clock);
  }
  this->givenLease.OnDeadline(aDeadline);
}

std::optional<WorkerClockTime>
WorkerAgent::State::EarliestWorkerClock() const
{
  if (!this->workerClock) {
    return std::nullopt;
  }
  const Duration sinceReading = this->clock.Now() - this->workerClock->second;
  return this->workerClock->first +
         std::chrono::floor<WorkerClockTime>(sinceReading * kMinClockRate);
}

void
WorkerAgent::State::LogLapse(WorkerClockTime aClock)
{
  if (!this->givenLease.TakeLapse(aClock)) {
    return;
  }
  const auto& ends = this->unacknowledgedEnds;
  this->logger.Info(
    "lease of the worker has lapsed",
    { { "worker", this->workerInfo->life.id },
      { "born", this->workerInfo->life.born },
      { "pastDeadlineMs", ToLogText(this->givenLease.TimePast(aClock)) },
      { "running", this->listedTasks.size() },
      { "unacknowledgedEnds", ends.size() },
      { "firstEnd", ends.empty() ? 0 : ends.begin()->first },
      { "lastEnd", ends.empty() ? 0 : ends.rbegin()->first } });
}

void
WorkerAgent::State::ContinueHoldLoop()
{
  if (!this->workerInfo || this->isHoldInFlight) {
    return;
  }
  this->isHoldInFlight = true;
  const bool isBusy = !this->runs.empty() || !this->listedTasks.empty();
  const auto wait = !this->hasTaskList || !this->unacknowledgedEnds.empty()
                      ? 0ms
                    : isBusy ? this->options.busyHoldWait
                             : this->options.idleHoldWait;
  this->Hold(wait, [](State& aSelf, bool aIsAnswered) {
    aSelf.isHoldInFlight = false;
    const Duration pause = !aIsAnswered ? aSelf.holdBackoff.Next()
                           : aSelf.unacknowledgedEnds.empty()
                             ? Duration::zero()
                             : kUnacknowledgedEndInterval;
    if (pause == Duration::zero()) {
      aSelf.ContinueHoldLoop();
      return;
    }
    aSelf.RunAfterDelay(pause,
                        [](State& aAgain) { aAgain.ContinueHoldLoop(); });
  });
}

void
WorkerAgent::State::HoldNow()
{
  this->Hold(0ms, [](State&, bool) {});
}

void
WorkerAgent::State::Hold(std::chrono::milliseconds aWait,
                         void (*aContinuation)(State&, bool))
{
  HoldRequest request;
  request.worker = this->workerInfo->life.id;
  request.token = this->token;
  // While holds fail, the lease is not extended: a hold that takes effect late
  // would otherwise keep the tasks of an unresponsive worker alive forever.
  if (this->consecutiveHoldFailures == 0) {
    request.deadline = this->LeaseDeadline();
  }
  // A hold that arrives at the next life under this id would discard ends that
  // nobody has seen.
  if (this->lastAcknowledgedEnd > this->lastDiscardedEnd &&
      this->clock.Now() - this->lastHoldAnswerAt <= kMaxAnswerAge) {
    request.lastSeen = this->lastAcknowledgedEnd;
  }
  request.wait = aWait;
  if (request.deadline) {
    this->ExtendLeaseBound(*request.deadline);
  }
  this->worker.Hold(request,
                    this->BindToIncarnation<base::Result<HoldReply>>(
                      [number = ++this->lastHoldNumber,
                       lastSeen = request.lastSeen,
                       aContinuation](State& aSelf, const auto& aAnswer) {
                        aSelf.OnHoldAnswer(
                          aAnswer, number, lastSeen, aContinuation);
                      }));
}

void
WorkerAgent::State::OnHoldAnswer(const base::Result<HoldReply>& aAnswer,
                                 std::uint64_t aNumber,
                                 std::uint64_t aLastSeen,
                                 void (*aContinuation)(State&, bool))
{
  if (aAnswer.has_error()) {
    this->logger.Warning("hold request to the worker failed",
                         { { "worker", this->workerInfo->life.id },
                           { "error", base::Describe(aAnswer.error()) } });
    ++this->consecutiveHoldFailures;
    if (const char* reason =
          this->EndOfDeregisteredWorker(aAnswer.error().code)) {
      this->EndIncarnation(reason);
      this->AwaitNextIncarnation();
      this->ReportChange();
      return;
    }
    // A previous daemon may have granted the worker a lease of maximum length.
    const TimePoint bound = std::max(
      this->leaseBound, this->incarnationStart + this->options.maxLease);
    // A fenced worker answers, and lists its ends once the agent knows the
    // newest token. Until its first list nothing is reported of it.
    const bool isAwaitingToken =
      aAnswer.error().code == base::ErrorCode::StaleToken && !this->hasTaskList;
    if (!isAwaitingToken && this->clock.Now() > bound + kExpiryMargin) {
      // The lease has expired, so the worker can no longer run anything.
      this->EndIncarnation("silent");
      this->ReportChange();
      return;
    }
    aContinuation(*this, false);
    return;
  }
  const HoldReply& answer = aAnswer.value();
  if (answer.born != 0 && answer.born != this->workerInfo->life.born) {
    // The worker has restarted and has not registered yet.
    if (!this->hasTaskList) {
      // The registration may have been late, and the coordinator may know the
      // life that answers. A report without a worker would release its tasks
      // while they run.
      this->hasRegistered = false;
    }
    this->EndIncarnation("restarted");
    this->AwaitNextIncarnation();
    this->ReportChange();
    return;
  }
  this->holdBackoff.Reset();
  this->consecutiveHoldFailures = 0;
  this->lastDiscardedEnd = std::max(this->lastDiscardedEnd, aLastSeen);
  this->closedHolds = 0;
  const TimePoint now = this->clock.Now();
  this->lastHoldAnswerAt = now;
  if (!this->workerClock || answer.clock > this->workerClock->first) {
    this->workerClock = { answer.clock, now };
  }
  this->givenLease.OnClock(answer.clock);
  this->LogLapse(answer.clock);
  if (aNumber > this->taskListHoldNumber) {
    this->ApplyTaskList(answer, aNumber);
  } else if (this->AdoptEnds(answer)) {
    // A hold that waited is answered after later ones. Its list of what runs is
    // outdated, but an end is listed for good.
    for (const auto& end : answer.ended) {
      this->listedTasks.erase(end.run);
      this->runs.erase(end.run);
    }
    this->ReportChange();
  }
  aContinuation(*this, true);
}

void
WorkerAgent::State::ApplyTaskList(const HoldReply& aAnswer,
                                  std::uint64_t aNumber)
{
  this->taskListHoldNumber = aNumber;
  this->mayHaveMoreEnds = aAnswer.mayHaveMoreEnds;
  bool hasChanges = !std::exchange(this->hasTaskList, true);
  this->listedTasks.clear();
  for (const auto& task : aAnswer.running) {
    RunningTask& listed = this->listedTasks[task.run];
    listed = task;
    this->LimitCheckpoint(task.run, listed.checkpoint);
  }
  hasChanges = this->AdoptEnds(aAnswer) || hasChanges;
  std::set<TaskRun> ended;
  for (const auto& [number, end] : this->unacknowledgedEnds) {
    ended.insert(end.run);
  }
  for (auto position = this->runs.begin(); position != this->runs.end();) {
    const auto current = position++;
    if (ended.contains(current->first) ||
        this->ResolveRun(current->first, current->second)) {
      if (current->second.isCancellationOnly) {
        this->logger.Info(
          "unanswered start to an earlier life of the worker ruled out",
          { { "task", ToLogText(current->first) },
            { "wasStopped", ended.contains(current->first) ? "yes" : "no" } });
      }
      this->runs.erase(current);
      hasChanges = true;
    }
  }
  if (hasChanges) {
    this->ReportChange();
  }
}

bool
WorkerAgent::State::AdoptEnds(const HoldReply& aAnswer)
{
  bool hasNewEnds = false;
  for (const auto& end : aAnswer.ended) {
    const auto [added, isNew] =
      end.number > this->lastAcknowledgedEnd
        ? this->unacknowledgedEnds.emplace(end.number, end)
        : std::pair(this->unacknowledgedEnds.end(), false);
    if (isNew) {
      hasNewEnds = true;
      this->endRecorder.OnListed(this->workerInfo->life, end);
      this->LimitCheckpoint(end.run, added->second.checkpoint);
      this->logger.Info(
        "task ended",
        { { "task", ToLogText(end.run) },
          { "number", end.number },
          { "kind", static_cast<unsigned>(end.kind) },
          { "pastDeadlineMs",
            ToLogText(this->givenLease.TimePast(aAnswer.clock)) },
          { "mayHaveOtherDeadline",
            this->givenLease.MayHaveOther(aAnswer.clock) ? "yes" : "no" } });
    }
  }
  return hasNewEnds;
}

void
WorkerAgent::State::LimitCheckpoint(const TaskRun& aRun,
                                    std::string& aCheckpoint)
{
  if (aCheckpoint.size() > kMaxCheckpointBytes) {
    this->logger.Warning(
      "checkpoint left out: too long",
      { { "task", ToLogText(aRun) }, { "bytes", aCheckpoint.size() } });
    aCheckpoint.clear();
  }
}

bool
WorkerAgent::State::ResolveRun(const TaskRun& aRun, const Run& aState)
{
  const bool isAnswered =
    aState.phase == RunPhase::Started || aState.phase == RunPhase::Stopped;
  if (!isAnswered || this->mayHaveMoreEnds ||
      this->taskListHoldNumber <= aState.lastHoldBeforeAccept ||
      this->listedTasks.contains(aRun)) {
    return false;
  }
  if (aState.phase == RunPhase::Stopped && !aState.isCancellationOnly) {
    this->ReportOutcome(aRun, OrderOutcome::Absent);
  }
  return true;
}

} // namespace amaranthwind::agent
