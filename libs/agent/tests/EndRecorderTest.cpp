#include "amaranthwind/agent/EndRecorder.h"

#include "amaranthwind/agent/KeyedEndLog.h"
#include "amaranthwind/base/ManualExecutor.h"
#include "amaranthwind/codec/EndRecordCodec.h"
#include "amaranthwind/journal/testing/FakeKeyedLog.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

using namespace amaranthwind;
using namespace amaranthwind::agent;
using namespace std::chrono_literals;
using base::ErrorCode;
using dispatch::EndKind;

namespace {

const ledger::WorkerIncarnation kLife{ base::TargetId("w"), 100 };
const ledger::WorkerIncarnation kNextLife{ base::TargetId("w"), 200 };

job::TaskRun
MakeRun(std::uint32_t aIndex)
{
  return { { { base::JobId("j"), 0, 0 }, aIndex }, 1 };
}

/** Answers appends when the test says so, or after a fixed time. */
class FakeEndLog final : public EndLog
{
public:
  explicit FakeEndLog(base::Executor& aExecutor)
    : executor(aExecutor)
  {
  }

  void Append(std::span<const dispatch::EndRecord> aRecords,
              const EndAppendConditions& aConditions,
              std::function<void(base::Result<void>)> aHandler) override
  {
    this->appends.emplace_back(aRecords.begin(), aRecords.end());
    this->lastConditions = aConditions;
    ++this->underWay;
    this->mostUnderWay = std::max(this->mostUnderWay, this->underWay);
    std::size_t count = 0;
    for (const auto& record : aRecords) {
      count += record.ends.size();
    }
    const auto result = count > this->maxEnds
                          ? base::Result<void>(base::Fail(ErrorCode::TooLarge))
                        : this->error
                          ? base::Result<void>(base::Fail(*this->error))
                          : base::Result<void>(base::success());
    this->executor.RunAfter(this->answerTime,
                            [this, result, handler = std::move(aHandler)] {
                              --this->underWay;
                              handler(result);
                            });
  }

  /** The numbers of the ends of each append. */
  std::vector<std::vector<std::uint64_t>> Numbers() const
  {
    std::vector<std::vector<std::uint64_t>> numbers;
    for (const auto& append : this->appends) {
      auto& last = numbers.emplace_back();
      for (const auto& record : append) {
        for (const auto& end : record.ends) {
          last.push_back(end.number);
        }
      }
    }
    return numbers;
  }

  base::Duration answerTime = 10ms;
  std::optional<ErrorCode> error;
  /** Appends with more ends are refused with TooLarge. */
  std::size_t maxEnds = SIZE_MAX;
  std::vector<std::vector<dispatch::EndRecord>> appends;
  EndAppendConditions lastConditions;
  int underWay = 0;
  int mostUnderWay = 0;

private:
  base::Executor& executor;
};

class LineSink final : public telemetry::LogSink
{
public:
  bool IsEnabled(telemetry::LogLevel) const noexcept override { return true; }
  void Write(telemetry::LogLevel, std::string_view aLine) noexcept override
  {
    this->lines.emplace_back(aLine);
  }

  std::size_t Count(std::string_view aText) const
  {
    return static_cast<std::size_t>(std::count_if(
      this->lines.begin(), this->lines.end(), [aText](const auto& aLine) {
        return aLine.find(aText) != std::string::npos;
      }));
  }

  std::vector<std::string> lines;
};

struct Fixture
{
  explicit Fixture(std::size_t aMaxEnds = 2048)
    : recorder({ .agent = base::AgentId("vm"), .maxEnds = aMaxEnds },
               clock,
               executor,
               log,
               logger,
               metrics)
  {
    this->clock.Advance(1h);
  }

  void List(std::uint64_t aNumber,
            EndKind aKind = EndKind::Done,
            const ledger::WorkerIncarnation& aLife = kLife)
  {
    this->recorder.OnListed(aLife,
                            { aNumber,
                              MakeRun(static_cast<std::uint32_t>(aNumber)),
                              aKind,
                              "saved" });
  }

  bool HasMetric(std::string_view aLine) const
  {
    return this->metrics.Render().find(aLine) != std::string::npos;
  }

  base::ManualClock clock;
  base::ManualExecutor executor{ clock };
  FakeEndLog log{ executor };
  LineSink sink;
  telemetry::Logger logger{ sink, clock, "agent" };
  telemetry::Metrics metrics;
  EndRecorder recorder;
};

using Numbers = std::vector<std::vector<std::uint64_t>>;

} // namespace

// Guards against appends of all agents while the coordinator is not slow.
TEST_CASE("an end that is acknowledged in time is not recorded")
{
  Fixture fixture;
  fixture.List(1);
  fixture.List(2);
  fixture.executor.Advance(30ms);
  const AcknowledgedEnds ends = fixture.recorder.OnAcknowledged(kLife, 2);
  CHECK(ends.count == 2);
  CHECK(ends.recorded == 0);
  CHECK(ends.sinceListed == 30ms);
  fixture.executor.Advance(10s);
  CHECK(fixture.log.appends.empty());
  CHECK(fixture.recorder.Unrecorded() == 0);
  CHECK(fixture.HasMetric("amaranthwind_end_acknowledgement_seconds_count 2"));
}

// Guards against an end that is lost with all VMs because its coordinator is
// late.
TEST_CASE("an end that is not acknowledged is recorded once, within the delay")
{
  Fixture fixture;
  fixture.List(1);
  fixture.executor.Advance(39ms);
  CHECK(fixture.log.appends.empty());
  fixture.executor.Advance(1ms);
  REQUIRE(fixture.log.appends.size() == 1);
  CHECK(fixture.log.appends[0] ==
        std::vector<dispatch::EndRecord>{
          { base::AgentId("vm"),
            kLife,
            { { 1, MakeRun(1), EndKind::Done, {} } } } });
  CHECK(fixture.recorder.Unrecorded() == 1);
  fixture.executor.Advance(10ms);
  CHECK(fixture.recorder.Unrecorded() == 0);
  CHECK(fixture.sink.Count("ends recorded worker=w born=100 count=1 number=1 "
                           "sinceListedMs=50 tookMs=10") == 1);
  CHECK(fixture.HasMetric("amaranthwind_ends_recorded_total 1"));
  // It is listed again when its life goes on.
  fixture.List(1);
  fixture.executor.Advance(10s);
  CHECK(fixture.log.appends.size() == 1);
  const AcknowledgedEnds ends = fixture.recorder.OnAcknowledged(kLife, 1);
  CHECK(ends.count == 1);
  CHECK(ends.recorded == 1);
  CHECK(ends.sinceListed == 10s + 50ms);
  CHECK(fixture.recorder.OnAcknowledged(kLife, 1).count == 0);
}

// Guards against records that a coordinator would have to read and delete
// although they change nothing.
TEST_CASE("stopped and lapsed ends are not recorded")
{
  Fixture fixture;
  fixture.List(1, EndKind::Stopped);
  fixture.List(2, EndKind::Lapsed);
  fixture.List(3, EndKind::Broken);
  fixture.List(4, EndKind::Alone);
  fixture.executor.Advance(10s);
  CHECK(fixture.log.appends.empty());
  CHECK(fixture.recorder.Unrecorded() == 0);
  fixture.List(5, EndKind::Failed);
  fixture.executor.Advance(10s);
  CHECK(fixture.log.Numbers() == Numbers{ { 5 } });
  CHECK(fixture.recorder.OnAcknowledged(kLife, 5).count == 5);
}

// Guards against ends of which each waits for the delay and for an append of
// its own.
TEST_CASE("one append is under way, and takes all ends that are listed")
{
  Fixture fixture;
  fixture.log.answerTime = 100ms;
  fixture.List(1);
  fixture.executor.Advance(30ms);
  fixture.List(2);
  fixture.executor.Advance(10ms);
  CHECK(fixture.log.Numbers() == Numbers{ { 1, 2 } });
  fixture.List(3);
  fixture.executor.Advance(60ms);
  fixture.List(4);
  CHECK(fixture.log.appends.size() == 1);
  fixture.executor.Advance(1s);
  CHECK(fixture.log.Numbers() == Numbers{ { 1, 2 }, { 3, 4 } });
  CHECK(fixture.log.mostUnderWay == 1);
}

TEST_CASE("the ends of each life are in a record of their own")
{
  Fixture fixture;
  fixture.List(2);
  fixture.List(1, EndKind::Failed, kNextLife);
  fixture.List(1);
  fixture.executor.Advance(1s);
  REQUIRE(fixture.log.appends.size() == 1);
  const auto& records = fixture.log.appends[0];
  REQUIRE(records.size() == 2);
  CHECK(records[0].life == kLife);
  CHECK(records[0].ends.size() == 2);
  CHECK(records[0].ends[0].number == 1);
  CHECK(records[1].life == kNextLife);
  CHECK(records[1].ends.size() == 1);
  // The numbers of another life say nothing of this one.
  CHECK(fixture.recorder.OnAcknowledged(kNextLife, 9).count == 1);
  CHECK(fixture.recorder.OnAcknowledged(kLife, 9).count == 2);
}

// Guards against an end that is given up because of one failure, and against
// agents that load a log which has just failed.
TEST_CASE("a failed append is repeated after a growing delay")
{
  Fixture fixture;
  SUBCASE("refused")
  {
    fixture.log.error = ErrorCode::LogUnavailable;
  }
  SUBCASE("not confirmed")
  {
    fixture.log.error = ErrorCode::AppendUnconfirmed;
  }
  fixture.List(1);
  fixture.executor.Advance(60s);
  CHECK(fixture.log.appends.size() >= 20);
  CHECK(fixture.log.appends.size() <= 50);
  CHECK(fixture.sink.Count("recording ends failed") <= 50);
  CHECK(fixture.recorder.Unrecorded() == 1);
  CHECK(fixture.log.lastConditions.isRepeat ==
        (fixture.log.error == ErrorCode::AppendUnconfirmed));
  fixture.log.error.reset();
  fixture.executor.Advance(4s);
  CHECK(fixture.recorder.Unrecorded() == 0);
  const std::size_t appends = fixture.log.appends.size();
  // The next append does not wait.
  fixture.List(2);
  fixture.executor.Advance(40ms);
  CHECK(fixture.log.appends.size() == appends + 1);
  CHECK_FALSE(fixture.log.lastConditions.isRepeat);
}

TEST_CASE("an end that is acknowledged before a repeat is left out of it")
{
  Fixture fixture;
  fixture.log.error = ErrorCode::AppendUnconfirmed;
  fixture.List(1);
  fixture.List(2);
  fixture.executor.Advance(60ms);
  REQUIRE(fixture.log.Numbers() == Numbers{ { 1, 2 } });
  fixture.log.error.reset();
  SUBCASE("one of them")
  {
    fixture.recorder.OnAcknowledged(kLife, 1);
    fixture.executor.Advance(10s);
    CHECK(fixture.log.Numbers() == Numbers{ { 1, 2 }, { 2 } });
  }
  SUBCASE("all of them")
  {
    fixture.recorder.OnAcknowledged(kLife, 2);
    fixture.executor.Advance(10s);
    CHECK(fixture.log.appends.size() == 1);
  }
}

TEST_CASE("an end that is acknowledged during its append is not kept")
{
  Fixture fixture;
  fixture.List(1);
  fixture.executor.Advance(45ms);
  REQUIRE(fixture.log.underWay == 1);
  const AcknowledgedEnds ends = fixture.recorder.OnAcknowledged(kLife, 1);
  CHECK(ends.count == 1);
  CHECK(ends.recorded == 0);
  fixture.executor.Advance(10s);
  CHECK(fixture.log.appends.size() == 1);
  CHECK(fixture.recorder.OnAcknowledged(kLife, 1).count == 0);
}

// Guards against many agents that keep a slow log slow.
TEST_CASE("appends wait after an answer that was late")
{
  Fixture fixture;
  fixture.log.answerTime = 400ms;
  std::uint64_t number = 0;
  for (int i = 0; i < 600; ++i) {
    fixture.List(++number);
    fixture.executor.Advance(100ms);
  }
  // 60 s have room for 150 appends one after the other.
  CHECK(fixture.log.appends.size() <= 40);
  CHECK(fixture.log.appends.size() >= 15);
  fixture.log.answerTime = 10ms;
  fixture.executor.Advance(5s);
  CHECK(fixture.recorder.Unrecorded() == 0);
  const std::size_t appends = fixture.log.appends.size();
  fixture.List(++number);
  fixture.executor.Advance(40ms);
  CHECK(fixture.log.appends.size() == appends + 1);
}

// Guards against records that no coordinator decodes.
TEST_CASE("an append holds no more ends than a record may")
{
  Fixture fixture;
  for (std::uint64_t number = 1; number <= 1300; ++number) {
    fixture.List(number);
  }
  fixture.executor.Advance(1s);
  REQUIRE(fixture.log.appends.size() == 3);
  CHECK(fixture.log.Numbers()[0].size() == dispatch::kMaxRecordedEnds);
  CHECK(fixture.log.Numbers()[1].front() == dispatch::kMaxRecordedEnds + 1);
  CHECK(fixture.recorder.Unrecorded() == 0);
}

// Guards against ends that are never recorded, because their append is too
// large each time.
TEST_CASE("an append that is too large is divided")
{
  Fixture fixture;
  fixture.log.maxEnds = 10;
  for (std::uint64_t number = 1; number <= 30; ++number) {
    fixture.List(number);
  }
  fixture.executor.Advance(10s);
  CHECK(fixture.recorder.Unrecorded() == 0);
}

// Guards against an end that keeps all others from being recorded.
TEST_CASE("an end that is too large alone is given up")
{
  Fixture fixture;
  fixture.log.maxEnds = 0;
  fixture.List(1);
  fixture.executor.Advance(10s);
  CHECK(fixture.log.appends.size() == 1);
  CHECK(fixture.sink.Count("recording ends failed error=too-large") == 1);
  CHECK(fixture.recorder.Unrecorded() == 0);
  fixture.log.maxEnds = 1;
  fixture.List(2);
  fixture.executor.Advance(1s);
  CHECK(fixture.log.Numbers() == Numbers{ { 1 }, { 2 } });
  const AcknowledgedEnds ends = fixture.recorder.OnAcknowledged(kLife, 2);
  CHECK(ends.count == 2);
  CHECK(ends.recorded == 1);
}

// Guards against memory that grows as long as nobody acknowledges the ends.
TEST_CASE("what is kept is bounded")
{
  constexpr std::size_t kMaxEnds = 100;
  Fixture fixture(kMaxEnds);
  SUBCASE("recorded ends")
  {
    for (std::uint64_t number = 1; number <= 1000; ++number) {
      fixture.List(number);
      fixture.executor.Advance(100ms);
    }
    CHECK(fixture.log.Numbers().size() == 1000);
    CHECK(fixture.sink.Count("too many wait") == 0);
  }
  SUBCASE("ends that cannot be recorded")
  {
    fixture.log.error = ErrorCode::LogUnavailable;
    for (std::uint64_t number = 1; number <= 1000; ++number) {
      fixture.List(number);
      fixture.executor.Advance(1ms);
    }
    CHECK(fixture.recorder.Unrecorded() == kMaxEnds);
    // The limit of the log lines of one place.
    CHECK(fixture.sink.Count("too many wait") == 10);
  }
  SUBCASE("recorded ends make room for others")
  {
    for (std::uint64_t number = 1; number <= 50; ++number) {
      fixture.List(number);
    }
    fixture.executor.Advance(1s);
    fixture.log.error = ErrorCode::LogUnavailable;
    for (std::uint64_t number = 51; number <= 150; ++number) {
      fixture.List(number);
    }
    CHECK(fixture.recorder.Unrecorded() == kMaxEnds);
    CHECK(fixture.sink.Count("too many wait") == 0);
  }
  CHECK(fixture.recorder.OnAcknowledged(kLife, 5000).count == kMaxEnds);
}

TEST_CASE("nothing is recorded after a stop")
{
  Fixture fixture;
  fixture.List(1);
  SUBCASE("before the append") {}
  SUBCASE("during the append")
  {
    fixture.executor.Advance(45ms);
    REQUIRE(fixture.log.underWay == 1);
  }
  const std::size_t appends = fixture.log.appends.size();
  fixture.recorder.Stop();
  fixture.executor.Advance(10s);
  CHECK(fixture.log.appends.size() == appends);
  CHECK(fixture.sink.Count("ends recorded") == 0);
}

TEST_CASE("ends are appended to a topic of the platform's log")
{
  journal::testing::FakeKeyedLog log;
  KeyedEndLog endLog(log);
  const std::vector<dispatch::EndRecord> records{
    { base::AgentId("vm"), kLife, { { 1, MakeRun(1), EndKind::Done, {} } } },
    { base::AgentId("vm"),
      kNextLife,
      { { 1, MakeRun(2), EndKind::Failed, {} } } }
  };
  std::vector<base::Result<void>> results;
  const auto append = [&] {
    endLog.Append(
      records, {}, [&](const auto& aResult) { results.push_back(aResult); });
  };
  append();
  REQUIRE(results.size() == 1);
  CHECK(results[0].has_value());
  const auto& newest =
    log.PartitionOf({ "ends", dispatch::EndPartitionOf(base::AgentId("vm")) })
      .newest;
  REQUIRE(newest.size() == 2);
  for (const auto& record : records) {
    const auto found = newest.find(dispatch::EndRecordKey(record));
    REQUIRE(found != newest.end());
    CHECK(codec::DecodeEndRecord(found->second.value).value() == record);
  }
  log.losesAnswers = true;
  append();
  REQUIRE(results.size() == 2);
  CHECK(results[1].error().code == ErrorCode::AppendUnconfirmed);
}
