#pragma once

#include "amaranthwind/dispatch/Dispatcher.h"
#include "amaranthwind/ledger/JobTable.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace amaranthwind::dispatch {

/** Looks records up by name; the harness fills in the decoded values. */
class FakeRecordCodec final : public ledger::RecordCodec
{
public:
  std::string EncodeWorkflow(const job::WorkflowSpec&) const override
  {
    return "1";
  }
  base::Result<job::WorkflowSpec> DecodeWorkflow(
    std::string_view aValue) const override
  {
    return this->specs.at(std::string(aValue));
  }
  std::string EncodeStep(const ledger::StepRecord&) const override
  {
    return "1";
  }
  base::Result<ledger::StepRecord> DecodeStep(
    std::string_view aValue) const override
  {
    return this->steps.at(std::string(aValue));
  }

  std::map<std::string, job::WorkflowSpec> specs;
  std::map<std::string, ledger::StepRecord> steps;
};

/** Best-fit placement that counts its calls. */
class CountingPacking final : public Packing
{
public:
  explicit CountingPacking(std::uint64_t& aCalls)
    : calls(aCalls)
  {
  }
  std::vector<std::uint32_t> Pack(std::span<const PackingWorker> aWorkers,
                                  const PackingRequest& aRequest) const override
  {
    ++this->calls;
    return this->packing.Pack(aWorkers, aRequest);
  }

private:
  BestFitPacking packing;
  std::uint64_t& calls;
};

/**
 * Test harness: a dispatcher with simulated workers of 8 accelerators, three
 * per rack, whose agents execute every order immediately.
 */
class DispatcherHarness : public DispatchObserver
{
public:
  explicit DispatcherHarness(std::uint32_t aWorkers = 3);

  /** Makes a one-step job of `aCount` tasks with `aAccelerators` each. */
  static job::WorkflowSpec MakeJob(const std::string& aId,
                                   std::uint32_t aCount,
                                   std::uint32_t aAccelerators);
  void Submit(const job::WorkflowSpec& aSpec);
  void Cancel(const job::WorkflowSpec& aSpec);
  /** The given zones are evacuated, as is known now. */
  void Evacuate(const std::vector<base::ZoneId>& aZones);
  /**
   * Makes pending writes durable, all or the first ones, and executes the
   * resulting effects.
   */
  void Persist(std::size_t aCount = SIZE_MAX);
  std::size_t PendingWrites() const { return this->writes.size(); }
  /** Advances the time in steps; agents with `isReporting` report. */
  void Run(base::Duration aTime);
  void Tick();
  void Report(const std::string& aAgent);
  WorkerReport MakeReport(const std::string& aAgent) const;
  void Handle(const WorkerReport& aReport, SessionId aSession);
  void HandleRecord(const EndRecord& aRecord, base::LogOffset aOffset);
  /** The ends recorded before this time were read. */
  void KnowEnds(base::TimePoint aAsOf);
  /** Delivers the orders that the agent's connection has delayed. */
  void DeliverOrders(const std::string& aAgent);
  /** The agent connects again; orders that were not delivered are lost. */
  void Reconnect(const std::string& aAgent);
  /** Also restarts the agent, which forgets the orders that it received. */
  void RestartAgent(const std::string& aAgent);
  /** Ends the run on its worker; the next Report() contains the end. */
  void End(const job::TaskRun& aRun, EndKind aKind);
  /** Ends all running runs of the job and reports. */
  void EndAll(const std::string& aJob, EndKind aKind);
  /** Simulates a crash and restart of the agent's worker. */
  void Restart(const std::string& aAgent);
  /** Replaces the dispatcher by one restored from the durable records. */
  void TakeOver();
  void Outcome(const std::string& aAgent,
               const job::TaskRun& aRun,
               OrderOutcome aOutcome);

  /** Runs of the job that are on workers. */
  std::vector<job::TaskRun> Running(const std::string& aJob) const;
  std::string AgentOf(const job::TaskRun& aRun) const;
  std::uint32_t Used(const std::string& aAgent) const;
  ledger::JobPhase Phase(const std::string& aJob) const;

  void OnPlaced(const job::TaskRun&,
                const base::AgentId&,
                base::Duration) override
  {
  }
  void OnPlacementWithdrawn(const job::TaskRun& aRun,
                            const base::AgentId&,
                            std::string_view) override
  {
    this->withdrawn.push_back(aRun);
  }
  void OnRunTimeLearned(const RunTimeOutcome& aOutcome) override
  {
    this->runTimes.push_back(aOutcome);
  }
  void OnStartRepeated(const job::TaskRun&, const base::AgentId&) override {}
  void OnEnded(const job::TaskRun&,
               const base::AgentId&,
               EndKind,
               std::uint32_t) override
  {
  }
  void OnLateCompletion(const job::TaskRun& aRun,
                        const base::AgentId&,
                        std::uint32_t aLatest) override
  {
    this->lateCompletions.emplace_back(aRun.run, aLatest);
  }
  void OnEndIgnored(const job::TaskRun&,
                    const base::AgentId&,
                    EndKind,
                    std::string_view aReason) override
  {
    this->ignoredEnds.emplace_back(aReason);
  }
  void OnStopping(const job::TaskRun& aRun,
                  const base::AgentId&,
                  std::string_view aReason,
                  double) override
  {
    this->stops.emplace_back(job::ToText(aRun.task) + ": " +
                             std::string(aReason));
  }
  void OnLost(const job::TaskRun&, std::string_view) override { ++this->lost; }
  void OnWorkerChanged(const base::AgentId&, std::string_view) override {}
  void OnJobEnded(const base::JobId&, std::string_view, base::Duration) override
  {
  }

  struct Agent
  {
    WorkerInfo info;
    std::map<job::TaskRun, RunningTask> running;
    std::map<std::uint64_t, EndedTask> ended;
    std::uint64_t lastEnd = 0;
    std::uint64_t acknowledged = 0;
    bool isReporting = true;
    /** Orders are dropped. */
    bool ignoresOrders = false;
    /** Orders wait for DeliverOrders(). */
    bool delaysOrders = false;
    /** Starts are refused. */
    bool refusesStarts = false;
    /** Outcomes of orders do not reach the dispatcher. */
    bool losesOutcomes = false;
    /** Older agents do not count their orders. */
    bool countsOrders = true;
    OrderNumber receivedOrder;
    SessionId session{ 1 };
    std::vector<Effect> delayed;
  };

  std::map<std::string, Agent> agents;
  std::map<job::StepId, ledger::StepRecord> durable;
  /** Jobs of which a task is recorded to have begun. */
  std::set<base::JobId> begun;
  /** Number of these records. */
  int begins = 0;
  std::vector<StartTask> starts;
  std::vector<StopTask> stopOrders;
  std::vector<std::string> stops;
  /** Placements that were withdrawn before their start was ordered. */
  std::vector<job::TaskRun> withdrawn;
  std::vector<ForgetJob> forgotten;
  /** Runs that completed after they were given up, and the latest runs. */
  std::vector<std::pair<std::uint32_t, std::uint32_t>> lateCompletions;
  /** Why done ends were ignored. */
  std::vector<std::string> ignoredEnds;
  std::vector<AcknowledgeEnds> acknowledgements;
  std::vector<base::LogOffset> deletedEndRecords;
  /** Number of requests to confirm the recorded ends. */
  int endConfirmations = 0;
  std::vector<RunTimeOutcome> runTimes;
  std::optional<estimation::LearnedSummary> Learned() const
  {
    return this->dispatcher->Learned();
  }
  /** Makes the learner of the next dispatcher; empty: none. */
  std::function<std::unique_ptr<estimation::RunTimeLearner>()> makeLearner;
  int lost = 0;
  /** Number of calls of Packing::Pack(). */
  std::uint64_t packCalls = 0;
  /** Stop orders end a run immediately; otherwise it runs until End(). */
  bool stopsImmediately = true;
  /** Writes become durable within the call that issues them. */
  bool persistsImmediately = true;
  /** The log was read to its end before each event. */
  bool areJobsConfirmed = true;
  /** The recorded ends were read to their end before each event. */
  bool areEndsConfirmed = true;
  /** The evacuations were read to their end before each event. */
  bool areEvacuationsConfirmed = true;
  ClockReading now{ base::TimePoint{ std::chrono::hours(1) },
                    base::WallTime{ std::chrono::hours(1000) } };
  DispatcherOptions options;
  std::vector<AccountGuarantee> guarantees;

private:
  /** Executes the effects of an event, then schedules and commits. */
  void Finish(const Effects& aEffects);
  void ExecuteEffects(const Effects& aEffects);
  void SendOrder(const base::AgentId& aAgent,
                 SessionId aSession,
                 const Effect& aOrder);
  void ExecuteStart(Agent& aAgent, const StartTask& aStart);
  void ExecuteStop(Agent& aAgent, const StopTask& aStop);
  ledger::JobEntry EntryOf(const std::string& aJob) const;

  FakeRecordCodec codec;
  std::map<std::string, job::WorkflowSpec> jobs;
  std::map<std::string, bool> cancelled;
  std::vector<base::ZoneId> evacuated;
  std::vector<PersistStep> writes;
  std::unique_ptr<Dispatcher> dispatcher;
};

} // namespace amaranthwind::dispatch
