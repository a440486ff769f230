#pragma once

#include "AgentSessions.h"
#include "DecisionLog.h"
#include "EndRecords.h"
#include "LoadMonitor.h"
#include "RecordForwarder.h"
#include "amaranthwind/coordinator/Coordinator.h"
#include "amaranthwind/journal/FencedWriter.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace amaranthwind::coordinator {

/** Log topic of the job records. */
inline constexpr std::string_view kJobTopic = "jobs";
/** Key of the summary of learned run times and speeds in that topic. */
inline constexpr std::string_view kLearnedKey = "learned";

/**
 * Runs the dispatcher for one term of leadership: persists its decisions and
 * sends its orders to the agents, and passes on the ends that agents have
 * recorded in the log, which are read from the beginning of the term. Confined
 * to one executor; after destruction no callback of the term has an effect.
 */
class DispatchRunner final : private EndRecordObserver
{
public:
  /** @param aOnFenced Called when another coordinator writes, which ends the
   * term.
   */
  DispatchRunner(const CoordinatorOptions& aOptions,
                 base::FencingToken aToken,
                 const base::Clock& aClock,
                 base::Executor& aExecutor,
                 journal::KeyedLog& aLog,
                 const ledger::RecordCodec& aCodec,
                 AgentSessions& aSessions,
                 DecisionLog& aDecisions,
                 LoadMonitor& aLoad,
                 EndRecordLog& aEndRecordLog,
                 std::function<void()> aOnFenced);
  ~DispatchRunner() override;
  DispatchRunner(const DispatchRunner&) = delete;
  DispatchRunner& operator=(const DispatchRunner&) = delete;

  /**
   * Fences off previous coordinators, then confirms the recorded ends and calls
   * aDone.
   */
  void FencePredecessors(std::function<void()> aDone);
  /**
   * Starts dispatching from the jobs in the table, after the recorded ends that
   * were read so far. Tasks are placed once these are confirmed.
   * @param aLearned What a predecessor has learned.
   */
  void StartDispatching(const ledger::JobTable& aJobs,
                        std::span<const dispatch::AccountGuarantee> aGuarantees,
                        const estimation::LearnedSummary& aLearned);
  bool IsDispatching() const noexcept { return this->dispatcher != nullptr; }

  void OnJob(const ledger::JobEntry& aJob);
  void OnEarlyCancellation(const base::JobId& aJob);
  /** OnJob() was called for all records acknowledged before this time. */
  void OnJobsConfirmed(base::TimePoint aAsOf);
  void OnGuarantees(std::span<const dispatch::AccountGuarantee> aGuarantees);
  /** All evacuations acknowledged before aAsOf are among aZones. */
  void OnEvacuations(std::span<const base::ZoneId> aZones,
                     base::TimePoint aAsOf);
  void OnReport(protocol::ConnectionId aConnection,
                const protocol::AgentReport& aReport,
                base::TimePoint aReceivedAt);
  void OnOutcome(protocol::ConnectionId aConnection,
                 const base::AgentId& aAgent,
                 const protocol::AgentOutcome& aOutcome);
  void OnPredecessorSteppedDown();
  /**
   * Appends a record of a caller with the next records of this term. aObserver
   * is called with Queued if the record is taken, then once with its final
   * state.
   */
  void Append(journal::KeyedValue aRecord, AppendHandler aObserver);
  /**
   * Returns the submitted records to their entries, which may append them
   * themselves.
   */
  void GiveUpSubmissions();
  void OnTick();
  /**
   * Schedules and writes records after a batch of events. Must be called after
   * OnJob(), OnReport(), OnOutcome() and Append(), which only update the state.
   */
  void FinishBatch();

  base::FencingToken Token() const noexcept { return this->token; }
  /** Records of decisions and of callers that are not known to be durable. */
  std::size_t UndurableRecords() const;
  dispatch::Dispatcher::Counts Count() const;

private:
  /** A record of a caller; the observer is empty once it has the result. */
  struct Submission
  {
    journal::KeyedValue record;
    AppendHandler observer;

    void Finish(protocol::AppendState aState);
  };
  using Submissions = std::vector<std::shared_ptr<Submission>>;

  /** A record of the dispatcher that waits for an append. */
  struct UnwrittenRecord
  {
    journal::KeyedValue record;
    /** 0 if the dispatcher does not wait for it. */
    std::uint64_t version = 0;
    base::TimePoint decidedAt{};
  };

  void OnRecordedEnds(std::span<const ReadEndRecord> aRecords) override;
  void OnEndsConfirmed(std::uint32_t aPartition,
                       base::TimePoint aAsOf) override;
  /** Confirms the recorded ends of all partitions. */
  void ConfirmEnds();
  void ExecuteEffects(dispatch::Effects aEffects);
  /** Queues the record until the next append that has room for it. */
  void QueueRecord(journal::KeyedValue aRecord, std::uint64_t aVersion = 0);
  std::string EncodeStep(ledger::StepRecord aRecord);
  /**
   * Unless an append is under way, writes the records that callers have
   * submitted and as many of the dispatcher's as fit the same append.
   */
  void WriteNext();
  std::vector<journal::WriteRequest> TakeSubmissions();
  /**
   * The record of what was learned, if it is due, has changed and fits; it goes
   * with an append of other records only, and is dropped if that is refused.
   */
  std::optional<journal::WriteRequest> TakeLearned(std::size_t aMaxBytes);
  /** Removes submissions that have their result. */
  void ForgetFinished();
  /** The dispatcher's records up to aVersion are durable; 0 if none is new. */
  void OnWritten(std::uint64_t aVersion);
  /** Runs a scheduling pass now, or as soon as its share of time allows. */
  void ScheduleIfDue();
  dispatch::ClockReading Now() const;

  const CoordinatorOptions& options;
  const base::FencingToken token;
  const base::Clock& clock;
  base::Executor& executor;
  const ledger::RecordCodec& codec;
  AgentSessions& sessions;
  DecisionLog& decisions;
  LoadMonitor& load;
  /** Largest record that the log takes, see journal::SizeOf(). */
  const std::size_t maxRecordBytes;
  std::unique_ptr<journal::FencedWriter> writer;
  /** By partition. */
  std::vector<std::unique_ptr<EndRecords>> endRecords;
  /** As of when the recorded ends are known, by partition. */
  std::array<base::TimePoint, dispatch::kEndPartitions> endsAsOf{};
  /** In the order in which they must become durable. */
  std::deque<UnwrittenRecord> unwritten;
  /** Submitted records that wait for the append under way. */
  Submissions submitted;
  std::size_t submittedBytes = 0;
  /** Submitted records whose append is not confirmed. */
  Submissions writing;
  std::unique_ptr<dispatch::Dispatcher> dispatcher;
  /** Sequence number of the latest report of each agent. */
  std::map<base::AgentId, std::uint64_t> reportSequences;
  base::TimePoint jobsAsOf{};
  bool hasPredecessorSteppedDown = false;
  base::TimePoint nextLearnedAt{};
  /** The record of what was learned that was last given to the writer. */
  std::string writtenLearned;
  /** Earliest time of the next scheduling pass. */
  base::TimePoint nextPassAt{};
  bool isPassPending = false;
  /** Disables callbacks that run after the term has ended. */
  std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

} // namespace amaranthwind::coordinator
