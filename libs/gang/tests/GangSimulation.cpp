#include "GangSimulation.h"

#include <numeric>

using namespace std::chrono_literals;

namespace amaranthwind::gang::testing {

namespace {

constexpr fleet::Resources kCapacity{ 8, 64, 1024 };

} // namespace

GangSimulation::GangSimulation(std::uint64_t aSeed, std::size_t aWorkers)
  : random(aSeed)
  , workers(aWorkers)
{
  for (std::size_t index = 0; index < aWorkers; ++index) {
    this->RestartDaemon(index);
  }
  this->AddCoordinator();
}

double
GangSimulation::Draw()
{
  return std::uniform_real_distribution<double>(0, 1)(this->random);
}

base::Duration
GangSimulation::DrawUpTo(base::Duration aMax)
{
  return base::Duration(
    static_cast<base::Duration::rep>(this->Draw() * double(aMax.count())));
}

void
GangSimulation::Schedule(base::TimePoint aTime, std::function<void()> aAction)
{
  this->pendingActions.emplace(aTime, std::move(aAction));
}

void
GangSimulation::Send(const std::function<void()>& aDelivery)
{
  const int copies = this->Draw() < this->duplicateChance ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (this->Draw() >= this->lossChance) {
      this->Schedule(this->now + this->DrawUpTo(this->maxDelay), aDelivery);
    }
  }
}

// Coordinators and the log.

std::optional<std::size_t>
GangSimulation::NewestCoordinator() const
{
  for (std::size_t index = this->coordinators.size(); index > 0; --index) {
    if (this->coordinators[index - 1].process != nullptr) {
      return index - 1;
    }
  }
  return std::nullopt;
}

void
GangSimulation::KillCoordinator()
{
  if (const auto newest = this->NewestCoordinator(); newest) {
    // Deferred, because one of the coordinator's own effects may cause the
    // call.
    this->coordinators[*newest].pausedUntil = base::TimePoint::max();
    this->Schedule(this->now, [this, index = *newest] {
      this->coordinators[index].process.reset();
    });
  }
}

void
GangSimulation::PauseCoordinator(base::Duration aTime)
{
  if (const auto newest = this->NewestCoordinator(); newest) {
    this->coordinators[*newest].pausedUntil = this->now + aTime;
  }
}

bool
GangSimulation::AddCoordinator()
{
  if (!this->isLogUp) {
    return false;
  }
  const base::FencingToken token(this->log.size() + 1);
  this->log.push_back({ token, true, {}, {} });
  const std::size_t index = this->coordinators.size();
  Coordinator& coordinator = this->coordinators.emplace_back();
  coordinator.token = token;
  coordinator.process =
    std::make_unique<GangCoordinator>(Fence{ kFence.cell, token });
  for (const auto& [key, history] : this->histories) {
    if (this->LogState(key) == AttemptState::Committed &&
        history.ends.empty()) {
      this->DeliverToCoordinator(
        index, ResumeGang{ history.plan }, std::nullopt);
    }
  }
  return true;
}

AttemptState
GangSimulation::LogState(const AttemptKey& aKey) const
{
  for (const LogRecord& record : this->log) {
    if (record.isEpoch && record.token > aKey.planToken) {
      return AttemptState::Aborted;
    }
    if (!record.isEpoch && record.key == aKey) {
      return record.decision == Decision::Commit ? AttemptState::Committed
                                                 : AttemptState::Aborted;
    }
  }
  return AttemptState::Undecided;
}

void
GangSimulation::Append(std::size_t aCoordinator, const WriteDecision& aWrite)
{
  const auto answer = [this, aCoordinator](const CoordinatorEvent& aEvent) {
    this->DeliverToCoordinator(aCoordinator, aEvent, std::nullopt);
  };
  if (!this->isLogUp) {
    answer(DecisionUnconfirmed{ aWrite.key });
    return;
  }
  const auto isSame = [&](const LogRecord& aRecord) {
    return !aRecord.isEpoch && aRecord.key == aWrite.key;
  };
  const auto found = std::find_if(this->log.begin(), this->log.end(), isSame);
  if (found == this->log.end()) {
    this->log.push_back({ this->coordinators[aCoordinator].token,
                          false,
                          aWrite.key,
                          aWrite.decision });
  } else if (found->decision != aWrite.decision) {
    this->ReportViolation("two different decisions on one attempt", aWrite.key);
  }
  const bool isNewest =
    std::none_of(this->log.begin(), this->log.end(), [&](const auto& aRecord) {
      return aRecord.isEpoch && aRecord.token > aWrite.key.planToken;
    });
  if (this->Draw() < this->lostAnswerChance) {
    answer(DecisionUnconfirmed{ aWrite.key });
  } else if (isNewest ||
             this->LogState(aWrite.key) == (aWrite.decision == Decision::Commit
                                              ? AttemptState::Committed
                                              : AttemptState::Undecided)) {
    answer(DecisionConfirmed{ aWrite.key });
  } else {
    answer(TokenLost{});
  }
}

void
GangSimulation::DeliverToCoordinator(const CoordinatorEvent& aEvent)
{
  if (const auto newest = this->NewestCoordinator(); newest) {
    this->DeliverToCoordinator(*newest, aEvent, std::nullopt);
  }
}

void
GangSimulation::DeliverToCoordinator(std::size_t aIndex,
                                     const CoordinatorEvent& aEvent,
                                     std::optional<std::size_t> aSender)
{
  Coordinator& coordinator = this->coordinators[aIndex];
  if (coordinator.process == nullptr) {
    return;
  }
  if (this->now < coordinator.pausedUntil) {
    if (coordinator.pausedUntil != base::TimePoint::max()) {
      this->Schedule(coordinator.pausedUntil, [this, aIndex, aEvent, aSender] {
        this->DeliverToCoordinator(aIndex, aEvent, aSender);
      });
    }
    return;
  }
  const auto effects = coordinator.process->Handle(this->now, aEvent);
  coordinator.deadline = coordinator.process->NextDeadline();
  for (const CoordinatorEffect& effect : effects) {
    // A filter may have killed the coordinator; drop its remaining effects.
    const bool isAlive =
      this->coordinators[aIndex].pausedUntil != base::TimePoint::max();
    if (isAlive &&
        (!this->coordinatorFilter || this->coordinatorFilter(effect))) {
      this->Execute(aIndex, effect, aSender);
    }
  }
}

void
GangSimulation::Execute(std::size_t aCoordinator,
                        const CoordinatorEffect& aEffect,
                        std::optional<std::size_t> aSender)
{
  if (const auto* send = std::get_if<SendToMember>(&aEffect)) {
    std::optional<std::size_t> target = aSender;
    for (std::size_t index = 0; index < this->workers.size(); ++index) {
      target = WorkerId(index) == send->worker ? index : target;
    }
    std::visit(
      [&](const auto& aMessage) { this->SendToWorker(*target, aMessage); },
      send->message);
  } else if (const auto* write = std::get_if<WriteDecision>(&aEffect)) {
    this->Schedule(this->now + this->DrawUpTo(this->maxDelay),
                   [this, aCoordinator, write = *write] {
                     this->Append(aCoordinator, write);
                   });
  } else if (const auto* end = std::get_if<AttemptEnded>(&aEffect)) {
    this->RecordOutcome(*end);
    if (end->isAborted) {
      this->histories[end->key].ends.push_back(*end);
    } else {
      this->AppendEnd(aCoordinator, *end);
    }
  }
}

void
GangSimulation::AppendEnd(std::size_t aCoordinator, const AttemptEnded& aEnd)
{
  if (!this->isLogUp) {
    this->Schedule(this->now + 1s, [this, aCoordinator, aEnd] {
      this->AppendEnd(aCoordinator, aEnd);
    });
    return;
  }
  const Coordinator& coordinator = this->coordinators[aCoordinator];
  const bool isNewest =
    std::none_of(this->log.begin(), this->log.end(), [&](const auto& aRecord) {
      return aRecord.isEpoch && aRecord.token > coordinator.token;
    });
  if (coordinator.process == nullptr) {
    return;
  }
  if (!isNewest) {
    this->DeliverToCoordinator(aCoordinator, TokenLost{}, std::nullopt);
    return;
  }
  this->histories[aEnd.key].ends.push_back(aEnd);
  this->DeliverToCoordinator(
    aCoordinator, EndConfirmed{ aEnd.key }, std::nullopt);
}

// Members and their workers.

void
GangSimulation::KillDaemon(std::size_t aWorker)
{
  this->workers[aWorker].daemon.reset();
  this->workers[aWorker].deadline.reset();
  this->workers[aWorker].promises.clear();
}

void
GangSimulation::KillWorker(std::size_t aWorker)
{
  this->KillDaemon(aWorker);
  while (!this->workers[aWorker].tasks.empty()) {
    this->EndTask(aWorker,
                  this->workers[aWorker].tasks.begin()->first,
                  MemberResult::Failed);
  }
}

void
GangSimulation::RestartDaemon(std::size_t aWorker)
{
  Worker& worker = this->workers[aWorker];
  this->KillDaemon(aWorker);
  ++worker.incarnation;
  worker.pausedUntil = {};
  worker.daemon = std::make_unique<GangMember>(WorkerId(aWorker), kCapacity);
  const auto tasks = worker.tasks;
  for (const auto& [key, task] : tasks) {
    this->DeliverToWorker(
      aWorker,
      AdoptTask{
        kFence.cell, task.plan, task.rank, task.leaseUntil - this->now });
  }
  WorkerReported report{ WorkerId(aWorker), {} };
  for (const MemberStatus& status : worker.daemon->Status()) {
    report.attempts.push_back(status.key);
  }
  this->Schedule(this->now,
                 [this, report] { this->DeliverToCoordinator(report); });
}

void
GangSimulation::PauseDaemon(std::size_t aWorker, base::Duration aTime)
{
  this->workers[aWorker].pausedUntil = this->now + aTime;
}

void
GangSimulation::HandOverDaemon(std::size_t aWorker)
{
  for (const auto& [key, task] : this->workers[aWorker].tasks) {
    this->histories[key].incompleteLimit = 10s;
  }
  this->DeliverToWorker(aWorker, HandOver{});
  this->KillDaemon(aWorker);
}

void
GangSimulation::DeliverToWorker(std::size_t aWorker, const MemberEvent& aEvent)
{
  Worker& worker = this->workers[aWorker];
  if (worker.daemon == nullptr) {
    return;
  }
  if (this->now < worker.pausedUntil) {
    this->Schedule(worker.pausedUntil,
                   [this, aWorker, aEvent, incarnation = worker.incarnation] {
                     if (this->workers[aWorker].incarnation == incarnation) {
                       this->DeliverToWorker(aWorker, aEvent);
                     }
                   });
    return;
  }
  const std::optional<std::size_t> from = this->sender;
  const auto effects = worker.daemon->Handle(this->now, aEvent);
  worker.deadline = worker.daemon->NextDeadline();
  this->CheckWorker(aWorker);
  for (const MemberEffect& effect : effects) {
    if (!this->memberFilter || this->memberFilter(aWorker, effect)) {
      this->Execute(aWorker, effect, from);
    }
  }
}

/**
 * Connections end with the process, so a message never reaches a later
 * incarnation of the daemon.
 */
void
GangSimulation::SendToWorker(std::size_t aWorker, const MemberEvent& aEvent)
{
  this->Send([this,
              aWorker,
              aEvent,
              from = this->sender,
              incarnation = this->workers[aWorker].incarnation] {
    if (this->workers[aWorker].incarnation == incarnation) {
      this->sender = from;
      this->DeliverToWorker(aWorker, aEvent);
      this->sender.reset();
    }
  });
}

void
GangSimulation::SendToCoordinator(std::size_t aSender,
                                  const MemberToCoordinator& aBody)
{
  this->Send([this, aSender, aBody] {
    auto target = this->NewestCoordinator();
    if (target && this->Draw() < this->misrouteChance) {
      *target = std::size_t(this->Draw() * double(*target + 1));
    }
    if (target) {
      std::visit(
        [&](const auto& aMessage) {
          this->DeliverToCoordinator(*target, aMessage, aSender);
        },
        aBody);
    }
  });
}

void
GangSimulation::Execute(std::size_t aWorker,
                        const MemberEffect& aEffect,
                        std::optional<std::size_t> aSender)
{
  auto& tasks = this->workers[aWorker].tasks;
  if (const auto* send = std::get_if<gang::SendToCoordinator>(&aEffect)) {
    this->SendToCoordinator(aWorker, send->message);
  } else if (const auto* peer = std::get_if<SendToPeer>(&aEffect)) {
    std::optional<std::size_t> target = aSender;
    for (std::size_t index = 0; index < this->workers.size(); ++index) {
      target = WorkerId(index) == peer->worker ? index : target;
    }
    if (target) {
      this->sender = aWorker;
      std::visit(
        [&](const auto& aMessage) { this->SendToWorker(*target, aMessage); },
        peer->message);
      this->sender.reset();
    }
  } else if (const auto* query = std::get_if<QueryOutcome>(&aEffect)) {
    const AttemptKey key = query->query.key;
    this->Send([this, aWorker, key, isEntry = query->askAnyEntry] {
      const auto newest = this->NewestCoordinator();
      AttemptState state = AttemptState::Unknown;
      if (isEntry) {
        state = this->LogState(key);
      } else if (newest) {
        state = this->coordinators[*newest].process->StateOf(key);
      }
      this->SendToWorker(aWorker, OutcomeReply{ key, state });
    });
  } else if (const auto* start = std::get_if<StartTask>(&aEffect)) {
    this->LaunchTask(aWorker, *start);
  } else if (const auto* lease = std::get_if<RenewLease>(&aEffect)) {
    if (const auto task = tasks.find(lease->key); task != tasks.end()) {
      task->second.leaseUntil = this->now + lease->lease;
    }
  } else if (const auto* stop = std::get_if<StopTask>(&aEffect)) {
    if (const auto task = tasks.find(stop->key); task != tasks.end()) {
      if (stop->grace > 0s) {
        this->histories[stop->key].incompleteLimit = 5s + stop->grace;
      }
      const auto endsAt = this->now + this->DrawUpTo(stop->grace + 50ms);
      if (endsAt < task->second.endsAt) {
        task->second.endsAt = endsAt;
        task->second.result = MemberResult::Stopped;
      }
    }
  }
}

void
GangSimulation::LaunchTask(std::size_t aWorker, const StartTask& aStart)
{
  const AttemptKey key = aStart.key;
  History& history = this->histories[key];
  if (this->LogState(key) != AttemptState::Committed) {
    this->ReportViolation("started without a commit", key);
  }
  if (++history.starts[aStart.rank] > 1) {
    this->ReportViolation("started twice", key);
  }
  if (history.reportedOutcome &&
      history.reportedOutcome->outcome == AttemptOutcome::NotRun) {
    this->ReportViolation("started after \"not run\"", key);
  }
  Task task{ key,
             aStart.plan,
             aStart.rank,
             false,
             this->now + aStart.lease,
             this->now + history.runTime,
             MemberResult::Succeeded };
  if (this->Draw() < this->taskFailureChance) {
    task.endsAt = this->now + this->DrawUpTo(history.runTime);
    task.result = MemberResult::Failed;
  }
  this->workers[aWorker].tasks.emplace(key, task);
  this->Schedule(this->now + this->DrawUpTo(200ms), [this, aWorker, key] {
    auto& tasks = this->workers[aWorker].tasks;
    if (const auto found = tasks.find(key); found != tasks.end()) {
      found->second.isRunning = true;
      this->DeliverToWorker(aWorker, TaskStarted{ key });
    }
  });
}

void
GangSimulation::EndTask(std::size_t aWorker,
                        const AttemptKey& aKey,
                        MemberResult aResult)
{
  const auto task = this->workers[aWorker].tasks.extract(aKey);
  this->histories[task.key()].results[task.mapped().rank] = aResult;
  this->DeliverToWorker(aWorker, TaskEnded{ task.key(), aResult });
}

void
GangSimulation::EndDueTasks()
{
  for (std::size_t index = 0; index < this->workers.size(); ++index) {
    const auto tasks = this->workers[index].tasks;
    for (const auto& [key, task] : tasks) {
      if (task.endsAt <= this->now) {
        this->EndTask(index, key, task.result);
      } else if (task.leaseUntil <= this->now) {
        this->EndTask(index, key, MemberResult::Stopped);
      }
    }
  }
}

// Work and time.

AttemptKey
GangSimulation::StartJob(std::uint32_t aJob,
                         const std::vector<std::size_t>& aWorkers,
                         base::Duration aRunTime)
{
  const std::size_t newest = *this->NewestCoordinator();
  const base::FencingToken token = this->coordinators[newest].token;
  auto plan = std::make_shared<job::GangPlan>(
    *MakePlan(std::uint32_t(aWorkers.size()), token.Get(), 1, aJob));
  // Like a real coordinator, number the attempt after those that the log has
  // decided.
  for (const auto& [key, history] : this->histories) {
    const bool isDecided =
      this->LogState(key) == AttemptState::Committed || key.planToken == token;
    if (key.gang.job == plan->gang.job && isDecided) {
      plan->gang.attempt = base::Attempt(
        std::max(plan->gang.attempt.Get(), key.gang.attempt.Get() + 1));
    }
  }
  for (std::size_t rank = 0; rank < aWorkers.size(); ++rank) {
    plan->members[rank].worker = WorkerId(aWorkers[rank]);
  }
  AttemptKey key = KeyOf(*plan);
  History& history = this->histories[key];
  history.plan = plan;
  history.runTime = aRunTime;
  history.starts.resize(aWorkers.size());
  history.results.resize(aWorkers.size());
  this->DeliverToCoordinator(newest, StartGang{ plan }, std::nullopt);
  return key;
}

std::optional<base::TimePoint>
GangSimulation::NextEventTime() const
{
  std::optional<base::TimePoint> next;
  const auto consider = [&](base::TimePoint aTime) {
    next = next ? std::min(*next, aTime) : aTime;
  };
  if (!this->pendingActions.empty()) {
    consider(this->pendingActions.begin()->first);
  }
  for (const Worker& worker : this->workers) {
    if (worker.daemon != nullptr && worker.deadline) {
      consider(std::max(*worker.deadline, worker.pausedUntil));
    }
    for (const auto& [key, task] : worker.tasks) {
      consider(std::min(task.endsAt, task.leaseUntil));
    }
  }
  for (const Coordinator& coordinator : this->coordinators) {
    if (coordinator.process != nullptr && coordinator.deadline &&
        coordinator.pausedUntil != base::TimePoint::max()) {
      consider(std::max(*coordinator.deadline, coordinator.pausedUntil));
    }
  }
  return next;
}

bool
GangSimulation::RunNextStep(base::TimePoint aUntil)
{
  const auto next = this->NextEventTime();
  if (!next || *next > aUntil) {
    return false;
  }
  this->now = std::max(this->now, *next);
  if (!this->pendingActions.empty() &&
      this->pendingActions.begin()->first <= this->now) {
    const auto action =
      this->pendingActions.extract(this->pendingActions.begin());
    action.mapped()();
  }
  this->EndDueTasks();
  for (std::size_t index = 0; index < this->workers.size(); ++index) {
    const Worker& worker = this->workers[index];
    if (worker.deadline && *worker.deadline <= this->now &&
        worker.pausedUntil <= this->now) {
      this->DeliverToWorker(index, Tick{});
    }
  }
  for (std::size_t index = 0; index < this->coordinators.size(); ++index) {
    const Coordinator& coordinator = this->coordinators[index];
    if (coordinator.deadline && *coordinator.deadline <= this->now &&
        coordinator.pausedUntil <= this->now) {
      this->DeliverToCoordinator(index, Tick{}, std::nullopt);
    }
  }
  this->CheckInvariants();
  return true;
}

void
GangSimulation::RunFor(base::Duration aTime)
{
  const base::TimePoint until = this->now + aTime;
  // Guards against a deadline that stays in the past, which would make a
  // runtime spin.
  for (int steps = 0; steps < 100'000; ++steps) {
    if (!this->RunNextStep(until)) {
      this->now = until;
      return;
    }
  }
  this->violations.emplace_back("a deadline stays in the past");
}

// Observations and invariants.

void
GangSimulation::ReportViolation(const std::string& aWhat,
                                const AttemptKey& aKey)
{
  this->violations.push_back(
    aWhat + ": " + aKey.gang.job.Text() + " attempt " +
    std::to_string(aKey.gang.attempt.Get()) + " at " +
    std::to_string((this->now - base::TimePoint(1h)) / 1ms) + " ms");
}

void
GangSimulation::RecordOutcome(const AttemptEnded& aEnd)
{
  History& history = this->histories[aEnd.key];
  history.reportedOutcome = aEnd;
  if (aEnd.outcome == AttemptOutcome::NotRun &&
      this->StartedTasks(aEnd.key) > 0) {
    this->ReportViolation("\"not run\" although it ran", aEnd.key);
  }
  if (aEnd.outcome == AttemptOutcome::Succeeded &&
      std::any_of(
        history.results.begin(), history.results.end(), [](auto aResult) {
          return aResult != MemberResult::Succeeded;
        })) {
    this->ReportViolation("\"succeeded\" although a member did not succeed",
                          aEnd.key);
  }
}

void
GangSimulation::CheckWorker(std::size_t aWorker)
{
  Worker& worker = this->workers[aWorker];
  std::set<AttemptKey> promises;
  for (const MemberStatus& status : worker.daemon->Status()) {
    if (status.phase == MemberPhase::Promised) {
      promises.insert(status.key);
    }
  }
  for (const AttemptKey& key : worker.promises) {
    if (promises.count(key) == 0 &&
        this->LogState(key) == AttemptState::Undecided) {
      this->ReportViolation("promise released without a decision", key);
    }
  }
  worker.promises = std::move(promises);
  if (!kCapacity.Covers(worker.daemon->Reserved())) {
    this->ReportViolation("accelerators reserved twice", {});
  }
}

void
GangSimulation::CheckInvariants()
{
  std::map<AttemptKey, std::vector<bool>> running;
  for (const Worker& worker : this->workers) {
    std::uint32_t used = 0;
    for (const auto& [key, task] : worker.tasks) {
      used += task.plan->members[task.rank].resources.accelerators;
      auto& ranks = running[key];
      ranks.resize(task.plan->members.size());
      ranks[task.rank] = task.isRunning;
    }
    if (used > kCapacity.accelerators) {
      this->ReportViolation("accelerators used twice", {});
    }
  }
  for (auto& [key, history] : this->histories) {
    const auto found = running.find(key);
    bool isIncomplete = false;
    if (found != running.end()) {
      const auto& ranks = found->second;
      bool hasRunning = false;
      bool hasMissing = false;
      for (std::size_t rank = 0; rank < ranks.size(); ++rank) {
        hasRunning = hasRunning || ranks[rank];
        hasMissing = hasMissing || (!ranks[rank] && history.results[rank] !=
                                                      MemberResult::Succeeded);
      }
      isIncomplete = hasRunning && hasMissing;
    }
    if (!isIncomplete) {
      history.incompleteSince.reset();
    } else if (!history.incompleteSince) {
      history.incompleteSince = this->now;
    } else if (this->now - *history.incompleteSince > history.incompleteLimit) {
      this->ReportViolation("gang ran incompletely for too long", key);
    }
  }
}

std::size_t
GangSimulation::RunningTasks(const AttemptKey& aKey) const
{
  return std::size_t(std::count_if(
    this->workers.begin(), this->workers.end(), [&](const Worker& aWorker) {
      const auto found = aWorker.tasks.find(aKey);
      return found != aWorker.tasks.end() && found->second.isRunning;
    }));
}

std::size_t
GangSimulation::StartedTasks(const AttemptKey& aKey) const
{
  const auto& starts = this->histories.at(aKey).starts;
  return std::size_t(std::accumulate(starts.begin(), starts.end(), 0));
}

std::optional<AttemptEnded>
GangSimulation::EndOf(const AttemptKey& aKey) const
{
  const auto& ends = this->histories.at(aKey).ends;
  return ends.empty() ? std::nullopt : std::optional(ends.back());
}

bool
GangSimulation::HasCoordinator() const
{
  return this->NewestCoordinator().has_value();
}

std::uint32_t
GangSimulation::ReservedAccelerators() const
{
  std::uint32_t sum = 0;
  for (const Worker& worker : this->workers) {
    sum +=
      worker.daemon != nullptr ? worker.daemon->Reserved().accelerators : 0;
  }
  return sum;
}

bool
GangSimulation::IsSettled() const
{
  const auto newest = this->NewestCoordinator();
  if (!newest || this->coordinators[*newest].process->AttemptCount() > 0 ||
      this->ReservedAccelerators() > 0) {
    return false;
  }
  return std::all_of(
    this->histories.begin(), this->histories.end(), [&](const auto& aItem) {
      const AttemptState state = this->LogState(aItem.first);
      return state == AttemptState::Aborted ||
             (state == AttemptState::Committed &&
              aItem.second.ends.size() == 1);
    });
}

const std::vector<std::string>&
GangSimulation::Violations() const
{
  return this->violations;
}

} // namespace amaranthwind::gang::testing
