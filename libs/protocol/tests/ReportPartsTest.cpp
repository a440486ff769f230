#include "amaranthwind/protocol/ReportParts.h"

#include "amaranthwind/protocol/FrameCodec.h"

#include <doctest/doctest.h>

using namespace amaranthwind;
using namespace amaranthwind::protocol;

namespace {

job::TaskRun
RunOf(std::uint32_t aIndex)
{
  return { { { base::JobId("5c0e7a21d94b36f8"), 0, 1 }, aIndex }, 7 };
}

AgentReport
MakeReport(std::uint32_t aRunning, std::uint32_t aEnded)
{
  AgentReport report{ 5, base::FencingToken(3), {}, 0 };
  report.report.agent = base::AgentId("vm");
  report.report.receivedOrder = dispatch::OrderNumber(9);
  for (std::uint32_t i = 0; i < aRunning; ++i) {
    report.report.running.push_back({ RunOf(i), "saved", 40 });
  }
  for (std::uint32_t i = 0; i < aEnded; ++i) {
    report.report.ended.push_back(
      { i + 1, RunOf(aRunning + i), dispatch::EndKind::Done, "saved" });
    report.report.pastEnds.push_back(
      { { base::TargetId("w0"), 1'600'000'000'000 },
        { i + 1, RunOf(i), dispatch::EndKind::Stopped, "saved" } });
  }
  return report;
}

} // namespace

// Guards against a worker whose daemon connects again and again, because its
// report does not fit a frame.
TEST_CASE("a report of any size is sent in frames and joined again")
{
  for (const std::uint32_t runs : { 0U, 100U, 20'000U }) {
    CAPTURE(runs);
    const AgentReport report = MakeReport(runs, runs / 2);
    const auto messages = DivideReport(report);
    CHECK((messages.size() > 1) == (runs > 100));
    const auto undivided = DivideReport(report, SIZE_MAX);
    const std::size_t length =
      EncodeFrame({ {}, false, undivided.front() }).size() - kFrameHeaderBytes;
    CHECK((length > kMaxFrameBytes) == (runs > 100));
    ReportJoiner joiner;
    for (std::size_t i = 0; i < messages.size(); ++i) {
      const auto frame = EncodeFrame({ {}, false, messages[i] });
      REQUIRE(frame.size() <= kMaxReportBytes + kFrameHeaderBytes);
      const auto decoded =
        DecodeFrame(std::span(frame).subspan(kFrameHeaderBytes));
      REQUIRE(decoded.has_value());
      const Message& message = decoded.value().message;
      if (i + 1 < messages.size()) {
        joiner.Add(std::get<AgentReportPart>(message));
      } else {
        AgentReport joined = std::get<AgentReport>(message);
        CHECK(joiner.Complete(joined));
        CHECK(joined == report);
      }
    }
  }
}

// Guards against stopping the runs that a lost part would have listed.
TEST_CASE("a report without all of its parts is not complete")
{
  constexpr std::size_t kPartBytes = 2000;
  const auto messages = DivideReport(MakeReport(40, 20), kPartBytes);
  REQUIRE(messages.size() > 3);
  AgentReport last = std::get<AgentReport>(messages.back());
  ReportJoiner joiner;
  CHECK_FALSE(joiner.Complete(last));
  for (std::size_t i = 1; i + 1 < messages.size(); ++i) {
    joiner.Add(std::get<AgentReportPart>(messages[i]));
  }
  CHECK_FALSE(joiner.Complete(last));
  // Parts of an earlier report do not count either.
  for (std::size_t i = 0; i + 1 < messages.size(); ++i) {
    AgentReportPart part = std::get<AgentReportPart>(messages[i]);
    part.sequence = 4;
    joiner.Add(part);
  }
  CHECK_FALSE(joiner.Complete(last));
  // A report that was never divided needs none.
  AgentReport whole = MakeReport(1, 0);
  joiner.Add(std::get<AgentReportPart>(messages[0]));
  CHECK(joiner.Complete(whole));
  CHECK(whole == MakeReport(1, 0));
}
