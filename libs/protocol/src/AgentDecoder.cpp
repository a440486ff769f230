#include "AgentDecoder.h"

#include <string>
#include <string_view>

namespace amaranthwind::protocol {

using base::ErrorCode;
using base::Fail;
using base::Result;

namespace {

std::string
Text(const flatbuffers::String* aString)
{
  return aString == nullptr ? std::string() : aString->str();
}

Result<ledger::WorkerIncarnation>
ToWorkerIncarnation(const wire::Life* aLife, std::string_view aField)
{
  if (aLife == nullptr || Text(aLife->worker()).empty()) {
    return Fail(ErrorCode::MissingField, aField);
  }
  return ledger::WorkerIncarnation{ base::TargetId(Text(aLife->worker())),
                                    aLife->born() };
}

Result<job::TaskRun>
ToRun(const wire::Run* aRun, std::string_view aField)
{
  if (aRun == nullptr || aRun->run() == 0) {
    return Fail(ErrorCode::MissingField, aField);
  }
  BOOST_OUTCOME_TRY(auto task, job::ParseTaskId(Text(aRun->task())));
  return job::TaskRun{ std::move(task), aRun->run() };
}

Result<dispatch::WorkerInfo>
ToWorker(const wire::Worker& aWorker)
{
  dispatch::WorkerInfo worker;
  BOOST_OUTCOME_TRY(
    worker.life,
    ToWorkerIncarnation(aWorker.life(), "AgentReport.worker.life"));
  worker.pool = base::PoolId(Text(aWorker.pool()));
  worker.zone = base::ZoneId(Text(aWorker.zone()));
  worker.rack = base::RackId(Text(aWorker.rack()));
  if (aWorker.labels() != nullptr) {
    for (const auto* label : *aWorker.labels()) {
      worker.labels.push_back(Text(label));
    }
  }
  worker.capacity = { aWorker.milli_cores(),
                      aWorker.memory_mib(),
                      aWorker.accelerators() };
  worker.isDraining = aWorker.is_draining();
  worker.coldFor = std::chrono::milliseconds(aWorker.cold_for_ms());
  return worker;
}

Result<dispatch::EndedTask>
ToEndedTask(const wire::EndedTask& aEnd)
{
  BOOST_OUTCOME_TRY(auto run, ToRun(aEnd.run(), "AgentReport.ended.run"));
  if (aEnd.kind() > static_cast<std::uint8_t>(dispatch::EndKind::Alone)) {
    return Fail(ErrorCode::OutOfRange, "AgentReport.ended.kind");
  }
  return dispatch::EndedTask{ aEnd.number(),
                              std::move(run),
                              static_cast<dispatch::EndKind>(aEnd.kind()),
                              Text(aEnd.checkpoint()) };
}

/** Reads the runs of a report or of a part of one. */
template<typename Report>
Result<void>
ReadRuns(const Report& aReport,
         std::vector<dispatch::RunningTask>& aRunning,
         std::vector<dispatch::EndedTask>& aEnded,
         std::vector<dispatch::PastEnd>& aPastEnds)
{
  if (aReport.running() != nullptr) {
    for (const auto* each : *aReport.running()) {
      BOOST_OUTCOME_TRY(auto run,
                        ToRun(each->run(), "AgentReport.running.run"));
      aRunning.push_back({ std::move(run),
                           Text(each->checkpoint()),
                           each->percent(),
                           each->has_begun() });
    }
  }
  if (aReport.ended() != nullptr) {
    for (const auto* each : *aReport.ended()) {
      BOOST_OUTCOME_TRY(auto end, ToEndedTask(*each));
      aEnded.push_back(std::move(end));
    }
  }
  if (aReport.past_ends() != nullptr) {
    for (const auto* each : *aReport.past_ends()) {
      if (each->end() == nullptr) {
        return Fail(ErrorCode::MissingField, "AgentReport.past_ends.end");
      }
      BOOST_OUTCOME_TRY(
        auto life,
        ToWorkerIncarnation(each->life(), "AgentReport.past_ends.life"));
      BOOST_OUTCOME_TRY(auto end, ToEndedTask(*each->end()));
      aPastEnds.push_back({ std::move(life), std::move(end) });
    }
  }
  return base::success();
}

} // namespace

Result<Message>
Decode(const wire::AgentReport& aReport)
{
  AgentReport decoded;
  decoded.sequence = aReport.sequence();
  decoded.token = base::FencingToken(aReport.token());
  decoded.report.agent = base::AgentId(Text(aReport.agent()));
  if (decoded.report.agent.IsEmpty()) {
    return Fail(ErrorCode::MissingField, "AgentReport.agent");
  }
  if (aReport.worker() != nullptr) {
    BOOST_OUTCOME_TRY(decoded.report.worker, ToWorker(*aReport.worker()));
  }
  BOOST_OUTCOME_TRY(ReadRuns(aReport,
                             decoded.report.running,
                             decoded.report.ended,
                             decoded.report.pastEnds));
  decoded.parts = aReport.parts();
  decoded.report.mayHaveMoreEnds = aReport.may_have_more_ends();
  if (aReport.received_order().has_value()) {
    decoded.report.receivedOrder =
      dispatch::OrderNumber(*aReport.received_order());
  }
  return decoded;
}

Result<Message>
Decode(const wire::AgentReportPart& aPart)
{
  AgentReportPart decoded;
  decoded.sequence = aPart.sequence();
  BOOST_OUTCOME_TRY(
    ReadRuns(aPart, decoded.running, decoded.ended, decoded.pastEnds));
  return decoded;
}

Result<Message>
Decode(const wire::AgentGrant& aGrant)
{
  return AgentGrant{ aGrant.sequence(),
                     base::FencingToken(aGrant.token()),
                     std::chrono::milliseconds(aGrant.duration_ms()) };
}

Result<Message>
Decode(const wire::AgentAck& aAck)
{
  BOOST_OUTCOME_TRY(auto life,
                    ToWorkerIncarnation(aAck.life(), "AgentAck.life"));
  return AgentAck{ std::move(life), aAck.number() };
}

Result<Message>
Decode(const wire::AgentStart& aStart)
{
  BOOST_OUTCOME_TRY(auto life,
                    ToWorkerIncarnation(aStart.life(), "AgentStart.life"));
  BOOST_OUTCOME_TRY(auto run, ToRun(aStart.run(), "AgentStart.run"));
  return AgentStart{ base::FencingToken(aStart.token()),
                     std::move(life),
                     std::move(run),
                     Text(aStart.payload()),
                     Text(aStart.checkpoint()),
                     dispatch::OrderNumber(aStart.number()),
                     { aStart.report_sequence(),
                       std::chrono::milliseconds(aStart.valid_for_ms()) } };
}

Result<Message>
Decode(const wire::AgentStop& aStop)
{
  BOOST_OUTCOME_TRY(auto life,
                    ToWorkerIncarnation(aStop.life(), "AgentStop.life"));
  BOOST_OUTCOME_TRY(auto run, ToRun(aStop.run(), "AgentStop.run"));
  return AgentStop{ base::FencingToken(aStop.token()),
                    std::move(life),
                    std::move(run),
                    dispatch::OrderNumber(aStop.number()) };
}

Result<Message>
Decode(const wire::AgentOutcome& aOutcome)
{
  BOOST_OUTCOME_TRY(auto life,
                    ToWorkerIncarnation(aOutcome.life(), "AgentOutcome.life"));
  BOOST_OUTCOME_TRY(auto run, ToRun(aOutcome.run(), "AgentOutcome.run"));
  if (aOutcome.outcome() >
      static_cast<std::uint8_t>(dispatch::OrderOutcome::Absent)) {
    return Fail(ErrorCode::OutOfRange, "AgentOutcome.outcome");
  }
  return AgentOutcome{ std::move(life),
                       std::move(run),
                       static_cast<dispatch::OrderOutcome>(
                         aOutcome.outcome()) };
}

Result<Message>
Decode(const wire::LeaderNotice& aNotice)
{
  if (Text(aNotice.address()).empty()) {
    return Fail(ErrorCode::MissingField, "LeaderNotice.address");
  }
  return LeaderNotice{ base::FencingToken(aNotice.token()),
                       Text(aNotice.address()) };
}

Result<Message>
Decode(const wire::AppendRecord& aAppend)
{
  if (Text(aAppend.key()).empty()) {
    return Fail(ErrorCode::MissingField, "AppendRecord.key");
  }
  return AppendRecord{ aAppend.number(),
                       Text(aAppend.key()),
                       Text(aAppend.value()) };
}

Result<Message>
Decode(const wire::AppendRecordReply& aReply)
{
  if (aReply.state() > static_cast<std::uint8_t>(AppendState::Unconfirmed)) {
    return Fail(ErrorCode::OutOfRange, "AppendRecordReply.state");
  }
  return AppendRecordReply{ aReply.number(),
                            static_cast<AppendState>(aReply.state()) };
}

} // namespace amaranthwind::protocol
