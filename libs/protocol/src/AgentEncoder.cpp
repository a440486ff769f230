// Encodes the messages between a coordinator and the daemons of workers, and
// between coordinating entries.

#include "WireEncoder.h"

#include <memory>

namespace amaranthwind::protocol {

using flatbuffers::Offset;

namespace {

std::unique_ptr<wire::LifeT>
ToWire(const ledger::WorkerIncarnation& aLife)
{
  auto life = std::make_unique<wire::LifeT>();
  life->worker = aLife.id.Text();
  life->born = aLife.born;
  return life;
}

std::unique_ptr<wire::RunT>
ToWire(const job::TaskRun& aRun)
{
  auto run = std::make_unique<wire::RunT>();
  run->task = job::ToText(aRun.task);
  run->run = aRun.run;
  return run;
}

std::unique_ptr<wire::WorkerT>
ToWire(const dispatch::WorkerInfo& aWorker)
{
  auto worker = std::make_unique<wire::WorkerT>();
  worker->life = ToWire(aWorker.life);
  worker->pool = aWorker.pool.Text();
  worker->zone = aWorker.zone.Text();
  worker->rack = aWorker.rack.Text();
  worker->labels = aWorker.labels;
  worker->milli_cores = aWorker.capacity.milliCores;
  worker->memory_mib = aWorker.capacity.memoryMiB;
  worker->accelerators = aWorker.capacity.accelerators;
  worker->is_draining = aWorker.isDraining;
  worker->cold_for_ms = static_cast<std::uint32_t>(aWorker.coldFor.count());
  return worker;
}

std::unique_ptr<wire::EndedTaskT>
ToWire(const dispatch::EndedTask& aEnd)
{
  auto ended = std::make_unique<wire::EndedTaskT>();
  ended->number = aEnd.number;
  ended->run = ToWire(aEnd.run);
  ended->kind = static_cast<std::uint8_t>(aEnd.kind);
  ended->checkpoint = aEnd.checkpoint;
  return ended;
}

/** Writes the runs of a report or of a part of one. */
template<typename ReportT>
void
AddRuns(std::span<const dispatch::RunningTask> aRunning,
        std::span<const dispatch::EndedTask> aEnded,
        std::span<const dispatch::PastEnd> aPastEnds,
        ReportT& aOut)
{
  for (const auto& each : aRunning) {
    auto running = std::make_unique<wire::RunningTaskT>();
    running->run = ToWire(each.run);
    running->checkpoint = each.checkpoint;
    running->percent = each.percent;
    running->has_begun = each.hasBegun;
    aOut.running.push_back(std::move(running));
  }
  for (const auto& each : aEnded) {
    aOut.ended.push_back(ToWire(each));
  }
  for (const auto& each : aPastEnds) {
    auto past = std::make_unique<wire::PastEndT>();
    past->life = ToWire(each.life);
    past->end = ToWire(each.end);
    aOut.past_ends.push_back(std::move(past));
  }
}

} // namespace

Offset<wire::AgentReport>
WireEncoder::operator()(const AgentReport& aReport)
{
  wire::AgentReportT report;
  report.sequence = aReport.sequence;
  report.token = aReport.token.Get();
  report.agent = aReport.report.agent.Text();
  if (aReport.report.worker) {
    report.worker = ToWire(*aReport.report.worker);
  }
  AddRuns(aReport.report.running,
          aReport.report.ended,
          aReport.report.pastEnds,
          report);
  report.parts = aReport.parts;
  report.may_have_more_ends = aReport.report.mayHaveMoreEnds;
  if (aReport.report.receivedOrder) {
    report.received_order = aReport.report.receivedOrder->Get();
  }
  return wire::CreateAgentReport(this->builder, &report);
}

Offset<wire::AgentReportPart>
WireEncoder::operator()(const AgentReportPart& aPart)
{
  wire::AgentReportPartT part;
  part.sequence = aPart.sequence;
  AddRuns(aPart.running, aPart.ended, aPart.pastEnds, part);
  return wire::CreateAgentReportPart(this->builder, &part);
}

Offset<wire::AgentGrant>
WireEncoder::operator()(const AgentGrant& aGrant)
{
  return wire::CreateAgentGrant(
    this->builder,
    aGrant.sequence,
    aGrant.token.Get(),
    static_cast<std::uint32_t>(aGrant.duration.count()));
}

Offset<wire::AgentAck>
WireEncoder::operator()(const AgentAck& aAck)
{
  wire::AgentAckT ack;
  ack.life = ToWire(aAck.life);
  ack.number = aAck.number;
  return wire::CreateAgentAck(this->builder, &ack);
}

Offset<wire::AgentStart>
WireEncoder::operator()(const AgentStart& aStart)
{
  wire::AgentStartT start;
  start.token = aStart.token.Get();
  start.life = ToWire(aStart.life);
  start.run = ToWire(aStart.run);
  start.payload = aStart.payload;
  start.checkpoint = aStart.checkpoint;
  start.number = aStart.number.Get();
  start.report_sequence = aStart.validity.reportSequence;
  start.valid_for_ms =
    static_cast<std::uint32_t>(aStart.validity.duration.count());
  return wire::CreateAgentStart(this->builder, &start);
}

Offset<wire::AgentStop>
WireEncoder::operator()(const AgentStop& aStop)
{
  wire::AgentStopT stop;
  stop.token = aStop.token.Get();
  stop.life = ToWire(aStop.life);
  stop.run = ToWire(aStop.run);
  stop.number = aStop.number.Get();
  return wire::CreateAgentStop(this->builder, &stop);
}

Offset<wire::AgentOutcome>
WireEncoder::operator()(const AgentOutcome& aOutcome)
{
  wire::AgentOutcomeT outcome;
  outcome.life = ToWire(aOutcome.life);
  outcome.run = ToWire(aOutcome.run);
  outcome.outcome = static_cast<std::uint8_t>(aOutcome.outcome);
  return wire::CreateAgentOutcome(this->builder, &outcome);
}

Offset<wire::LeaderNotice>
WireEncoder::operator()(const LeaderNotice& aNotice)
{
  const auto address = this->String(aNotice.address);
  return wire::CreateLeaderNotice(this->builder, aNotice.token.Get(), address);
}

Offset<wire::AppendRecord>
WireEncoder::operator()(const AppendRecord& aAppend)
{
  const auto key = this->String(aAppend.key);
  const auto value = this->String(aAppend.value);
  return wire::CreateAppendRecord(this->builder, aAppend.number, key, value);
}

Offset<wire::AppendRecordReply>
WireEncoder::operator()(const AppendRecordReply& aReply)
{
  return wire::CreateAppendRecordReply(
    this->builder, aReply.number, static_cast<std::uint8_t>(aReply.state));
}

} // namespace amaranthwind::protocol
