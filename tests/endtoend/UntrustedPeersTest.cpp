// Strangers on the port of the inner protocol: the scheduler stays alive and
// within its memory and descriptors whatever they send.

#include "UntrustedFixture.h"
#include "amaranthwind/protocol/FrameCodec.h"
#include "harness/Crowd.h"

#include <doctest/doctest.h>

#include <envelope_generated.h>

#include <string>
#include <string_view>

using namespace amaranthwind;
using endtoend::Listener;
using endtoend::UntrustedFixture;
using harness::Crowd;

namespace {

constexpr std::size_t kManyConnections = 400;
/** Announces a frame of the largest size. */
constexpr std::string_view kFrameHeader("\0\0\x10\0", 4);

std::string
ToText(std::span<const std::byte> aBytes)
{
  std::string text;
  for (const std::byte byte : aBytes) {
    text += static_cast<char>(byte);
  }
  return text;
}

std::string
MakeFrame(protocol::Message aMessage)
{
  return ToText(protocol::EncodeFrame(
    { protocol::CorrelationId(0), false, std::move(aMessage) }));
}

/** A report whose runs all refer to the same text. */
std::string
MakeSharedTextFrame()
{
  namespace wire = protocol::wire;
  constexpr std::size_t kTextBytes = std::size_t{ 400 } * 1024;
  constexpr std::size_t kRuns = 100'000;
  flatbuffers::FlatBufferBuilder builder;
  const auto task = builder.CreateString("5c0e7a21d94b36f8.0.0.0");
  const auto checkpoint = builder.CreateString(std::string(kTextBytes, 'x'));
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
  std::string frame(protocol::kFrameHeaderBytes, '\0');
  constexpr unsigned kBitsPerByte = 8;
  for (std::size_t i = 0; i < frame.size(); ++i) {
    frame[i] = static_cast<char>(builder.GetSize() >> (i * kBitsPerByte));
  }
  return frame.append(builder.GetBufferPointer(),
                      builder.GetBufferPointer() + builder.GetSize());
}

} // namespace

// Guards against memory that is taken when a frame is announced.
TEST_CASE("untrusted peers: frames that are announced and not sent")
{
  UntrustedFixture fixture;
  Crowd crowd(fixture.At(Listener::Peers).address, kManyConnections);
  crowd.Send(kFrameHeader, "", kFrameHeader.size());
  fixture.CheckHolds(Listener::Peers);
}

// Guards against frames that are each allowed but exceed the memory together.
TEST_CASE("untrusted peers: frames that are begun and not completed")
{
  UntrustedFixture fixture;
  constexpr std::size_t kSentBytes = std::size_t{ 512 } * 1024;
  Crowd crowd(fixture.At(Listener::Peers).address, kManyConnections);
  crowd.Send(kFrameHeader, "0123456789abcdef", kSentBytes);
  fixture.CheckHolds(Listener::Peers);
}

// Guards against a frame that takes thousands of times its size when its texts
// are copied.
TEST_CASE("untrusted peers: a frame whose parts share one text")
{
  UntrustedFixture fixture;
  Crowd crowd(fixture.At(Listener::Peers).address, 1);
  crowd.SendInTurn(MakeSharedTextFrame());
  fixture.CheckHolds(Listener::Peers);
}

// Guards against keeping the parts of a report whose end never comes.
TEST_CASE("untrusted peers: parts of a report without end")
{
  UntrustedFixture fixture;
  protocol::AgentReportPart part;
  part.sequence = 1;
  constexpr std::size_t kRuns = 1000;
  part.running.resize(
    kRuns, { { { { base::JobId("5c0e7a21d94b36f8"), 0, 0 }, 0 }, 1 }, "", 1 });
  const std::string frame = MakeFrame(std::move(part));
  fixture.CheckFlood(Listener::Peers, frame, frame);
}

// Guards against messages that queue up because they arrive faster than they
// are handled.
TEST_CASE("untrusted peers: reports without end")
{
  UntrustedFixture fixture;
  protocol::AgentReport report;
  report.sequence = 1;
  report.report.agent = base::AgentId("stranger");
  constexpr std::size_t kRuns = 10'000;
  report.report.running.resize(
    kRuns, { { { { base::JobId("5c0e7a21d94b36f8"), 0, 0 }, 0 }, 1 }, "", 1 });
  const std::string frame = MakeFrame(std::move(report));
  fixture.CheckFlood(Listener::Peers, frame, frame);
}

// Guards against replies that queue up because nobody reads them.
TEST_CASE("untrusted peers: requests whose replies are not read")
{
  UntrustedFixture fixture;
  const std::string frame =
    MakeFrame(protocol::AppendRecord{ 1, "key", "value" });
  fixture.CheckFlood(Listener::Peers, frame, frame);
}

// Guards against a name of an agent that is kept for each report.
TEST_CASE("untrusted peers: reports of agents that do not exist")
{
  UntrustedFixture fixture;
  constexpr std::size_t kAgents = 200'000;
  constexpr std::size_t kNameBytes = 200;
  Crowd crowd(fixture.At(Listener::Peers).address, 1);
  std::string frames;
  for (std::size_t i = 0; i < kAgents; ++i) {
    protocol::AgentReport report;
    report.sequence = 1;
    report.report.agent =
      base::AgentId(std::to_string(i) + std::string(kNameBytes, 'x'));
    frames += MakeFrame(std::move(report));
  }
  crowd.SendInTurn(frames);
  fixture.CheckHolds(Listener::Peers);
}

// Guards against more connections than the VM has descriptors.
TEST_CASE("untrusted peers: more connections than descriptors")
{
  UntrustedFixture fixture;
  constexpr std::size_t kConnections = 3500;
  Crowd crowd(fixture.At(Listener::Peers).address, kConnections);
  fixture.CheckHolds(Listener::Peers);
}

// Guards against giving up the leadership for good because a stranger names a
// leader that no log knows.
TEST_CASE("untrusted peers: a notice of a leader that does not exist")
{
  UntrustedFixture fixture;
  constexpr std::uint64_t kToken = 1'000'000'000;
  Crowd crowd(fixture.At(Listener::Peers).address, 1);
  crowd.SendInTurn(MakeFrame(
    protocol::LeaderNotice{ base::FencingToken(kToken), "127.0.0.1:1" }));
  fixture.CheckHolds(Listener::Peers);
}
