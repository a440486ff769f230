#include "amaranthwind/journal/KeyedFollower.h"

#include "amaranthwind/base/ManualExecutor.h"
#include "amaranthwind/journal/testing/FakeKeyedLog.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <utility>

using namespace amaranthwind;
using namespace amaranthwind::journal;
using namespace std::chrono_literals;

namespace {

const KeyedTopic kTopic{ "t", 0 };

struct RecordingObserver final : FollowerObserver
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
  void OnAvailable() override { ++this->returns; }

  int loads = 0;
  int outages = 0;
  int returns = 0;
  std::vector<std::string> values;
  base::TimePoint asOf{};
};

struct Fixture
{
  Fixture()
  {
    this->clock.Advance(1h);
    this->Append("a", "1");
    this->Append("b", "1");
    this->Append("a", "2");
  }
  void Append(const std::string& aKey, const std::string& aValue)
  {
    const KeyedValue value{ aKey, aValue };
    this->log.Append(kTopic, std::span(&value, 1), {}, [](const auto&) {});
    this->executor.RunDue();
  }

  base::ManualClock clock;
  base::ManualExecutor executor{ clock };
  testing::FakeKeyedLog log;
  RecordingObserver observer;
  KeyedFollower follower{ { .topic = kTopic }, clock, executor, log, observer };
};

using Values = std::vector<std::string>;

/** Serves requests at once; answers reads and pages when the test says so. */
class DelayingLog final : public KeyedLog
{
public:
  explicit DelayingLog(KeyedLog& aLog)
    : log(aLog)
  {
  }
  SizeLimits Limits() const override { return this->log.Limits(); }
  void Append(const KeyedTopic& aTopic,
              std::span<const KeyedValue> aRecords,
              const AppendConditions& aConditions,
              KeyedAppendHandler aHandler) override
  {
    this->log.Append(aTopic, aRecords, aConditions, std::move(aHandler));
  }
  void Read(const KeyedTopic& aTopic,
            base::LogOffset aFrom,
            base::Duration aWait,
            KeyedReadHandler aHandler) override
  {
    this->log.Read(aTopic,
                   aFrom,
                   aWait,
                   [this, handler = std::move(aHandler)](
                     const base::Result<KeyedBatch>& aBatch) {
                     this->Answer(this->delayedReads,
                                  [handler, aBatch] { handler(aBatch); });
                   });
  }
  void ReadNewest(const KeyedTopic& aTopic,
                  std::string_view aAfterKey,
                  NewestHandler aHandler) override
  {
    this->log.ReadNewest(aTopic,
                         aAfterKey,
                         [this, handler = std::move(aHandler)](
                           const base::Result<NewestPage>& aPage) {
                           this->Answer(this->delayedPages,
                                        [handler, aPage] { handler(aPage); });
                         });
  }
  base::TimePoint AnsweredAsOf() const override
  {
    return this->log.AnsweredAsOf();
  }

  using Answers = std::vector<std::function<void()>>;
  bool isDelaying = false;
  Answers delayedReads;
  Answers delayedPages;

private:
  void Answer(Answers& aDelayed, std::function<void()> aAnswer)
  {
    if (this->isDelaying) {
      aDelayed.push_back(std::move(aAnswer));
    } else {
      aAnswer();
    }
  }

  KeyedLog& log;
};

} // namespace

TEST_CASE("a follower loads the newest record of each key, then reads on")
{
  Fixture fixture;
  SUBCASE("in one page") {}
  SUBCASE("in pages of one record")
  {
    fixture.log.pageSize = 1;
  }
  fixture.follower.Start();
  fixture.executor.RunDue();
  CHECK(fixture.observer.loads == 1);
  CHECK(fixture.observer.values == Values{ "b=1", "a=2" });
  CHECK(fixture.log.Waiting() == 1);
  fixture.Append("c", "3");
  CHECK(fixture.observer.values == Values{ "b=1", "a=2", "c=3" });
}

// Guards against a load that starts from the beginning whenever one of its
// pages fails, and so never ends once there are many.
TEST_CASE("a load goes on with the page that failed")
{
  Fixture fixture;
  for (int i = 0; i < 20; ++i) {
    fixture.Append("key-" + std::to_string(i), "v");
  }
  fixture.log.pageSize = 1;
  fixture.log.failingPages = 2;
  fixture.follower.Start();
  fixture.executor.Advance(60s);
  CHECK(fixture.observer.loads == 1);
  CHECK(fixture.observer.values.size() == 22);
}

// Guards against a stale view after the log has dropped the records that the
// follower would read next.
TEST_CASE("a follower reloads when the log has dropped records")
{
  Fixture fixture;
  fixture.follower.Start();
  fixture.executor.RunDue();
  fixture.log.isDown = true;
  fixture.log.FailWaitingReads({ base::ErrorCode::LogUnavailable, {} });
  fixture.executor.RunDue();
  fixture.log.isDown = false;
  fixture.Append("a", "3");
  fixture.Append("b", "");
  fixture.log.Compact(kTopic);
  fixture.executor.Advance(1s);
  CHECK(fixture.observer.loads == 2);
  CHECK(fixture.observer.values == Values{ "a=3" });
}

// Guards against retrying without backoff while the log is down.
TEST_CASE("an outage is reported once and retried at a bounded rate")
{
  Fixture fixture;
  fixture.follower.Start();
  fixture.executor.RunDue();
  const base::TimePoint before = fixture.observer.asOf;
  fixture.log.isDown = true;
  fixture.log.FailWaitingReads({ base::ErrorCode::LogUnavailable, {} });
  const int reads = fixture.log.reads;
  fixture.executor.Advance(30s);
  CHECK(fixture.observer.outages == 1);
  CHECK(fixture.log.reads - reads >= 50);
  CHECK(fixture.log.reads - reads <= 140);
  CHECK(fixture.observer.asOf == before);
  fixture.log.isDown = false;
  fixture.executor.Advance(1s);
  CHECK(fixture.observer.asOf > before);
}

// Guards against reporting a view as newer than the read that confirms it.
TEST_CASE("a waiting read confirms the view as of the time it was sent")
{
  Fixture fixture;
  fixture.follower.Start();
  fixture.executor.RunDue();
  const base::TimePoint sent = fixture.clock.Now();
  fixture.executor.Advance(600ms);
  fixture.log.TimeOutWaitingReads();
  fixture.executor.RunDue();
  CHECK(fixture.observer.asOf == sent);
}

// Guards against requests that are refused for longer than needed: the answer
// that ends a silence confirms the view as of a time long ago, and the next
// read waits for records.
TEST_CASE("a late answer is followed by a read that does not wait")
{
  Fixture fixture;
  fixture.follower.Start();
  fixture.executor.RunDue();
  REQUIRE(fixture.log.Waiting() == 1);
  fixture.clock.Advance(5s);
  SUBCASE("with records")
  {
    fixture.Append("a", "3");
  }
  SUBCASE("without records")
  {
    fixture.log.TimeOutWaitingReads();
    fixture.executor.RunDue();
  }
  SUBCASE("after an outage")
  {
    fixture.log.holdsReads = true;
    fixture.log.FailWaitingReads({ base::ErrorCode::LogUnavailable, {} });
    fixture.executor.Advance(1s);
    REQUIRE(fixture.log.Waiting() == 1);
    fixture.clock.Advance(5s);
    fixture.log.holdsReads = false;
    fixture.log.TimeOutWaitingReads();
    fixture.executor.RunDue();
  }
  CHECK(fixture.observer.asOf == fixture.clock.Now());
  // Only one: a log that is always slow is still read with waits.
  CHECK(fixture.log.Waiting() == 1);
}

TEST_CASE("a view is confirmed only by a successful read of the log")
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

// Guards against an outage that counts as going on while the topic is loaded
// again: the log answers each page, but there is no confirmed view yet.
TEST_CASE("the first answer after an outage is reported, also during a load")
{
  Fixture fixture;
  DelayingLog log(fixture.log);
  RecordingObserver observer;
  KeyedFollower follower(
    { .topic = kTopic }, fixture.clock, fixture.executor, log, observer);
  follower.Start();
  fixture.executor.RunDue();
  CHECK(observer.returns == 0);
  fixture.log.isDown = true;
  fixture.log.FailWaitingReads({ base::ErrorCode::LogUnavailable, {} });
  fixture.executor.Advance(5s);
  REQUIRE(observer.outages == 1);
  fixture.log.isDown = false;
  fixture.Append("b", "2");
  fixture.log.Compact(kTopic);
  log.isDelaying = true;
  fixture.executor.Advance(1s);
  // The answer that refuses the offset arrives; the page after it does not.
  REQUIRE(log.delayedReads.size() == 1);
  log.delayedReads.front()();
  fixture.executor.Advance(1s);
  REQUIRE(log.delayedPages.size() == 1);
  CHECK(observer.returns == 1);
  CHECK(observer.loads == 1);
  log.isDelaying = false;
  log.delayedPages.front()();
  fixture.executor.RunDue();
  CHECK(observer.loads == 2);
  CHECK(observer.returns == 1);
}

// Guards against a view that is confirmed although it lacks records.
TEST_CASE("a read that was sent before a reload leaves out no records")
{
  Fixture fixture;
  DelayingLog log(fixture.log);
  RecordingObserver observer;
  KeyedFollower follower(
    { .topic = kTopic }, fixture.clock, fixture.executor, log, observer);
  follower.Start();
  fixture.executor.RunDue();
  REQUIRE(observer.loads == 1);
  int confirmed = 0;
  const auto confirm = [&] {
    follower.Confirm([&](bool aIsConfirmed) { confirmed += aIsConfirmed; });
    fixture.executor.RunDue();
  };
  const auto release = [&](DelayingLog::Answers& aAnswers) {
    REQUIRE_FALSE(aAnswers.empty());
    const auto answer = aAnswers.front();
    aAnswers.erase(aAnswers.begin());
    answer();
    fixture.executor.RunDue();
  };
  // The waiting read expires, and the first page of the reload is read, while
  // the answer of a confirmation is on its way.
  fixture.log.isDown = true;
  fixture.log.FailWaitingReads({ base::ErrorCode::LogUnavailable, {} });
  fixture.executor.RunDue();
  fixture.log.isDown = false;
  log.isDelaying = true;
  fixture.Append("b", "2");
  confirm();
  REQUIRE(log.delayedReads.size() == 1);
  fixture.log.Compact(kTopic);
  fixture.log.pageSize = 1;
  fixture.executor.Advance(1s);
  REQUIRE(log.delayedReads.size() == 2);
  release(log.delayedReads);
  CHECK(confirmed == 1);
  release(log.delayedReads);
  REQUIRE(log.delayedPages.size() == 1);
  // A confirmation reads a record that the reload lacks; the next one is
  // answered after the reload.
  fixture.Append("a", "done");
  confirm();
  release(log.delayedReads);
  CHECK(confirmed == 2);
  fixture.Append("c", "1");
  confirm();
  REQUIRE(log.delayedReads.size() == 1);
  while (!log.delayedPages.empty()) {
    release(log.delayedPages);
  }
  REQUIRE(observer.loads == 2);
  const auto hasRecord = [&] {
    return std::find(observer.values.begin(),
                     observer.values.end(),
                     "a=done") != observer.values.end();
  };
  release(log.delayedReads);
  CHECK((confirmed == 2 || hasRecord()));
  log.isDelaying = false;
  while (!log.delayedReads.empty()) {
    release(log.delayedReads);
  }
  fixture.executor.Advance(1s);
  CHECK(hasRecord());
  confirm();
  CHECK(confirmed >= 3);
}

// Guards against a read of the log for each of many callers at once, as for
// requests for jobs that do not exist, which use up the log's rate of reads.
TEST_CASE("many callers share the reads that confirm the view")
{
  Fixture fixture;
  DelayingLog log(fixture.log);
  RecordingObserver observer;
  KeyedFollower follower(
    { .topic = kTopic }, fixture.clock, fixture.executor, log, observer);
  follower.Start();
  fixture.executor.RunDue();
  REQUIRE(observer.loads == 1);
  log.isDelaying = true;
  constexpr int kCallers = 1000;
  constexpr std::size_t kMaxReads = 10;
  int confirmed = 0;
  for (int i = 0; i < kCallers; ++i) {
    follower.Confirm([&](bool aIsConfirmed) { confirmed += aIsConfirmed; });
  }
  fixture.executor.RunDue();
  CHECK(log.delayedReads.size() <= kMaxReads);
  log.isDelaying = false;
  for (const auto& answer : std::exchange(log.delayedReads, {})) {
    answer();
    fixture.executor.RunDue();
  }
  CHECK(confirmed == kCallers);
}
