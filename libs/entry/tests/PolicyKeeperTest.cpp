#include "PolicyKeeper.h"

#include "amaranthwind/codec/JsonRecordCodec.h"
#include "amaranthwind/journal/testing/FakeLog.h"

#include <doctest/doctest.h>

#include <string>
#include <thread>

using namespace amaranthwind;
using namespace std::chrono_literals;

namespace {

class NoLog final : public telemetry::LogSink
{
public:
  bool IsEnabled(telemetry::LogLevel) const noexcept override { return false; }
  void Write(telemetry::LogLevel, std::string_view) noexcept override {}
};

class NoObserver final : public entry::PolicyObserver
{
public:
  void OnPolicy(const policy::Policy&) override {}
};

struct Fixture
{
  ~Fixture() { this->keeper.Stop(); }

  bool WaitUntilLoaded()
  {
    const auto end = this->clock.Now() + 20s;
    while (!this->keeper.IsLoaded() && this->clock.Now() < end) {
      std::this_thread::sleep_for(5ms);
    }
    return this->keeper.IsLoaded();
  }
  bool Has(std::string_view aLine) const
  {
    const std::string text = "\n" + this->metrics.Render();
    const std::string line = "\namaranthwind_" + std::string(aLine) + "\n";
    return text.find(line) != std::string::npos;
  }

  journal::FakeLog log;
  codec::JsonRecordCodec codec;
  base::SystemClock clock;
  telemetry::Metrics metrics;
  NoLog sink;
  telemetry::Logger logger{ sink, clock, "policy" };
  NoObserver observer;
  entry::PolicyKeeper keeper{
    log, codec, clock, 1h, telemetry::PolicyMetrics(metrics), logger, observer
  };
};

policy::Policy
MakePolicy(std::uint64_t aVersion)
{
  policy::Policy policy;
  policy.version = base::PolicyVersion(aVersion);
  policy.nextOffset = base::LogOffset(10 * aVersion);
  return policy;
}

} // namespace

// Guards against notes that are in force but missing in the metrics, because a
// peer reported them before this entry had read them from the log.
TEST_CASE("notes that come into force through a peer are counted")
{
  Fixture fixture;
  fixture.keeper.Start();
  REQUIRE(fixture.WaitUntilLoaded());
  fixture.keeper.OnPeerOffset(MakePolicy(2).nextOffset);
  fixture.keeper.Adopt(MakePolicy(2));
  CHECK(fixture.Has("notes_applied_total 2"));
  CHECK(fixture.Has("note_delay_seconds_count 1"));
  fixture.keeper.Adopt(MakePolicy(1));
  CHECK(fixture.Has("notes_applied_total 2"));
}
