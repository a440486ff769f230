#include "amaranthwind/protocol/FrameCodec.h"

#include <doctest/doctest.h>

#include <boost/pfr.hpp>

#include <envelope_generated.h>

#include <concepts>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace amaranthwind;
using namespace amaranthwind::protocol;
using base::ErrorCode;

namespace {

job::GangPlan
MakePlan()
{
  return { { base::JobId("j1"), base::Attempt(2) },
           base::FencingToken(9),
           { { base::TargetId("w1"), "127.0.0.1:9", { 8, 32, 1024 } },
             { base::TargetId("w2"), "127.0.0.1:8", { 8, 32, 1024 } } },
           "payload" };
}

std::vector<std::byte>
ToBytes(std::string_view aText)
{
  const auto* first = reinterpret_cast<const std::byte*>(aText.data());
  return { first, first + aText.size() };
}

const ledger::WorkerIncarnation kWorkerIncarnation{ base::TargetId("w1"),
                                                    1'700'000'000'000 };
const job::TaskRun kRun{ { { base::JobId("j1"), 1, 2 }, 3 }, 4 };

dispatch::WorkerReport
MakeReport()
{
  dispatch::WorkerInfo worker;
  worker.life = kWorkerIncarnation;
  worker.pool = base::PoolId("p");
  worker.zone = base::ZoneId("z");
  worker.rack = base::RackId("k");
  worker.labels = { "a", "k" };
  worker.capacity = { 64000, 131072, 8 };
  worker.isDraining = true;
  worker.coldFor = std::chrono::milliseconds(2500);
  return { base::AgentId("vm-1"),
           worker,
           { { kRun, "saved", 41 } },
           { { 9, kRun, dispatch::EndKind::Broken, "last" } },
           true,
           dispatch::OrderNumber(41),
           { { { base::TargetId("w0"), 1'600'000'000'000 },
               { 7, kRun, dispatch::EndKind::Done, "" } } } };
}

/** One message of each type, with all fields set. */
std::vector<Message>
AllMessages()
{
  const base::Error error{ ErrorCode::Draining, "subject" };
  const EntryInfo entry{ base::EntryId("e1"), "127.0.0.1:1" };
  const job::GangPlan plan = MakePlan();
  job::GangPlan planWithoutPayload = plan;
  planWithoutPayload.payload.clear();
  const gang::AttemptKey key = gang::KeyOf(plan);
  const gang::Fence fence{ base::ZoneId("z"), base::FencingToken(6) };
  fleet::Target target;
  target.id = base::TargetId("t");
  target.kind = fleet::TargetKind::Worker;
  target.region = base::RegionId("r");
  target.zone = base::ZoneId("z");
  target.rack = base::RackId("k");
  target.resources = { 8, 64, 1 };
  target.slots = 3;
  target.address = "127.0.0.1:2";
  target.incarnation = base::Incarnation(77);
  using std::chrono::milliseconds;
  const requests::RequestKey requestKey{ base::AccountId("a"),
                                         base::IdempotencyKey("i") };
  const auto answer = std::make_shared<const requests::StoredResponse>(
    requests::StoredResponse{ 201, ToBytes("kept") });
  return {
    TargetHello{ target, base::LogOffset(4) },
    EntryHello{ entry, base::Incarnation(1), base::LogOffset(2), true },
    FetchTopology{},
    Topology{ base::EntryId("e2"),
              base::LogOffset(3),
              milliseconds(1000),
              { entry },
              { { base::ZoneId("z"), entry, base::FencingToken(5) } } },
    Heartbeat{ base::LogOffset(1), 2, 3, true },
    HeartbeatAck{ base::LogOffset(1), milliseconds(5) },
    Ping{},
    Execute{ base::AccountId("a"),
             base::CallerId("c"),
             base::WorkKindId("k"),
             base::IdempotencyKey("i"),
             1,
             true,
             milliseconds(7),
             "127.0.0.1:5",
             3,
             ToBytes("body") },
    ExecuteReply{
      ExecuteOutcome::NotRun, 503, error, milliseconds(9), ToBytes("answer") },
    Claim{ { requestKey, 12, 1, base::TargetId("t"), base::Incarnation(8) } },
    ClaimReply{ { requests::ClaimResult::Answered, true, answer } },
    ClaimEnded{ requestKey, true, *answer },
    gang::Prepare{ fence, std::make_shared<job::GangPlan>(plan), 1 },
    gang::Commit{ fence, key, 1 },
    gang::Abort{ fence, key },
    gang::StopGang{ key, fence, gang::StopReason::MemberLost, milliseconds(7) },
    gang::GangEndedAck{ key },
    gang::Promise{ key, 1, error },
    gang::CommitRefused{ key, 1, base::FencingToken(3), error },
    gang::GangStarted{ key },
    gang::MemberEnded{ key, 1, gang::MemberResult::Stopped },
    gang::GangEnded{ key,
                     true,
                     { gang::MemberResult::Failed, gang::MemberResult::Lost },
                     gang::StopReason::StartTimeout,
                     1 },
    gang::OutcomeQuery{ key, base::ZoneId("z") },
    gang::OutcomeReply{ key, gang::AttemptState::Committed },
    gang::Committed{ key, 1 },
    gang::Release{ key },
    gang::MemberHeartbeat{ key,
                           1,
                           44,
                           45,
                           gang::MemberPhase::Running,
                           gang::MemberResult::Failed,
                           milliseconds(9) },
    GangReport{ base::ZoneId("z"),
                { { planWithoutPayload, 1, gang::MemberPhase::Running } } },
    ForwardJob{
      "POST", "/v1/jobs", base::AccountId("a"), base::CallerId("c"), "{}" },
    ForwardJobReply{ 202, milliseconds(3), "{}" },
    FetchPolicy{},
    PolicyReply{ base::LogOffset(8), "{}" },
    AgentReport{ 5, base::FencingToken(3), MakeReport() },
    AgentGrant{ 5, base::FencingToken(3), milliseconds(5000) },
    AgentAck{ kWorkerIncarnation, 17 },
    AgentStart{ base::FencingToken(3),
                kWorkerIncarnation,
                kRun,
                "spec",
                "saved",
                dispatch::OrderNumber(41),
                { 5, milliseconds(2600) } },
    AgentStop{ base::FencingToken(3),
               kWorkerIncarnation,
               kRun,
               dispatch::OrderNumber(42) },
    AgentOutcome{ kWorkerIncarnation, kRun, dispatch::OrderOutcome::Absent },
    LeaderNotice{ base::FencingToken(3), "127.0.0.1:7" },
    AppendRecord{ 7, "a/1", std::string("\0\xFF{}", 4) },
    AppendRecordReply{ 7, AppendState::Durable },
    AgentReportPart{
      5, MakeReport().running, MakeReport().ended, MakeReport().pastEnds },
  };
}

/** Compares messages field by field, and plans and answers by value. */
struct MessagesEqual
{
  bool operator()(const gang::Prepare& aLeft, const gang::Prepare& aRight) const
  {
    return aLeft.fence == aRight.fence && *aLeft.plan == *aRight.plan &&
           aLeft.rank == aRight.rank;
  }
  bool operator()(const Claim& aLeft, const Claim& aRight) const
  {
    return boost::pfr::eq_fields(aLeft.claim, aRight.claim);
  }
  bool operator()(const ClaimReply& aLeft, const ClaimReply& aRight) const
  {
    return aLeft.reply.result == aRight.reply.result &&
           aLeft.reply.hasCompleteHistory == aRight.reply.hasCompleteHistory &&
           *aLeft.reply.answer == *aRight.reply.answer;
  }
  template<typename M>
  bool operator()(const M& aLeft, const M& aRight) const
  {
    if constexpr (std::equality_comparable<M>) {
      return aLeft == aRight;
    } else {
      return boost::pfr::eq_fields(aLeft, aRight);
    }
  }
  template<typename Left, typename Right>
  bool operator()(const Left&, const Right&) const
  {
    return false;
  }
};

std::vector<std::byte>
FrameBody(const std::vector<std::byte>& aFrame)
{
  return { aFrame.begin() + kFrameHeaderBytes, aFrame.end() };
}

} // namespace

// Guards against a field that the encoder or the decoder leaves out.
TEST_CASE("every message round-trips with all fields")
{
  const auto messages = AllMessages();
  REQUIRE(messages.size() == std::variant_size_v<Message>);
  for (std::size_t i = 0; i < messages.size(); ++i) {
    CAPTURE(i);
    REQUIRE(messages[i].index() == i);
    const Envelope envelope{ CorrelationId(3), true, messages[i] };
    const auto frame = EncodeFrame(envelope);
    const auto length = DecodeFrameLength(frame);
    REQUIRE(length.has_value());
    CHECK(length.value() == frame.size() - kFrameHeaderBytes);
    const auto decoded = DecodeFrame(FrameBody(frame));
    REQUIRE(decoded.has_value());
    CHECK(decoded.value().correlation == envelope.correlation);
    CHECK(decoded.value().isReply == envelope.isReply);
    CHECK(
      std::visit(MessagesEqual{}, decoded.value().message, envelope.message));
  }
}

TEST_CASE("an invalid frame header is rejected with its error code")
{
  struct Case
  {
    std::vector<std::byte> header;
    ErrorCode code;
  };
  const std::vector<Case> cases{
    { {}, ErrorCode::Truncated },
    { { std::byte{ 1 }, std::byte{ 0 } }, ErrorCode::Truncated },
    { std::vector<std::byte>(kFrameHeaderBytes), ErrorCode::Truncated },
    { std::vector<std::byte>(kFrameHeaderBytes, std::byte{ 0xFF }),
      ErrorCode::TooLarge },
  };
  for (const auto& each : cases) {
    const auto length = DecodeFrameLength(each.header);
    REQUIRE(length.has_error());
    CHECK(length.error().code == each.code);
  }
}

TEST_CASE("a missing or invalid field is rejected with its name")
{
  struct Case
  {
    Message message;
    ErrorCode code;
    std::string subject;
  };
  gang::Prepare emptyPrepare;
  emptyPrepare.plan = std::make_shared<job::GangPlan>();
  gang::Prepare prepareBeyondPlan;
  prepareBeyondPlan.plan = std::make_shared<job::GangPlan>(MakePlan());
  prepareBeyondPlan.rank = 2;
  const std::vector<Case> cases{
    { TargetHello{}, ErrorCode::MissingField, "TargetHello.target.id" },
    { EntryHello{}, ErrorCode::MissingField, "EntryHello.entry.id" },
    { Execute{}, ErrorCode::MissingField, "Execute.account" },
    { Claim{}, ErrorCode::MissingField, "Claim.key" },
    { emptyPrepare, ErrorCode::MissingField, "Prepare.key" },
    { prepareBeyondPlan, ErrorCode::OutOfRange, "Prepare.rank" },
    { gang::Commit{}, ErrorCode::MissingField, "GangStep.key" },
    { gang::MemberEnded{
        gang::KeyOf(MakePlan()), 0, static_cast<gang::MemberResult>(200) },
      ErrorCode::OutOfRange,
      "GangStep.result" },
    { gang::StopGang{
        gang::KeyOf(MakePlan()), {}, static_cast<gang::StopReason>(200), {} },
      ErrorCode::OutOfRange,
      "GangStep.reason" },
    { ForwardJob{}, ErrorCode::MissingField, "ForwardJob.path" },
    { AgentReport{}, ErrorCode::MissingField, "AgentReport.agent" },
    { AgentStart{}, ErrorCode::MissingField, "AgentStart.life" },
    { AgentStop{ {}, kWorkerIncarnation, {}, {} },
      ErrorCode::MissingField,
      "AgentStop.run" },
    { AgentOutcome{
        kWorkerIncarnation, kRun, static_cast<dispatch::OrderOutcome>(9) },
      ErrorCode::OutOfRange,
      "AgentOutcome.outcome" },
    { LeaderNotice{}, ErrorCode::MissingField, "LeaderNotice.address" },
    { AppendRecord{}, ErrorCode::MissingField, "AppendRecord.key" },
    { AppendRecordReply{ 1, static_cast<AppendState>(9) },
      ErrorCode::OutOfRange,
      "AppendRecordReply.state" },
  };
  for (const auto& each : cases) {
    CAPTURE(each.subject);
    const auto decoded =
      DecodeFrame(FrameBody(EncodeFrame({ {}, false, each.message })));
    REQUIRE(decoded.has_error());
    CHECK(decoded.error().code == each.code);
    CHECK(decoded.error().subject == each.subject);
  }
}

// Guards against taking an agent that has received no order yet for an older
// one that counts none.
TEST_CASE("a report of no received order differs from one without the count")
{
  for (const std::optional<dispatch::OrderNumber> count :
       { std::optional(dispatch::OrderNumber(0)),
         std::optional<dispatch::OrderNumber>() }) {
    AgentReport report{ 6, base::FencingToken(3), MakeReport() };
    report.report.receivedOrder = count;
    const auto decoded =
      DecodeFrame(FrameBody(EncodeFrame({ {}, false, report })));
    REQUIRE(decoded.has_value());
    CHECK(std::get<AgentReport>(decoded.value().message) == report);
  }
}

// Guards against a crash or a buffer overrun on input from a faulty peer.
TEST_CASE("mutated and truncated frames decode or fail with a typed error")
{
  constexpr int kRounds = 20'000;
  constexpr std::uint64_t kSeed = 4;
  std::mt19937_64 random(kSeed);
  std::vector<std::vector<std::byte>> bodies;
  for (const auto& message : AllMessages()) {
    bodies.push_back(FrameBody(EncodeFrame({ {}, false, message })));
  }
  int refused = 0;
  for (int round = 0; round < kRounds; ++round) {
    auto body = bodies[random() % bodies.size()];
    body[random() % body.size()] ^= static_cast<std::byte>(random() | 1U);
    if (random() % 2 == 0) {
      body.resize(random() % body.size() + 1);
    }
    refused += DecodeFrame(body).has_error() ? 1 : 0;
  }
  CHECK(refused > 0);
}

// Guards against a frame that takes thousands of times its size when it is
// decoded: its runs are one and the same.
TEST_CASE("a frame that lists one part many times is refused")
{
  constexpr std::size_t kCheckpointBytes = std::size_t{ 64 } * 1024;
  constexpr std::size_t kRuns = 1000;
  flatbuffers::FlatBufferBuilder builder;
  const auto task = builder.CreateString("5c0e7a21d94b36f8.0.0.0");
  const auto checkpoint =
    builder.CreateString(std::string(kCheckpointBytes, 'x'));
  const auto agent = builder.CreateString("agent");
  const auto run = wire::CreateRun(builder, task, 1);
  const auto running = wire::CreateRunningTask(builder, run, checkpoint, 1);
  const auto list = builder.CreateVector(std::vector(kRuns, running));
  wire::AgentReportBuilder report(builder);
  report.add_agent(agent);
  report.add_running(list);
  const auto body = report.Finish();
  builder.Finish(wire::CreateEnvelope(
    builder, 0, false, wire::Body::AgentReport, body.Union()));
  const auto* first = reinterpret_cast<const std::byte*>( // NOLINT
    builder.GetBufferPointer());
  const auto decoded = DecodeFrame({ first, builder.GetSize() });
  REQUIRE(decoded.has_error());
  CHECK(decoded.error().code == ErrorCode::TooLarge);
}
