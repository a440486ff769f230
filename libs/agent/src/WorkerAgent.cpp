#include "amaranthwind/agent/WorkerAgent.h"

#include "amaranthwind/base/Backoff.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace amaranthwind::agent {

using base::Duration;
using base::TimePoint;
using dispatch::EndedTask;
using dispatch::OrderOutcome;
using dispatch::RunningTask;
using job::TaskRun;
using namespace std::chrono_literals;

namespace {

/** The worker's clock may run this much slow. */
constexpr double kSlowestClock = 0.98;
/** A worker that deregisters is gone after this time. */
constexpr Duration kLeaveTime = 300ms;
/** Beyond the end of the lease, before a silent worker counts as idle. */
constexpr Duration kLapseMargin = 300ms;
/** Ends that are not acknowledged yet are asked for again at this interval. */
constexpr Duration kUnacknowledgedPause = 150ms;
/** Changes within this time share one report. */
constexpr Duration kReportDelay = 3ms;
/** Orders are not carried out on a grant that ends sooner. */
constexpr Duration kMinGrant = 500ms;
/** A worker that left this many holds unanswered gets no new tasks. */
constexpr std::uint32_t kMaxHoldFailures = 2;
/** Reports of which the time of sending is kept. */
constexpr std::size_t kMaxOpenReports = 32;
constexpr base::BackoffOptions kStopBackoff{ 100ms, 500ms };
constexpr base::BackoffOptions kHoldBackoff{ 100ms, 500ms };

enum class RunPhase : std::uint8_t
{
  Starting,
  Started,
  Stopping, // A stop is being sent.
  Stopped,  // The worker has accepted the stop.
};

struct Run
{
  RunPhase phase = RunPhase::Starting;
  std::string payload;
  std::string checkpoint;
  std::uint32_t tries = 0;
  /** An order of it had no answer; the worker may carry it out later. */
  bool mayArriveLate = false;
  /** The coordinator knows that it is over; a late start is to be prevented. */
  bool isSilent = false;
  /** Number of the last hold that was sent before the worker accepted it. */
  std::uint64_t holdBefore = 0;
  base::Backoff backoff{ kStopBackoff };
};

std::string
ToLogText(const TaskRun& aRun)
{
  return job::ToText(aRun.task) + "#" + std::to_string(aRun.run);
}

} // namespace

struct WorkerAgent::State : std::enable_shared_from_this<State>
{
  State(const AgentOptions& aOptions,
        const base::Clock& aClock,
        base::Executor& aExecutor,
        WorkerPort& aWorker,
        CoordinatorPort& aCoordinator,
        telemetry::Logger& aLogger)
    : options(aOptions)
    , clock(aClock)
    , executor(aExecutor)
    , worker(aWorker)
    , coordinator(aCoordinator)
    , logger(aLogger)
  {
  }

  /** A handler that continues on the executor while the life goes on. */
  template<typename Answer, typename Action>
  std::function<void(Answer)> Then(Action aAction)
  {
    return [weak = this->weak_from_this(),
            number = this->lifeNumber,
            action = std::move(aAction)](Answer aAnswer) {
      if (const auto self = weak.lock()) {
        self->executor.Post(
          [weak, number, action, answer = std::move(aAnswer)] {
            const auto agent = weak.lock();
            if (agent != nullptr && !agent->isStopped &&
                agent->lifeNumber == number) {
              action(*agent, answer);
            }
          });
      }
    };
  }

  void After(Duration aDelay, std::function<void(State&)> aTask)
  {
    this->executor.RunAfter(
      aDelay, [weak = this->weak_from_this(), task = std::move(aTask)] {
        const auto self = weak.lock();
        if (self != nullptr && !self->isStopped) {
          task(*self);
        }
      });
  }

  // Lives of the worker.

  void BeginLife(const dispatch::WorkerInfo& aInfo)
  {
    auto former = std::exchange(this->runs, {});
    const bool isSameId = this->lastId == aInfo.life.id;
    this->EndLife("replaced");
    this->info = aInfo;
    this->lifeBeganAt = this->clock.Now();
    this->lastId = aInfo.life.id;
    this->logger.Info("worker registered",
                      { { "worker", aInfo.life.id },
                        { "born", aInfo.life.born },
                        { "draining", aInfo.isDraining ? "yes" : "no" } });
    for (auto& [run, state] : former) {
      if (isSameId && state.mayArriveLate) {
        // The new life would carry out an order that was meant for the old
        // one, unless a stop comes first.
        Run& barred = this->runs[run];
        barred.phase = RunPhase::Stopping;
        barred.isSilent = true;
        this->SendStop(run);
      }
    }
    this->SendHold();
  }

  void EndLife(std::string_view aReason)
  {
    if (this->info) {
      this->logger.Info(
        "worker is gone",
        { { "worker", this->info->life.id }, { "reason", aReason } });
    }
    ++this->lifeNumber;
    this->info.reset();
    this->runs.clear();
    this->listed.clear();
    this->ended.clear();
    this->acknowledged = 0;
    this->isListed = false;
    this->isHolding = false;
    this->holdFailures = 0;
    this->leaseBound = {};
    this->workerClock.reset();
    this->holdBackoff.Reset();
  }

  // The lease.

  bool IsGranted() const { return this->clock.Now() < this->grantUntil; }

  /**
   * The end of the grant on the worker's clock, rounded so that it is never
   * later in real time.
   */
  std::optional<WorkerTime> Deadline() const
  {
    const TimePoint now = this->clock.Now();
    if (!this->workerClock || now >= this->grantUntil) {
      return std::nullopt;
    }
    const Duration sinceReading = now - this->workerClock->second;
    const Duration left = std::min(this->grantUntil - this->workerClock->second,
                                   sinceReading + this->options.maxLease);
    return this->workerClock->first +
           std::chrono::duration_cast<WorkerTime>(left * kSlowestClock);
  }

  void NoteLease()
  {
    this->leaseBound = std::max(this->leaseBound, this->grantUntil);
  }

  /** The loop of holds; one waits at the worker at any time. */
  void SendHold()
  {
    if (!this->info || this->isHolding) {
      return;
    }
    this->isHolding = true;
    const bool isBusy = !this->runs.empty() || !this->listed.empty();
    const auto wait = !this->isListed || !this->ended.empty() ? 0ms
                      : isBusy ? this->options.busyWait
                               : this->options.idleWait;
    this->Hold(wait, [](State& aSelf, bool aIsAnswered) {
      aSelf.isHolding = false;
      const Duration pause = !aIsAnswered          ? aSelf.holdBackoff.Next()
                             : aSelf.ended.empty() ? Duration::zero()
                                                   : kUnacknowledgedPause;
      if (pause == Duration::zero()) {
        aSelf.SendHold();
        return;
      }
      aSelf.After(pause, [](State& aLater) { aLater.SendHold(); });
    });
  }

  /** One hold beside the loop, for news that must reach the worker now. */
  void HoldNow()
  {
    this->Hold(0ms, [](State&, bool) {});
  }

  void Hold(std::chrono::milliseconds aWait, void (*aThen)(State&, bool))
  {
    HoldOrder order;
    order.worker = this->info->life.id;
    order.token = this->token;
    // Without an answer the lease must not grow: a hold that is carried out
    // late would otherwise keep the tasks of a silent worker for ever.
    if (this->holdFailures == 0) {
      order.deadline = this->Deadline();
    }
    order.lastSeen = this->acknowledged;
    order.wait = aWait;
    if (order.deadline) {
      this->NoteLease();
    }
    this->worker.Hold(
      order,
      this->Then<base::Result<HoldAnswer>>(
        [number = ++this->lastHold, aThen](State& aSelf, const auto& aAnswer) {
          aSelf.OnHold(aAnswer, number, aThen);
        }));
  }

  void OnHold(const base::Result<HoldAnswer>& aAnswer,
              std::uint64_t aNumber,
              void (*aThen)(State&, bool))
  {
    if (aAnswer.has_error()) {
      this->logger.Warning("worker does not answer",
                           { { "worker", this->info->life.id },
                             { "error", base::Describe(aAnswer.error()) } });
      ++this->holdFailures;
      // A former daemon may have given the worker a lease of full length.
      const TimePoint bound =
        std::max(this->leaseBound, this->lifeBeganAt + this->options.maxLease);
      if (this->clock.Now() > bound + kLapseMargin) {
        // Its lease has run out, so that nothing runs there any more.
        this->EndLife("silent");
        this->ReportSoon();
        return;
      }
      aThen(*this, false);
      return;
    }
    const HoldAnswer& answer = aAnswer.value();
    if (answer.born != 0 && answer.born != this->info->life.born) {
      // Another life at the same address, which has not registered yet.
      this->EndLife("restarted");
      this->ReportSoon();
      return;
    }
    this->holdBackoff.Reset();
    this->holdFailures = 0;
    const TimePoint now = this->clock.Now();
    if (!this->workerClock || answer.clock > this->workerClock->first) {
      this->workerClock = { answer.clock, now };
    }
    if (aNumber > this->listedHold) {
      this->TakeListing(answer, aNumber);
    }
    aThen(*this, true);
  }

  void TakeListing(const HoldAnswer& aAnswer, std::uint64_t aNumber)
  {
    this->listedHold = aNumber;
    bool hasNews = !std::exchange(this->isListed, true);
    this->listed.clear();
    for (const auto& task : aAnswer.running) {
      this->listed[task.run] = task;
    }
    for (const auto& end : aAnswer.ended) {
      if (end.number > this->acknowledged &&
          this->ended.emplace(end.number, end).second) {
        hasNews = true;
        this->logger.Info("task ended",
                          { { "task", ToLogText(end.run) },
                            { "number", end.number },
                            { "kind", static_cast<unsigned>(end.kind) } });
      }
    }
    for (auto position = this->runs.begin(); position != this->runs.end();) {
      const auto current = position++;
      if (this->SettleRun(current->first, current->second)) {
        this->runs.erase(current);
        hasNews = true;
      }
    }
    if (hasNews) {
      this->ReportSoon();
    }
  }

  /** True if the listing says all that there is to know of the run. */
  bool SettleRun(const TaskRun& aRun, const Run& aState)
  {
    const bool isEnded =
      std::any_of(this->ended.begin(),
                  this->ended.end(),
                  [&](const auto& aEnd) { return aEnd.second.run == aRun; });
    if (isEnded) {
      return true;
    }
    const bool isAnswered =
      aState.phase == RunPhase::Started || aState.phase == RunPhase::Stopped;
    if (!isAnswered || this->listedHold <= aState.holdBefore ||
        this->listed.contains(aRun)) {
      return false;
    }
    if (aState.phase == RunPhase::Stopped && !aState.isSilent) {
      this->TellOutcome(aRun, OrderOutcome::Absent);
    }
    return true;
  }

  // Orders.

  void TellOutcome(const TaskRun& aRun, OrderOutcome aOutcome)
  {
    this->logger.Info("order carried out",
                      { { "task", ToLogText(aRun) },
                        { "outcome", static_cast<unsigned>(aOutcome) } });
    this->coordinator.SendOutcome(this->info->life, aRun, aOutcome);
  }

  void SendStart(const TaskRun& aRun)
  {
    Run& run = this->runs[aRun];
    const auto deadline = this->Deadline();
    if (!deadline) {
      this->GiveUpStart(aRun, "no grant");
      return;
    }
    ++run.tries;
    this->NoteLease();
    StartOrder order{ this->info->life.id, aRun,        run.payload,
                      run.checkpoint,      this->token, *deadline };
    this->worker.Start(
      order,
      this->Then<OrderAnswer>([aRun](State& aSelf, const OrderAnswer& aAnswer) {
        aSelf.OnStartAnswer(aRun, aAnswer);
      }));
  }

  void OnStartAnswer(const TaskRun& aRun, const OrderAnswer& aAnswer)
  {
    const auto found = this->runs.find(aRun);
    if (found == this->runs.end() ||
        found->second.phase != RunPhase::Starting) {
      if (found != this->runs.end() &&
          aAnswer.result == OrderResult::NoAnswer) {
        found->second.mayArriveLate = true;
      }
      return;
    }
    Run& run = found->second;
    switch (aAnswer.result) {
      case OrderResult::Accepted:
        run.phase = RunPhase::Started;
        run.holdBefore = this->lastHold;
        this->TellOutcome(aRun, OrderOutcome::Started);
        break;
      case OrderResult::NoAnswer:
        run.mayArriveLate = true;
        if (run.tries < this->options.startTries) {
          this->SendStart(aRun);
        } else {
          this->GiveUpStart(aRun, "no answer");
        }
        break;
      default:
        this->GiveUpStart(aRun, aAnswer.reason);
        break;
    }
  }

  void GiveUpStart(const TaskRun& aRun, std::string_view aReason)
  {
    this->logger.Warning(
      "task is not started",
      { { "task", ToLogText(aRun) }, { "reason", aReason } });
    Run& run = this->runs[aRun];
    if (run.mayArriveLate) {
      run.phase = RunPhase::Stopping;
      this->SendStop(aRun);
      return;
    }
    this->runs.erase(aRun);
    this->TellOutcome(aRun, OrderOutcome::Refused);
  }

  void SendStop(const TaskRun& aRun)
  {
    const StopOrder order{ this->info->life.id, aRun, this->token };
    this->worker.Stop(
      order,
      this->Then<OrderAnswer>([aRun](State& aSelf, const OrderAnswer& aAnswer) {
        aSelf.OnStopAnswer(aRun, aAnswer);
      }));
  }

  void OnStopAnswer(const TaskRun& aRun, const OrderAnswer& aAnswer)
  {
    const auto found = this->runs.find(aRun);
    if (found == this->runs.end() ||
        found->second.phase != RunPhase::Stopping) {
      return;
    }
    Run& run = found->second;
    if (aAnswer.result == OrderResult::Accepted) {
      run.phase = RunPhase::Stopped;
      run.holdBefore = this->lastHold;
      this->HoldNow();
    } else if (aAnswer.result == OrderResult::Fenced ||
               aAnswer.result == OrderResult::OtherLife) {
      // A newer coordinator, or a newer life, decides on the run.
      this->runs.erase(found);
    } else {
      run.mayArriveLate = true;
      this->After(
        run.backoff.Next(), [aRun, number = this->lifeNumber](State& aSelf) {
          const auto again = aSelf.runs.find(aRun);
          if (aSelf.lifeNumber == number && again != aSelf.runs.end() &&
              again->second.phase == RunPhase::Stopping) {
            aSelf.SendStop(aRun);
          }
        });
    }
  }

  // Reports.

  void ReportSoon()
  {
    if (!std::exchange(this->isReportDue, true)) {
      this->After(kReportDelay, [](State& aSelf) { aSelf.Report(); });
    }
  }

  void ReportLoop()
  {
    this->Report();
    this->After(this->options.reportInterval,
                [](State& aSelf) { aSelf.ReportLoop(); });
  }

  void Report()
  {
    this->isReportDue = false;
    if (!this->hasRegistered || (this->info && !this->isListed)) {
      // Silence keeps what the coordinator knows; a report that leaves out
      // tasks would say that they are gone.
      return;
    }
    dispatch::WorkerReport report;
    report.agent = this->options.id;
    report.worker = this->info;
    for (const auto& [run, task] : this->listed) {
      report.running.push_back(task);
    }
    for (const auto& [run, state] : this->runs) {
      if (!this->listed.contains(run) && !state.isSilent) {
        report.running.push_back({ run, {}, 0 });
      }
    }
    for (const auto& [number, end] : this->ended) {
      report.ended.push_back(end);
    }
    if (this->openReports.size() >= kMaxOpenReports) {
      this->openReports.erase(this->openReports.begin());
    }
    this->openReports[++this->lastReport] = this->clock.Now();
    this->coordinator.SendReport(this->lastReport, this->token, report);
  }

  const AgentOptions options;
  const base::Clock& clock;
  base::Executor& executor;
  WorkerPort& worker;
  CoordinatorPort& coordinator;
  telemetry::Logger& logger;
  bool isStopped = false;

  /** Of the current life; answers to orders of former ones are ignored. */
  std::uint64_t lifeNumber = 0;
  std::optional<dispatch::WorkerInfo> info;
  base::TargetId lastId;
  std::uint64_t registrationSequence = 0;
  TimePoint lifeBeganAt{};
  /** A worker has registered since the start of the process. */
  bool hasRegistered = false;

  /** By the newest listing. */
  std::map<TaskRun, RunningTask> listed;
  std::map<std::uint64_t, EndedTask> ended;
  bool isListed = false;
  /** Holds are numbered in the order in which they are sent. */
  std::uint64_t lastHold = 0;
  /** The hold of the newest listing. */
  std::uint64_t listedHold = 0;
  /** Holds without an answer since the last one that had one. */
  std::uint32_t holdFailures = 0;
  bool isHolding = false;
  base::Backoff holdBackoff{ kHoldBackoff };
  /** A reading of the worker's clock and when it arrived. */
  std::optional<std::pair<WorkerTime, TimePoint>> workerClock;
  std::uint64_t acknowledged = 0;

  std::map<TaskRun, Run> runs;

  base::FencingToken token;
  TimePoint grantUntil{};
  /** Latest end of any lease that the worker may have. */
  TimePoint leaseBound{};
  std::uint64_t lastReport = 0;
  bool isReportDue = false;
  /** When the reports were sent that have not been answered. */
  std::map<std::uint64_t, TimePoint> openReports;
};

WorkerAgent::WorkerAgent(const AgentOptions& aOptions,
                         const base::Clock& aClock,
                         base::Executor& aExecutor,
                         WorkerPort& aWorker,
                         CoordinatorPort& aCoordinator,
                         telemetry::Logger& aLogger)
  : state(std::make_shared<State>(aOptions,
                                  aClock,
                                  aExecutor,
                                  aWorker,
                                  aCoordinator,
                                  aLogger))
{
}

WorkerAgent::~WorkerAgent() = default;

void
WorkerAgent::Start()
{
  this->state->ReportLoop();
}

void
WorkerAgent::Stop()
{
  this->state->isStopped = true;
}

void
WorkerAgent::OnRegistration(const dispatch::WorkerInfo& aWorker,
                            std::uint64_t aSequence)
{
  State& self = *this->state;
  if (self.info && self.info->life == aWorker.life) {
    if (aSequence <= self.registrationSequence) {
      return;
    }
    self.registrationSequence = aSequence;
    // A worker that drains does not come back.
    const bool isDraining = self.info->isDraining || aWorker.isDraining;
    const bool hasChanged = isDraining != self.info->isDraining;
    self.info = aWorker;
    self.info->isDraining = isDraining;
    if (hasChanged) {
      self.logger.Info("worker drains", { { "worker", aWorker.life.id } });
      self.ReportSoon();
    }
    return;
  }
  if (self.info && aWorker.life.born < self.info->life.born) {
    return; // Delayed on its way; that life is over.
  }
  self.registrationSequence = aSequence;
  self.hasRegistered = true;
  self.BeginLife(aWorker);
}

void
WorkerAgent::OnDeregistration(const base::TargetId& aWorker)
{
  State& self = *this->state;
  if (!self.info || self.info->life.id != aWorker) {
    return;
  }
  self.info->isDraining = true;
  self.After(kLeaveTime, [number = self.lifeNumber](State& aSelf) {
    if (aSelf.lifeNumber == number) {
      aSelf.EndLife("deregistered");
      aSelf.ReportSoon();
    }
  });
}

void
WorkerAgent::OnToken(base::FencingToken aToken)
{
  this->state->token = std::max(this->state->token, aToken);
}

void
WorkerAgent::OnLinkOpened()
{
  this->state->ReportSoon();
}

void
WorkerAgent::OnGrant(std::uint64_t aSequence,
                     base::FencingToken aToken,
                     base::Duration aDuration)
{
  State& self = *this->state;
  const auto sent = self.openReports.find(aSequence);
  if (sent == self.openReports.end() || aToken < self.token) {
    return;
  }
  const TimePoint now = self.clock.Now();
  const TimePoint former = self.grantUntil;
  self.token = aToken;
  self.grantUntil = std::max(self.grantUntil, sent->second + aDuration);
  self.openReports.erase(self.openReports.begin(), std::next(sent));
  const bool wasLate = former < now + self.options.reportInterval * 4;
  if (wasLate && self.info && self.isListed && !self.listed.empty()) {
    // The lease may run out before the next hold of the loop.
    self.HoldNow();
  }
}

void
WorkerAgent::OnAcknowledged(const ledger::WorkerLife& aLife,
                            std::uint64_t aNumber)
{
  State& self = *this->state;
  if (!self.info || self.info->life != aLife || aNumber <= self.acknowledged) {
    return;
  }
  self.acknowledged = aNumber;
  self.ended.erase(self.ended.begin(), self.ended.upper_bound(aNumber));
  self.SendHold();
}

void
WorkerAgent::OnStart(base::FencingToken aToken,
                     const ledger::WorkerLife& aLife,
                     const job::TaskRun& aRun,
                     std::string_view aPayload,
                     std::string_view aCheckpoint)
{
  State& self = *this->state;
  if (aToken < self.token) {
    self.logger.Warning("order of a former coordinator",
                        { { "task", ToLogText(aRun) }, { "token", aToken } });
    return;
  }
  self.token = aToken;
  const char* refusal = nullptr;
  if (!self.info || self.info->life != aLife) {
    refusal = "worker has changed";
  } else if (self.info->isDraining) {
    refusal = "worker drains";
  } else if (self.holdFailures >= kMaxHoldFailures) {
    refusal = "worker does not answer";
  } else if (self.clock.Now() + kMinGrant > self.grantUntil) {
    refusal = "no grant";
  }
  if (refusal != nullptr) {
    self.logger.Warning("start is refused",
                        { { "task", ToLogText(aRun) }, { "reason", refusal } });
    self.coordinator.SendOutcome(aLife, aRun, OrderOutcome::Refused);
    return;
  }
  const auto [found, isNew] = self.runs.try_emplace(aRun);
  if (!isNew) {
    return;
  }
  found->second.payload = aPayload;
  found->second.checkpoint = aCheckpoint;
  self.SendStart(aRun);
}

void
WorkerAgent::OnStop(base::FencingToken aToken,
                    const ledger::WorkerLife& aLife,
                    const job::TaskRun& aRun)
{
  State& self = *this->state;
  if (aToken < self.token || !self.info) {
    return;
  }
  self.token = aToken;
  if (self.info->life != aLife) {
    if (aLife.born < self.info->life.born) {
      self.coordinator.SendOutcome(aLife, aRun, OrderOutcome::Absent);
    }
    return;
  }
  Run& run = self.runs[aRun];
  if (run.phase == RunPhase::Stopping) {
    return;
  }
  if (run.phase == RunPhase::Starting && run.tries > 0) {
    run.mayArriveLate = true;
  }
  run.phase = RunPhase::Stopping;
  self.SendStop(aRun);
}

AgentStatus
WorkerAgent::Status() const
{
  const State& self = *this->state;
  return { self.info.has_value(),
           self.IsGranted(),
           self.listed.size(),
           self.ended.size(),
           self.token };
}

} // namespace amaranthwind::agent
