#pragma once

#include "GivenLease.h"
#include "PastEnds.h"

#include "amaranthwind/agent/WorkerAgent.h"
#include "amaranthwind/base/Backoff.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace amaranthwind::agent {

using base::Duration;
using base::TimePoint;
using dispatch::EndedTask;
using dispatch::OrderOutcome;
using dispatch::RunningTask;
using job::TaskRun;

enum class RunPhase : std::uint8_t
{
  Starting,
  Started,
  Stopping, // A stop has been sent or is being retried.
  Stopped,  // The worker has accepted the stop.
};

struct Run
{
  RunPhase phase = RunPhase::Starting;
  std::string payload;
  std::string checkpoint;
  std::uint32_t startAttempts = 0;
  /** No start is sent to the worker from this time on. */
  TimePoint startBefore = TimePoint::max();
  /** A request was not answered and may still take effect on the worker. */
  bool mayTakeEffectLate = false;
  /**
   * Tracked only to cancel a delayed start; the coordinator already treats the
   * run as ended, so it is left out of reports.
   */
  bool isCancellationOnly = false;
  /**
   * Number of the last hold sent before the worker accepted the request; only
   * later task lists reflect it.
   */
  std::uint64_t lastHoldBeforeAccept = 0;
  base::Backoff backoff{ { std::chrono::milliseconds(100),
                           std::chrono::milliseconds(500) } };
};

/**
 * A start that the worker may still carry out, because an attempt to send it
 * was not answered. It may arrive seconds later, after the run has ended, and
 * at the next life of the worker under the same id.
 */
struct LateStart
{
  /** The life that the start was sent to. */
  ledger::WorkerIncarnation life;
  TimePoint sentAt{};
  std::uint32_t unanswered = 0;
  /** Another attempt was accepted, so that the run is not to be cancelled on
   * the life that it was sent to. */
  bool isAccepted = false;
};

/** A report that the coordinator may still answer. */
struct SentReport
{
  TimePoint sentAt{};
  /** Of the worker that it reports; see State. */
  std::uint64_t incarnationNumber = 0;
};

/** Formats a run as "job.occurrence.step.index#run". */
std::string
ToLogText(const TaskRun& aRun);

struct WorkerAgent::State : std::enable_shared_from_this<State>
{
  State(const AgentOptions& aOptions,
        const base::Clock& aClock,
        base::Executor& aExecutor,
        WorkerPort& aWorker,
        CoordinatorPort& aCoordinator,
        EndRecorder& aEndRecorder,
        telemetry::Logger& aLogger)
    : options(aOptions)
    , clock(aClock)
    , executor(aExecutor)
    , worker(aWorker)
    , coordinator(aCoordinator)
    , endRecorder(aEndRecorder)
    , logger(aLogger)
    , givenLease(aOptions.maxLease)
  {
  }

  /**
   * Wraps aAction in a handler that posts it to the executor and drops it when
   * the worker's incarnation has changed or the agent has stopped.
   */
  template<typename Answer, typename Action>
  std::function<void(Answer)> BindToIncarnation(Action aAction)
  {
    return [weak = this->weak_from_this(),
            number = this->incarnationNumber,
            action = std::move(aAction)](Answer aAnswer) {
      if (const auto self = weak.lock()) {
        self->executor.Post(
          [weak, number, action, answer = std::move(aAnswer)] {
            const auto agent = weak.lock();
            if (agent != nullptr && !agent->isStopped &&
                agent->incarnationNumber == number) {
              action(*agent, answer);
            }
          });
      }
    };
  }

  void RunAfterDelay(Duration aDelay, std::function<void(State&)> aTask);

  // Incarnations of the worker (AgentIncarnation.cpp).
  void BeginIncarnation(const dispatch::WorkerInfo& aInfo);
  void EndIncarnation(std::string_view aReason);
  /**
   * Withholds reports while a late start may be under way on the next
   * incarnation, which has not registered. It lasts no longer than a lease.
   */
  void AwaitNextIncarnation();
  /** Whether this life of the worker has deregistered. */
  bool IsDeregistered(const ledger::WorkerIncarnation& aLife) const;
  /**
   * Whether a failed hold shows that the worker, which has deregistered, has
   * ended. Returns the reason, or null.
   */
  const char* EndOfDeregisteredWorker(base::ErrorCode aFailure);
  /** Polls a deregistered worker until it has ended. */
  void AwaitWorkerEnd();
  /** Logs the ends that are given up for lack of an acknowledgement. */
  void LimitPastEnds();
  /** Discards those that are too old to arrive. */
  void ForgetLateStarts();
  /** Rules the late starts to earlier lives out on the new one. */
  void CancelLateStarts();
  /**
   * Whether requests to a previous incarnation may still take effect, because
   * their cancellation is in progress or waits for the new incarnation to
   * register. A report would release their tasks too early.
   */
  bool HasUncancelledRequests() const;

  // The lease (AgentIncarnation.cpp).
  bool IsGranted() const;
  /**
   * The end of the grant on the worker's clock, capped at the maximum lease and
   * scaled for a slow clock so that it is never later in real time. Empty if
   * the lease is not to be extended.
   */
  std::optional<WorkerClockTime> LeaseDeadline() const;
  /** To be called when a request with the deadline is sent. */
  void ExtendLeaseBound(WorkerClockTime aDeadline);
  /** Earliest time that the worker's clock may show; empty if unknown. */
  std::optional<WorkerClockTime> EarliestWorkerClock() const;
  /** Logs if the worker's lease has lapsed by the given time. */
  void LogLapse(WorkerClockTime aClock);
  /** Continues the loop of holds, which has at most one hold in flight. */
  void ContinueHoldLoop();
  /** Sends a hold outside the loop, which the worker answers immediately. */
  void HoldNow();
  void Hold(std::chrono::milliseconds aWait,
            void (*aContinuation)(State&, bool));
  void OnHoldAnswer(const base::Result<HoldReply>& aAnswer,
                    std::uint64_t aNumber,
                    std::uint64_t aLastSeen,
                    void (*aContinuation)(State&, bool));
  void ApplyTaskList(const HoldReply& aAnswer, std::uint64_t aNumber);
  /** Keeps the ends that were not listed before; returns whether there are any.
   */
  bool AdoptEnds(const HoldReply& aAnswer);
  /** Drops a checkpoint that is too long. */
  void LimitCheckpoint(const TaskRun& aRun, std::string& aCheckpoint);
  /**
   * Returns true if the task list settles the run, which has no listed end and
   * then is discarded.
   */
  bool ResolveRun(const TaskRun& aRun, const Run& aState);

  // Commands (AgentCommands.cpp).
  /** Adopts the token if it is newer; orders are numbered anew under it. */
  void AdvanceToken(base::FencingToken aToken);
  /**
   * Counts the order as received. Returns false if a newer coordinator is known
   * or the order was received before.
   */
  bool AcceptOrder(const dispatch::OrderId& aOrder, const TaskRun& aRun);
  void ReportOutcome(const TaskRun& aRun, OrderOutcome aOutcome);
  /** Sends the start when it is its turn, see TakeTurns(). */
  void SendStart(const TaskRun& aRun);
  /** Returns false if the start needs no request any more. */
  bool SendStartNow(const TaskRun& aRun);
  /** Retries after a backoff, unless the phase of the run has changed. */
  void RetryLater(const TaskRun& aRun, void (State::*aSend)(const TaskRun&));
  /** Counts the answer to an attempt to start the run. */
  void SettleLateStart(const TaskRun& aRun, WorkerRequestResult aResult);
  void OnStartAnswer(const TaskRun& aRun, const WorkerRequestReply& aAnswer);
  /**
   * Why the run must not be started, or null. Checked before each attempt,
   * because conditions change between them.
   */
  const char* RefusalOf(const Run& aRun) const;
  void AbandonStart(const TaskRun& aRun, std::string_view aReason);
  /** Sends the stop when it is its turn, see TakeTurns(). */
  void SendStop(const TaskRun& aRun);
  bool SendStopNow(const TaskRun& aRun);
  /**
   * Sends the next starts and stops while few are under way, so that the worker
   * can answer each in time and holds find a free connection.
   */
  void TakeTurns();
  void OnStopAnswer(const TaskRun& aRun, const WorkerRequestReply& aAnswer);

  // Reports (AgentReports.cpp).
  /**
   * Reports a change of the worker's state. While the newest report is
   * unanswered, the change waits for its answer or for the next periodic
   * report.
   */
  void ReportChange();
  void ScheduleReport();
  void ReportLoop();
  void SendReport();

  const AgentOptions options;
  const base::Clock& clock;
  base::Executor& executor;
  WorkerPort& worker;
  CoordinatorPort& coordinator;
  EndRecorder& endRecorder;
  telemetry::Logger& logger;
  bool isStopped = false;

  /** Counts incarnations; responses to requests of earlier ones are dropped. */
  std::uint64_t incarnationNumber = 0;
  std::optional<dispatch::WorkerInfo> workerInfo;
  /** When the worker sent the registration that workerInfo is from. */
  TimePoint registeredAt{};
  base::TargetId lastWorkerId;
  std::uint64_t registrationSequence = 0;
  TimePoint incarnationStart{};
  /** The newest ones; they do not register again. */
  std::deque<ledger::WorkerIncarnation> deregisteredLives;
  /** Whether the worker answered holds until it deregistered. */
  bool wasAnsweringUntilDeregistration = false;
  /** Holds in a row whose connections a deregistered worker has closed. */
  std::uint32_t closedHolds = 0;
  /**
   * Whether a worker has registered since this process started, and since a
   * registration turned out to be of another life than the one that answers.
   */
  bool hasRegistered = false;

  /** Running tasks in the newest task list. */
  std::map<TaskRun, RunningTask> listedTasks;
  /** Ended tasks that the coordinator has not acknowledged, by number. */
  EndsByNumber unacknowledgedEnds;
  PastEnds pastEnds;
  /** Whether the current incarnation has listed its tasks. */
  bool hasTaskList = false;
  /** Whether the newest task list may lack some ended tasks. */
  bool mayHaveMoreEnds = false;
  /** Number of the last hold sent; holds are numbered in sending order. */
  std::uint64_t lastHoldNumber = 0;
  /** Number of the hold that returned the newest task list. */
  std::uint64_t taskListHoldNumber = 0;
  /** Failed holds since the last successful one. */
  std::uint32_t consecutiveHoldFailures = 0;
  bool isHoldInFlight = false;
  base::Backoff holdBackoff{ { std::chrono::milliseconds(100),
                               std::chrono::milliseconds(500) } };
  /** Newest reading of the worker's clock and when it was received. */
  std::optional<std::pair<WorkerClockTime, TimePoint>> workerClock;
  std::uint64_t lastAcknowledgedEnd = 0;
  /** The worker has discarded the ends up to this number. */
  std::uint64_t lastDiscardedEnd = 0;
  TimePoint lastHoldAnswerAt{};

  std::map<TaskRun, Run> runs;
  /** Starts and stops that wait; each returns whether it has sent a request. */
  std::deque<std::function<bool(State&)>> waitingRequests;
  /** Starts and stops that the worker has not answered. */
  std::size_t requestsInFlight = 0;

  base::FencingToken token;
  /** Highest number of an order received under the token. */
  dispatch::OrderNumber receivedOrder;
  /** For the current incarnation of the worker. */
  TimePoint grantUntil{};
  /** Upper bound of the end of the worker's lease. */
  TimePoint leaseBound{};
  GivenLease givenLease;
  std::uint64_t lastReport = 0;
  std::uint64_t lastAnsweredReport = 0;
  bool isReportScheduled = false;
  bool hasUnreportedChange = false;
  /** Of all lives of the worker. */
  std::map<TaskRun, LateStart> lateStarts;
  /**
   * Without a worker, reports are withheld until then while a late start may
   * reach the next life under the id of the last worker.
   */
  TimePoint lateStartsUntil{};
  /** The newest answered report and all later ones. */
  std::map<std::uint64_t, SentReport> sentReports;
};

} // namespace amaranthwind::agent
