#include "amaranthwind/coordinator/Coordinator.h"

#include "Fleet.h"
#include "LeaderLog.h"
#include "Submissions.h"
#include "amaranthwind/base/ManualExecutor.h"
#include "amaranthwind/journal/testing/FakeKeyedLog.h"

#include <doctest/doctest.h>

#include <utility>

using namespace amaranthwind;
using namespace amaranthwind::coordinator;
using namespace std::chrono_literals;
using base::ErrorCode;
using ledger::JobPhase;

namespace {

/** An entry that takes part in the election. */
struct Entry final : LeaderObserver
{
  Entry(const char* aName,
        base::ManualClock& aClock,
        base::Executor& aExecutor,
        journal::KeyedLog& aLog)
    : logger(sink, aClock, "coordinator")
    , executor(aExecutor, aClock)
    , leaderLog(
        { .self = base::EntryId(aName), .incarnation = base::Incarnation(1) },
        aClock,
        executor,
        executor,
        aLog,
        logger,
        *this)
  {
    aExecutor.Post([this] { this->leaderLog.Start("a:1"); });
  }
  void OnElected(base::FencingToken aToken,
                 const std::optional<membership::LeaderTerm>&) override
  {
    this->elected.push_back(aToken);
  }
  void OnDeposed() override { ++this->deposed; }

  testing::NullLogSink sink;
  telemetry::Logger logger;
  base::ProgressExecutor executor;
  std::vector<base::FencingToken> elected;
  int deposed = 0;
  LeaderLog leaderLog;
};

struct Election
{
  Election() { this->clock.Advance(1h); }
  /** Advances the time and lets pending long-poll reads time out. */
  void Run(base::Duration aTime)
  {
    constexpr base::Duration kStep = 600ms;
    for (base::Duration done{}; done < aTime; done += kStep) {
      this->executor.Advance(kStep);
      this->log.TimeOutWaitingReads();
      this->executor.RunDue();
    }
  }
  int Leaders() const
  {
    return (this->first.leaderLog.IsLeader() ? 1 : 0) +
           (this->second.leaderLog.IsLeader() ? 1 : 0);
  }

  base::ManualClock clock;
  base::ManualExecutor executor{ clock };
  journal::testing::FakeKeyedLog log;
  Entry first{ "entry-1", clock, executor, log };
  Entry second{ "entry-2", clock, executor, log };
};

class NoCoordinator final : public SharedAppender
{
public:
  void AppendShared(journal::KeyedValue,
                    base::Duration,
                    AppendHandler aHandler) override
  {
    if (this->executor == nullptr) {
      aHandler(protocol::AppendState::NotAppended);
      return;
    }
    this->executor->RunAfter(this->delay, [handler = std::move(aHandler)] {
      handler(protocol::AppendState::NotAppended);
    });
  }
  base::Result<void> CheckAlone(const journal::KeyedValue&) override
  {
    return base::success();
  }

  /** If set, records are returned after the delay. */
  base::Executor* executor = nullptr;
  base::Duration delay{};
};

} // namespace

TEST_CASE("one of two entries leads, and the other takes over")
{
  Election election;
  election.Run(3s);
  CHECK(election.Leaders() == 1);
  Entry& leader =
    election.first.leaderLog.IsLeader() ? election.first : election.second;
  Entry& other = &leader == &election.first ? election.second : election.first;
  SUBCASE("when it resigns")
  {
    leader.leaderLog.Resign();
    election.Run(1200ms);
  }
  SUBCASE("when it stops sending heartbeats")
  {
    leader.leaderLog.Stop();
    election.Run(5s);
  }
  CHECK(other.leaderLog.IsLeader());
  CHECK(other.elected.back() > leader.elected.back());
}

TEST_CASE("a leader keeps its leadership through a log outage")
{
  Election election;
  election.Run(3s);
  election.log.isDown = true;
  election.log.FailWaitingReads({ ErrorCode::LogUnavailable, {} });
  election.Run(20s);
  CHECK(election.Leaders() == 1);
  election.log.isDown = false;
  election.Run(10s);
  CHECK(election.first.deposed + election.second.deposed == 0);
}

// Guards against a coordinator that dispatches on without being the leader:
// a late entry reads its own claim together with the one that replaced it.
TEST_CASE("an entry that reads its own and a newer claim at once is deposed")
{
  Election election;
  election.Run(3s);
  Entry& other =
    election.first.leaderLog.IsLeader() ? election.second : election.first;
  const membership::LeaderClaim own{
    base::EntryId(&other == &election.first ? "entry-1" : "entry-2"),
    base::Incarnation(1),
    "a:1",
    false,
    false
  };
  membership::LeaderClaim newer = own;
  newer.holder = base::EntryId("entry-3");
  const std::vector<journal::KeyedRecord> records{
    { base::LogOffset(10), "leader", codec::EncodeClaim(own) },
    { base::LogOffset(11), "leader", codec::EncodeClaim(newer) }
  };
  other.leaderLog.OnRecords(records);
  CHECK_FALSE(other.leaderLog.IsLeader());
  CHECK(std::cmp_equal(other.elected.size(), other.deposed));
}

// Guards against grants that outlast the wait of the next coordinator: the
// answer to a claim proves nothing about the time after the claim was sent.
TEST_CASE("a late answer to a claim does not confirm the view of the log")
{
  base::ManualClock clock;
  clock.Advance(1h);
  base::ManualExecutor executor(clock);
  testing::FakeThread thread(executor);
  thread.lateness = 1s;
  journal::testing::FakeKeyedLog log;
  Entry entry{ "entry-1", clock, thread, log };
  while (log.PartitionOf({ std::string(membership::kLeaderTopic), 0 })
           .records.empty()) {
    executor.Advance(10ms);
  }
  const base::TimePoint claimedAt = clock.Now();
  while (!entry.leaderLog.IsLeader()) {
    executor.Advance(10ms);
  }
  CHECK(clock.Now() > claimedAt + 900ms);
  CHECK(entry.leaderLog.ConfirmedAt() <= claimedAt);
}

// Guards against grants of an entry that has confirmed that it issues none.
TEST_CASE("an unanswered claim is void once a newer leader is known")
{
  Election election;
  election.first.leaderLog.OnNewerLeader(base::FencingToken(1000));
  election.second.leaderLog.OnNewerLeader(base::FencingToken(1000));
  election.Run(3s);
  CHECK(election.Leaders() == 0);
}

// Guards against two leaders after the answer to a claim was lost.
TEST_CASE("a claim with a lost response takes effect once it is read back")
{
  Election election;
  election.log.losesAnswers = true;
  election.Run(3s);
  CHECK(election.Leaders() == 1);
}

TEST_CASE("a submission is retried until it is durable")
{
  base::ManualClock clock;
  clock.Advance(1h);
  base::ManualExecutor executor(clock);
  journal::testing::FakeKeyedLog log;
  NoCoordinator coordinator;
  telemetry::Metrics metrics;
  Submissions submissions(clock, executor, executor, log, coordinator, metrics);
  std::optional<base::Result<void>> result;
  const auto submit = [&] {
    result.reset();
    submissions.Append(
      { "a/j", "1" }, 3s, [&](const auto& aResult) { result = aResult; });
    executor.RunDue();
  };
  SUBCASE("on the first attempt")
  {
    submit();
    REQUIRE(result.has_value());
    CHECK(result->has_value());
  }
  SUBCASE("after a short outage")
  {
    log.isDown = true;
    submit();
    executor.Advance(300ms);
    log.isDown = false;
    executor.Advance(1s);
    REQUIRE(result.has_value());
    CHECK(result->has_value());
  }
  // Guards against reporting "not accepted" for a job that may be in the log.
  SUBCASE("an outage yields a definite error")
  {
    log.isDown = true;
    submit();
    executor.Advance(2s);
    REQUIRE(result.has_value());
    CHECK(result->error().code == ErrorCode::LogUnavailable);
  }
  SUBCASE("lost responses yield an unconfirmed append")
  {
    log.losesAnswers = true;
    submit();
    executor.Advance(2s);
    REQUIRE(result.has_value());
    CHECK(result->error().code == ErrorCode::AppendUnconfirmed);
  }
}

// Guards against a record that takes effect long after its caller gave up: the
// entry was suspended while the request waited.
TEST_CASE("a submission whose deadline has passed is not appended")
{
  base::ManualClock clock;
  clock.Advance(1h);
  base::ManualExecutor executor(clock);
  journal::testing::FakeKeyedLog log;
  NoCoordinator coordinator;
  telemetry::Metrics metrics;
  Submissions submissions(clock, executor, executor, log, coordinator, metrics);
  std::optional<base::Result<void>> result;
  submissions.Append(
    { "a/j", "1" }, 3s, [&](const auto& aResult) { result = aResult; });
  SUBCASE("before it reached the coordinator") {}
  SUBCASE("before the entry appended it itself")
  {
    coordinator.delay = 4s;
    coordinator.executor = &executor;
    executor.RunDue();
  }
  clock.Advance(4s);
  executor.RunDue();
  REQUIRE(result.has_value());
  CHECK(result->error().code == ErrorCode::LogUnavailable);
  CHECK(log.appends == 0);
}

TEST_CASE("the directory counts the pending jobs of a kind")
{
  JobDirectory directory;
  const base::WorkKindId kind("kind");
  const base::JobId first("1");
  const base::JobId second("2");
  directory.Publish(first, JobStatus{ JobPhase::Pending, kind });
  directory.Publish(second, JobStatus{ JobPhase::Pending, kind });
  CHECK(directory.CountPending(kind) == 2);
  directory.Publish(first, JobStatus{ JobPhase::Running, kind });
  directory.Publish(first, JobStatus{ JobPhase::Running, kind });
  CHECK(directory.CountPending(kind) == 1);
  directory.Publish(second, std::nullopt);
  CHECK(directory.CountPending(kind) == 0);
  CHECK(directory.Find(first)->phase == JobPhase::Running);
  CHECK_FALSE(directory.Find(second).has_value());
}
