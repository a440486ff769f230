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
      options, this->executor, this->log, [this] { ++this->fenced; });
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
