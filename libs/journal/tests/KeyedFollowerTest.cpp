#include "amaranthwind/journal/KeyedFollower.h"

#include "amaranthwind/base/ManualExecutor.h"
#include "amaranthwind/journal/testing/FakeKeyedLog.h"

#include <doctest/doctest.h>

using namespace amaranthwind;
using namespace amaranthwind::journal;
using namespace std::chrono_literals;

namespace {

const KeyedTopic kTopic{ "t", 0 };

struct Seen final : FollowerObserver
{
  void OnLoaded(std::span<const KeyedRecord> aNewest) override
  {
    ++this->loads;
    this->values.clear();
    this->OnRecords(aNewest);
  }
  void OnRecords(std::span<const KeyedRecord> aRecords) override
  {
    for (const auto& record : aRecords) {
      this->values.push_back(record.key + "=" + record.value);
    }
  }
  void OnCurrent(base::TimePoint aAsOf) override { this->asOf = aAsOf; }
  void OnUnavailable(const base::Error&) override { ++this->outages; }

  int loads = 0;
  int outages = 0;
  std::vector<std::string> values;
  base::TimePoint asOf{};
};

struct Fixture
{
  Fixture()
  {
    this->clock.Advance(1h);
    this->Put("a", "1");
    this->Put("b", "1");
    this->Put("a", "2");
  }
  void Put(const std::string& aKey, const std::string& aValue)
  {
    const KeyedValue value{ aKey, aValue };
    this->log.Append(kTopic, std::span(&value, 1), {}, [](const auto&) {});
    this->executor.RunDue();
  }

  base::ManualClock clock;
  base::ManualExecutor executor{ clock };
  testing::FakeKeyedLog log;
  Seen seen;
  KeyedFollower follower{ { .topic = kTopic }, clock, executor, log, seen };
};

using Values = std::vector<std::string>;

} // namespace

TEST_CASE("a follower loads the newest of each key and reads on")
{
  Fixture fixture;
  SUBCASE("in one page") {}
  SUBCASE("in pages of one record")
  {
    fixture.log.pageSize = 1;
  }
  fixture.follower.Start();
  fixture.executor.RunDue();
  CHECK(fixture.seen.loads == 1);
  CHECK(fixture.seen.values == Values{ "b=1", "a=2" });
  CHECK(fixture.log.Waiting() == 1);
  fixture.Put("c", "3");
  CHECK(fixture.seen.values == Values{ "b=1", "a=2", "c=3" });
}

// Guards against a view that stays behind after the log has dropped what the
// follower would read next.
TEST_CASE("a follower loads again when the log has dropped records")
{
  Fixture fixture;
  fixture.follower.Start();
  fixture.executor.RunDue();
  fixture.log.isDown = true;
  fixture.log.FailWaiting({ base::ErrorCode::LogUnavailable, {} });
  fixture.executor.RunDue();
  fixture.log.isDown = false;
  fixture.Put("a", "3");
  fixture.Put("b", "");
  fixture.log.Compact(kTopic);
  fixture.executor.Advance(1s);
  CHECK(fixture.seen.loads == 2);
  CHECK(fixture.seen.values == Values{ "a=3" });
}

// Guards against a log that is asked without a pause while it is down.
TEST_CASE("an outage is reported once and tried at a bounded rate")
{
  Fixture fixture;
  fixture.follower.Start();
  fixture.executor.RunDue();
  const base::TimePoint before = fixture.seen.asOf;
  fixture.log.isDown = true;
  fixture.log.FailWaiting({ base::ErrorCode::LogUnavailable, {} });
  const int reads = fixture.log.reads;
  fixture.executor.Advance(30s);
  CHECK(fixture.seen.outages == 1);
  CHECK(fixture.log.reads - reads >= 50);
  CHECK(fixture.log.reads - reads <= 140);
  CHECK(fixture.seen.asOf == before);
  fixture.log.isDown = false;
  fixture.executor.Advance(1s);
  CHECK(fixture.seen.asOf > before);
}

// Guards against a view that counts as newer than what proves it.
TEST_CASE("a waiting read proves the view of the time at which it was sent")
{
  Fixture fixture;
  fixture.follower.Start();
  fixture.executor.RunDue();
  const base::TimePoint sent = fixture.clock.Now();
  fixture.executor.Advance(600ms);
  fixture.log.EndWaits();
  fixture.executor.RunDue();
  CHECK(fixture.seen.asOf == sent);
}

TEST_CASE("a view is confirmed only by an answer of the log")
{
  Fixture fixture;
  fixture.follower.Start();
  fixture.executor.RunDue();
  int confirmed = 0;
  int refused = 0;
  const auto confirm = [&] {
    fixture.follower.Confirm(
      [&](bool aIsConfirmed) { ++(aIsConfirmed ? confirmed : refused); });
    fixture.executor.RunDue();
  };
  confirm();
  CHECK(confirmed == 1);
  fixture.log.isDown = true;
  confirm();
  CHECK(refused == 1);
}
