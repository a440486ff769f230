#include "DispatcherHarness.h"

#include <algorithm>

namespace amaranthwind::dispatch {

using namespace std::chrono_literals;

DispatcherHarness::DispatcherHarness(std::uint32_t aWorkers)
{
  for (std::uint32_t i = 0; i < aWorkers; ++i) {
    const std::string name = "vm-" + std::to_string(i);
    Agent& agent = this->agents[name];
    agent.info.life = { base::TargetId("w-" + std::to_string(i)), 1 };
    agent.info.pool = base::PoolId("pool");
    agent.info.rack = base::RackId("r" + std::to_string(i / 3));
    agent.info.capacity = { 64'000, 262'144, 8 };
  }
  this->TakeOver();
}

job::WorkflowSpec
DispatcherHarness::MakeJob(const std::string& aId,
                           std::uint32_t aCount,
                           std::uint32_t aAccelerators)
{
  job::WorkflowSpec spec;
  spec.id = base::JobId(aId);
  spec.account = base::AccountId("club");
  spec.kind = base::WorkKindId("kind");
  spec.pool = base::PoolId("pool");
  spec.urgency = 1;
  spec.maxAttempts = 2;
  spec.stretch = 3;
  spec.slack = 1s;
  job::StepSpec step;
  step.count = aCount;
  step.need = { 1000, 1024, aAccelerators };
  step.estimate = 4s;
  spec.steps = { step };
  return spec;
}

ledger::JobEntry
DispatcherHarness::EntryOf(const std::string& aJob) const
{
  ledger::JobEntry entry;
  entry.spec = std::make_shared<const job::WorkflowSpec>(this->jobs.at(aJob));
  entry.acceptedOffset = base::LogOffset(static_cast<std::uint64_t>(
    std::distance(this->jobs.begin(), this->jobs.find(aJob))));
  const auto found = this->cancelled.find(aJob);
  entry.isCancelRequested = found != this->cancelled.end();
  entry.hasBegunRecord = this->begun.contains(base::JobId(aJob));
  for (const auto& [id, record] : this->durable) {
    if (id.job.View() == aJob) {
      entry.steps[{ id.occurrence, id.step }] = record;
    }
  }
  return entry;
}

void
DispatcherHarness::Submit(const job::WorkflowSpec& aSpec)
{
  auto& spec = this->jobs[aSpec.id.Text()];
  spec = aSpec;
  spec.acceptedAt = this->now.wall;
  this->Finish(
    this->dispatcher->OnJob(this->EntryOf(aSpec.id.Text()), this->now));
}

void
DispatcherHarness::Cancel(const job::WorkflowSpec& aSpec)
{
  this->cancelled[aSpec.id.Text()] = true;
  this->Finish(
    this->dispatcher->OnJob(this->EntryOf(aSpec.id.Text()), this->now));
}

void
DispatcherHarness::Evacuate(const std::vector<base::ZoneId>& aZones)
{
  this->evacuated = aZones;
  this->Finish({});
}

void
DispatcherHarness::TakeOver()
{
  this->writes.clear();
  this->codec.specs.clear();
  this->codec.steps.clear();
  std::vector<journal::KeyedRecord> records;
  for (const auto& [name, spec] : this->jobs) {
    this->codec.specs[name] = spec;
    records.push_back(
      { base::LogOffset(records.size()), ledger::AcceptedKey(spec.id), name });
    if (this->cancelled.contains(name)) {
      records.push_back({ base::LogOffset(records.size()),
                          ledger::CancelledKey(spec.id),
                          "1" });
    }
    if (this->begun.contains(spec.id)) {
      records.push_back(
        { base::LogOffset(records.size()), ledger::BegunKey(spec.id), "1" });
    }
  }
  for (const auto& [id, record] : this->durable) {
    this->codec.steps[ledger::StepKey(id)] = record;
    records.push_back({ base::LogOffset(records.size()),
                        ledger::StepKey(id),
                        ledger::StepKey(id) });
  }
  ledger::JobTable table(this->codec);
  table.Load(records);
  this->dispatcher = std::make_unique<Dispatcher>(
    this->options,
    table,
    std::make_unique<CountingPacking>(this->packCalls),
    *this,
    this->now,
    this->makeLearner ? this->makeLearner() : nullptr);
  this->Finish(this->dispatcher->OnGuarantees(this->guarantees, this->now));
  for (auto& [name, agent] : this->agents) {
    this->Reconnect(name);
    agent.receivedOrder = {}; // Orders are numbered anew.
    if (agent.isReporting) {
      this->Report(name);
    }
  }
}

void
DispatcherHarness::ExecuteEffects(const Effects& aEffects)
{
  for (const auto& effect : aEffects) {
    if (const auto* persist = std::get_if<PersistStep>(&effect)) {
      this->writes.push_back(*persist);
    } else if (const auto* begin = std::get_if<PersistBegin>(&effect)) {
      this->begun.insert(begin->job);
      ++this->begins;
    } else if (const auto* start = std::get_if<StartTask>(&effect)) {
      this->starts.push_back(*start);
      this->SendOrder(start->agent, start->session, effect);
    } else if (const auto* stop = std::get_if<StopTask>(&effect)) {
      this->stopOrders.push_back(*stop);
      this->SendOrder(stop->agent, stop->session, effect);
    } else if (const auto* ack = std::get_if<AcknowledgeEnds>(&effect)) {
      this->acknowledgements.push_back(*ack);
      Agent& agent = this->agents.at(ack->agent.Text());
      if (ack->incarnation != agent.info.life) {
        continue;
      }
      agent.acknowledged = std::max(agent.acknowledged, ack->number);
      agent.ended.erase(agent.ended.begin(),
                        agent.ended.upper_bound(ack->number));
    } else if (const auto* forget = std::get_if<ForgetJob>(&effect)) {
      this->forgotten.push_back(*forget);
    } else if (const auto* deletion = std::get_if<DeleteEndRecord>(&effect)) {
      this->deletedEndRecords.push_back(deletion->id.offset);
    } else if (std::holds_alternative<ConfirmEnds>(effect)) {
      ++this->endConfirmations;
    }
  }
  if (this->persistsImmediately) {
    this->Persist();
  }
}

void
DispatcherHarness::SendOrder(const base::AgentId& aAgent,
                             SessionId aSession,
                             const Effect& aOrder)
{
  Agent& agent = this->agents.at(aAgent.Text());
  if (agent.ignoresOrders || aSession != agent.session) {
    return;
  }
  agent.delayed.push_back(aOrder);
  if (!agent.delaysOrders) {
    this->DeliverOrders(aAgent.Text());
  }
}

void
DispatcherHarness::HandleRecord(const EndRecord& aRecord,
                                base::LogOffset aOffset)
{
  this->Finish(
    this->dispatcher->OnRecordedEnds(aRecord, { 0, aOffset }, this->now));
}

void
DispatcherHarness::KnowEnds(base::TimePoint aAsOf)
{
  this->Finish(this->dispatcher->OnEndsConfirmed(aAsOf, this->now));
}

void
DispatcherHarness::DeliverOrders(const std::string& aAgent)
{
  Agent& agent = this->agents.at(aAgent);
  for (const auto& order : std::exchange(agent.delayed, {})) {
    if (const auto* start = std::get_if<StartTask>(&order)) {
      this->ExecuteStart(agent, *start);
    } else {
      this->ExecuteStop(agent, std::get<StopTask>(order));
    }
  }
}

void
DispatcherHarness::ExecuteStart(Agent& aAgent, const StartTask& aStart)
{
  if (aStart.number <= aAgent.receivedOrder) {
    return;
  }
  aAgent.receivedOrder = aStart.number;
  if (!aAgent.refusesStarts) {
    aAgent.running[aStart.run] = { aStart.run, {}, 0, true };
  }
  if (!aAgent.losesOutcomes) {
    this->Outcome(aStart.agent.Text(),
                  aStart.run,
                  aAgent.refusesStarts ? OrderOutcome::Refused
                                       : OrderOutcome::Started);
  }
}

void
DispatcherHarness::ExecuteStop(Agent& aAgent, const StopTask& aStop)
{
  if (aStop.number <= aAgent.receivedOrder) {
    return;
  }
  aAgent.receivedOrder = aStop.number;
  if (aAgent.running.contains(aStop.run)) {
    if (this->stopsImmediately) {
      this->End(aStop.run, EndKind::Stopped);
    }
  } else if (!aAgent.losesOutcomes) {
    this->Outcome(aStop.agent.Text(), aStop.run, OrderOutcome::Absent);
  }
}

void
DispatcherHarness::Reconnect(const std::string& aAgent)
{
  Agent& agent = this->agents.at(aAgent);
  agent.session = SessionId(agent.session.Get() + 1);
  agent.delayed.clear();
}

void
DispatcherHarness::RestartAgent(const std::string& aAgent)
{
  this->Reconnect(aAgent);
  this->agents.at(aAgent).receivedOrder = {};
}

void
DispatcherHarness::Finish(const Effects& aEffects)
{
  this->ExecuteEffects(aEffects);
  if (this->areJobsConfirmed) {
    this->ExecuteEffects(
      this->dispatcher->OnJobsConfirmed(this->now.now, this->now));
  }
  if (this->areEndsConfirmed) {
    this->ExecuteEffects(
      this->dispatcher->OnEndsConfirmed(this->now.now, this->now));
  }
  if (this->areEvacuationsConfirmed) {
    this->ExecuteEffects(this->dispatcher->OnEvacuations(
      this->evacuated, this->now.now, this->now));
  }
  if (this->dispatcher->NeedsSchedule(this->now)) {
    this->ExecuteEffects(this->dispatcher->Schedule(this->now));
  }
  this->ExecuteEffects(this->dispatcher->Commit(this->now));
}

void
DispatcherHarness::Persist(std::size_t aCount)
{
  const auto end =
    this->writes.begin() +
    static_cast<std::ptrdiff_t>(std::min(aCount, this->writes.size()));
  const std::vector<PersistStep> written(this->writes.begin(), end);
  this->writes.erase(this->writes.begin(), end);
  if (written.empty()) {
    return;
  }
  for (const auto& write : written) {
    this->durable[write.record.id] = write.record;
  }
  this->ExecuteEffects(
    this->dispatcher->OnPersisted(written.back().version, this->now));
}

void
DispatcherHarness::Outcome(const std::string& aAgent,
                           const job::TaskRun& aRun,
                           OrderOutcome aOutcome)
{
  this->Finish(this->dispatcher->OnOutcome(base::AgentId(aAgent),
                                           this->agents.at(aAgent).session,
                                           this->agents.at(aAgent).info.life,
                                           aRun,
                                           aOutcome,
                                           this->now));
}

void
DispatcherHarness::Report(const std::string& aAgent)
{
  this->Handle(this->MakeReport(aAgent), this->agents.at(aAgent).session);
}

void
DispatcherHarness::Handle(const WorkerReport& aReport, SessionId aSession)
{
  this->Finish(this->dispatcher->OnReport(aReport, aSession, this->now));
}

WorkerReport
DispatcherHarness::MakeReport(const std::string& aAgent) const
{
  const Agent& agent = this->agents.at(aAgent);
  WorkerReport report;
  report.agent = base::AgentId(aAgent);
  report.worker = agent.info;
  for (const auto& [run, task] : agent.running) {
    report.running.push_back(task);
  }
  for (const auto& [number, end] : agent.ended) {
    report.ended.push_back(end);
  }
  if (agent.countsOrders) {
    report.receivedOrder = agent.receivedOrder;
  }
  return report;
}

void
DispatcherHarness::Tick()
{
  this->Finish(this->dispatcher->OnTick(this->now));
}

void
DispatcherHarness::Run(base::Duration aTime)
{
  constexpr base::Duration kStep = 500ms;
  for (base::Duration done{}; done < aTime; done += kStep) {
    this->now.now += kStep;
    this->now.wall +=
      std::chrono::duration_cast<base::WallTime::duration>(kStep);
    std::vector<std::string> names;
    for (const auto& [name, agent] : this->agents) {
      if (agent.isReporting) {
        names.push_back(name);
      }
    }
    for (const auto& name : names) {
      this->Report(name);
    }
    this->Tick();
  }
}

void
DispatcherHarness::End(const job::TaskRun& aRun, EndKind aKind)
{
  for (auto& [name, agent] : this->agents) {
    if (agent.running.erase(aRun) > 0) {
      ++agent.lastEnd;
      agent.ended[agent.lastEnd] = {
        agent.lastEnd, aRun, aKind, "saved-" + std::to_string(aRun.run)
      };
    }
  }
}

void
DispatcherHarness::EndAll(const std::string& aJob, EndKind aKind)
{
  for (const auto& run : this->Running(aJob)) {
    this->End(run, aKind);
  }
  for (const auto& [name, agent] : this->agents) {
    if (agent.isReporting) {
      this->Report(name);
    }
  }
}

void
DispatcherHarness::Restart(const std::string& aAgent)
{
  Agent& agent = this->agents.at(aAgent);
  ++agent.info.life.born;
  agent.running.clear();
  agent.ended.clear();
  agent.lastEnd = 0;
}

std::vector<job::TaskRun>
DispatcherHarness::Running(const std::string& aJob) const
{
  std::vector<job::TaskRun> runs;
  for (const auto& [name, agent] : this->agents) {
    for (const auto& [run, task] : agent.running) {
      if (run.task.step.job.View() == aJob) {
        runs.push_back(run);
      }
    }
  }
  return runs;
}

std::string
DispatcherHarness::AgentOf(const job::TaskRun& aRun) const
{
  for (const auto& [name, agent] : this->agents) {
    if (agent.running.contains(aRun)) {
      return name;
    }
  }
  return {};
}

std::uint32_t
DispatcherHarness::Used(const std::string& aAgent) const
{
  std::uint32_t used = 0;
  for (const auto& [run, task] : this->agents.at(aAgent).running) {
    used += this->jobs.at(run.task.step.job.Text())
              .steps.at(run.task.step.step)
              .need.accelerators;
  }
  return used;
}

ledger::JobPhase
DispatcherHarness::Phase(const std::string& aJob) const
{
  return this->EntryOf(aJob).Phase();
}

} // namespace amaranthwind::dispatch
