#include "amaranthwind/journal/FencedWriter.h"

#include "amaranthwind/base/ManualExecutor.h"
#include "amaranthwind/journal/testing/FakeKeyedLog.h"

#include <doctest/doctest.h>

using namespace amaranthwind;
using namespace amaranthwind::journal;
using namespace std::chrono_literals;

namespace {

const KeyedTopic kTopic{ "t", 0 };

struct Fixture
{
  std::unique_ptr<FencedWriter> MakeWriter(std::uint64_t aToken)
  {
    FencedWriterOptions options;
    options.topic = kTopic;
    options.producer = "p";
    options.token = base::FencingToken(aToken);
    return std::make_unique<FencedWriter>(
      options, this->clock, this->executor, this->log, [this] {
        ++this->fenced;
      });
  }
  void Write(FencedWriter& aWriter, const std::string& aKey)
  {
    aWriter.Write({ { aKey, "v" } },
                  [this, aKey] { this->done.push_back(aKey); });
    this->executor.RunDue();
  }

  base::ManualClock clock;
  base::ManualExecutor executor{ clock };
  testing::FakeKeyedLog log;
  int fenced = 0;
  std::vector<std::string> done;
};

using Keys = std::vector<std::string>;

/** Answers appends when the test says so. */
class HeldLog final : public KeyedLog
{
public:
  struct HeldAppend
  {
    AppendConditions conditions;
    KeyedAppendHandler handler;
  };

  SizeLimits Limits() const override { return {}; }
  void Append(const KeyedTopic&,
              std::span<const KeyedValue>,
              const AppendConditions& aConditions,
              KeyedAppendHandler aHandler) override
  {
    this->held.push_back({ aConditions, std::move(aHandler) });
  }
  void Read(const KeyedTopic&,
            base::LogOffset,
            base::Duration,
            KeyedReadHandler) override
  {
  }
  void ReadNewest(const KeyedTopic&, std::string_view, NewestHandler) override
  {
  }
  base::TimePoint AnsweredAsOf() const override { return this->answeredAsOf; }

  std::vector<HeldAppend> held;
  base::TimePoint answeredAsOf{};
};

struct HeldFixture
{
  HeldFixture()
  {
    this->clock.Advance(1h);
    this->writer.Write({ { "a", "v" } }, [this] { ++this->done; });
    this->executor.RunDue();
  }
  void Answer(std::size_t aAppend, base::Result<base::LogOffset> aResult)
  {
    this->log.held[aAppend].handler(std::move(aResult));
    this->executor.RunDue();
  }

  base::ManualClock clock;
  base::ManualExecutor executor{ clock };
  HeldLog log;
  int done = 0;
  FencedWriter writer{
    { .topic = kTopic, .producer = "p", .token = base::FencingToken(1) },
    clock,
    executor,
    log,
    [] {}
  };
};

} // namespace

TEST_CASE("records are written in order and confirmed in order")
{
  Fixture fixture;
  const auto writer = fixture.MakeWriter(1);
  fixture.Write(*writer, "a");
  fixture.Write(*writer, "b");
  CHECK(fixture.done == Keys{ "a", "b" });
  CHECK(fixture.log.PartitionOf(kTopic).records.size() == 2);
}

// Guards against writing a record twice because the response was lost.
TEST_CASE("an append whose response is lost takes effect once")
{
  Fixture fixture;
  const auto writer = fixture.MakeWriter(1);
  fixture.log.losesAnswers = true;
  fixture.Write(*writer, "a");
  fixture.Write(*writer, "b");
  CHECK(fixture.done.empty());
  fixture.executor.Advance(2s);
  fixture.log.losesAnswers = false;
  fixture.executor.Advance(2s);
  CHECK(fixture.done == Keys{ "a", "b" });
  CHECK(fixture.log.PartitionOf(kTopic).records.size() == 2);
}

TEST_CASE("records that arrive during an outage are batched and stay in order")
{
  Fixture fixture;
  const auto writer = fixture.MakeWriter(1);
  fixture.log.isDown = true;
  for (const char* key : { "a", "b", "c" }) {
    fixture.Write(*writer, key);
  }
  CHECK(writer->Pending() == 3);
  fixture.executor.Advance(10s);
  const int attempts = fixture.log.appends;
  CHECK(attempts <= 80);
  fixture.log.isDown = false;
  fixture.executor.Advance(1s);
  CHECK(fixture.done == Keys{ "a", "b", "c" });
  CHECK(fixture.log.appends == attempts + 2);
}

// Guards against an append that grows during an outage until the log refuses
// it, whose records are then never written.
TEST_CASE("a backlog larger than the limit of one append is written in parts")
{
  Fixture fixture;
  const auto writer = fixture.MakeWriter(1);
  constexpr std::size_t kWrites = 30;
  const std::string value(100'000, 'v');
  fixture.log.maxAppendBytes = 2'000'000;
  fixture.log.isDown = true;
  std::size_t done = 0;
  for (std::size_t i = 0; i < kWrites; ++i) {
    writer->Write({ { std::to_string(i), value } }, [&, i] {
      CHECK(done == i);
      ++done;
    });
  }
  fixture.executor.Advance(2s);
  CHECK(writer->Pending() == kWrites);
  fixture.log.isDown = false;
  fixture.executor.Advance(5s);
  CHECK(done == kWrites);
  CHECK(writer->Pending() == 0);
  const auto& records = fixture.log.PartitionOf(kTopic).records;
  REQUIRE(records.size() == kWrites);
  CHECK(records.back().key == std::to_string(kWrites - 1));
}

// Guards against a single decision that is larger than the log takes, which
// would hold up all later records.
TEST_CASE("a request larger than the limit of one append is divided in order")
{
  Fixture fixture;
  fixture.log.maxAppendBytes = 300'000;
  SUBCASE("the log tells its limit")
  {
    fixture.log.limits.appendBytes = 300'000;
  }
  SUBCASE("the log tells a higher limit") {}
  SUBCASE("the log takes less than one usual append")
  {
    fixture.log.maxAppendBytes = 110'000;
  }
  const auto writer = fixture.MakeWriter(1);
  constexpr std::size_t kRecords = 30;
  std::vector<KeyedValue> records;
  for (std::size_t i = 0; i < kRecords; ++i) {
    records.push_back({ std::to_string(i), std::string(100'000, 'v') });
  }
  const auto& written = fixture.log.PartitionOf(kTopic).records;
  int done = 0;
  writer->Write(records, [&] {
    ++done;
    CHECK(written.size() >= kRecords);
  });
  fixture.Write(*writer, "next");
  fixture.executor.Advance(5s);
  CHECK(done == 1);
  CHECK(fixture.done == Keys{ "next" });
  REQUIRE(written.size() == kRecords + 1);
  for (std::size_t i = 0; i < kRecords; ++i) {
    CHECK(written[i].key == std::to_string(i));
  }
}

// Guards against a caller's record that the log will never take.
TEST_CASE("an optional record that is too large is refused, the others written")
{
  Fixture fixture;
  fixture.log.maxAppendBytes = 50'000;
  const auto writer = fixture.MakeWriter(1);
  int refused = 0;
  int durable = 0;
  std::vector<WriteRequest> requests(2);
  requests[0] = { { { "large", std::string(60'000, 'v') } },
                  [] {},
                  [&] { ++refused; } };
  requests[1] = { { { "needed", "v" } }, [&] { ++durable; }, {} };
  writer->Write(std::move(requests));
  fixture.executor.Advance(1s);
  CHECK(refused == 1);
  CHECK(durable == 1);
  CHECK(fixture.log.PartitionOf(kTopic).records.size() == 1);
}

// Guards against two coordinators writing at the same time.
TEST_CASE("a writer with a lower token is fenced and notified once")
{
  Fixture fixture;
  const auto former = fixture.MakeWriter(1);
  const auto current = fixture.MakeWriter(2);
  fixture.Write(*former, "a");
  fixture.Write(*current, "b");
  fixture.Write(*former, "c");
  fixture.executor.Advance(5s);
  CHECK(fixture.fenced == 1);
  CHECK(fixture.done == Keys{ "a", "b" });
  CHECK(fixture.log.PartitionOf(kTopic).records.size() == 2);
}

// Guards against a slow log that is asked again and again, because each attempt
// is given up before its answer.
TEST_CASE("the answer to any attempt of an append counts")
{
  HeldFixture fixture;
  // The log answers other requests, so the answer may be lost.
  fixture.log.answeredAsOf = fixture.clock.Now();
  fixture.executor.Advance(700ms);
  REQUIRE(fixture.log.held.size() == 2);
  CHECK_FALSE(fixture.log.held[0].conditions.isRepeat);
  CHECK(fixture.log.held[1].conditions.isRepeat);
  CHECK(fixture.log.held[0].conditions.stamp->sequence ==
        fixture.log.held[1].conditions.stamp->sequence);
  std::size_t answered = 0;
  SUBCASE("the first") {}
  SUBCASE("the second")
  {
    answered = 1;
  }
  fixture.Answer(answered, base::LogOffset(0));
  CHECK(fixture.done == 1);
  CHECK(fixture.writer.Pending() == 0);
  // The other answer arrives while the next append is under way.
  fixture.writer.Write({ { "b", "v" } }, [] {});
  fixture.executor.RunDue();
  fixture.Answer(1 - answered, base::LogOffset(0));
  CHECK(fixture.writer.Pending() == 1);
}

// Guards against repeats that take further turns in a log that is only slow.
TEST_CASE("an append is repeated later while the log answers nothing")
{
  HeldFixture fixture;
  fixture.executor.Advance(1300ms);
  CHECK(fixture.log.held.size() == 1);
  fixture.executor.Advance(100ms);
  CHECK(fixture.log.held.size() == 2);
}

TEST_CASE("a refused append is repeated although an earlier one is unanswered")
{
  HeldFixture fixture;
  fixture.log.answeredAsOf = fixture.clock.Now();
  fixture.executor.Advance(700ms);
  fixture.Answer(1, base::Fail(base::ErrorCode::LogUnavailable));
  fixture.executor.Advance(300ms);
  CHECK(fixture.log.held.size() == 3);
}

TEST_CASE("a writer is stalled while its append fails or is overdue")
{
  HeldFixture fixture;
  CHECK_FALSE(fixture.writer.IsStalled());
  SUBCASE("after a failure")
  {
    fixture.Answer(0, base::Fail(base::ErrorCode::LogUnavailable));
  }
  SUBCASE("without an answer")
  {
    fixture.executor.Advance(1201ms);
  }
  CHECK(fixture.writer.IsStalled());
  fixture.executor.Advance(500ms);
  fixture.Answer(fixture.log.held.size() - 1, base::LogOffset(0));
  CHECK_FALSE(fixture.writer.IsStalled());
}

// Guards against running a job whose submission was refused during an outage.
TEST_CASE("records that need no retry are dropped if the log refuses them")
{
  HeldFixture fixture;
  fixture.Answer(0, base::LogOffset(0));
  int durable = 0;
  int refused = 0;
  std::vector<WriteRequest> requests(2);
  requests[0] = { { { "optional", "v" } }, [] {}, [&] { ++refused; } };
  requests[1] = { { { "needed", "v" } }, [&] { ++durable; }, {} };
  fixture.writer.Write(std::move(requests));
  fixture.executor.RunDue();
  CHECK(fixture.log.held.size() == 2);
  SUBCASE("if the append had no effect")
  {
    fixture.Answer(1, base::Fail(base::ErrorCode::LogUnavailable));
    CHECK(refused == 1);
    CHECK(fixture.writer.Pending() == 1);
    fixture.executor.Advance(300ms);
    fixture.Answer(2, base::LogOffset(1));
    CHECK(durable == 1);
  }
  SUBCASE("unless the append may have had an effect")
  {
    fixture.Answer(1, base::Fail(base::ErrorCode::AppendUnconfirmed));
    fixture.executor.Advance(300ms);
    fixture.Answer(2, base::Fail(base::ErrorCode::LogUnavailable));
    CHECK(refused == 0);
    CHECK(fixture.writer.Pending() == 2);
  }
}

TEST_CASE("a refused append of optional records uses no sequence number")
{
  HeldFixture fixture;
  fixture.Answer(0, base::LogOffset(0));
  int refused = 0;
  std::vector<WriteRequest> requests(1);
  requests[0] = { { { "optional", "v" } }, [] {}, [&] { ++refused; } };
  fixture.writer.Write(std::move(requests));
  fixture.executor.RunDue();
  fixture.Answer(1, base::Fail(base::ErrorCode::LogUnavailable));
  CHECK(refused == 1);
  CHECK(fixture.writer.Pending() == 0);
  fixture.writer.Write({ { "next", "v" } }, [] {});
  fixture.executor.RunDue();
  CHECK(fixture.log.held[2].conditions.stamp->sequence ==
        fixture.log.held[0].conditions.stamp->sequence + 1);
}

// Guards against records that are taken for durable but are not in the log.
TEST_CASE("a late answer to an append that was divided is ignored")
{
  HeldFixture fixture;
  fixture.Answer(0, base::LogOffset(0));
  fixture.log.answeredAsOf = fixture.clock.Now();
  int durable = 0;
  int refused = 0;
  std::vector<WriteRequest> requests(2);
  requests[0] = { { { "optional", std::string(100, 'v') } },
                  [] {},
                  [&] { ++refused; } };
  requests[1] = { { { "needed", std::string(100, 'v') } },
                  [&] { ++durable; },
                  {} };
  fixture.writer.Write(std::move(requests));
  fixture.executor.Advance(700ms);
  REQUIRE(fixture.log.held.size() == 3);
  fixture.Answer(2, base::Fail(base::ErrorCode::TooLarge));
  REQUIRE(fixture.log.held.size() == 4);
  fixture.Answer(1, base::Fail(base::ErrorCode::TooLarge));
  CHECK(refused == 0);
  CHECK(fixture.log.held.size() == 4);
  fixture.Answer(3, base::LogOffset(1));
  REQUIRE(fixture.log.held.size() == 5);
  CHECK(durable == 0);
  CHECK(fixture.log.held[4].conditions.stamp->sequence ==
        fixture.log.held[3].conditions.stamp->sequence + 1);
  fixture.Answer(4, base::LogOffset(2));
  CHECK(durable == 1);
}
