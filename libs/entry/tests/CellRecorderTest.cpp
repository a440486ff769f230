#include "CellRecorder.h"

#include <doctest/doctest.h>

#include <string>

using namespace amaranthwind;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
  bool Has(std::string_view aLine) const
  {
    const std::string text = "\n" + this->metrics.Render();
    const std::string line = "\namaranthwind_" + std::string(aLine) + "\n";
    return text.find(line) != std::string::npos;
  }

  telemetry::Metrics metrics;
  entry::CellRecorder recorder{ telemetry::CellMetrics(this->metrics,
                                                       base::ZoneId("z")) };
  const base::TimePoint start{};
  const job::GangId gang{ base::JobId("job"), base::Attempt(1) };
};

} // namespace

// Guards against a preemption that is counted again with each repeated stop
// request, and against a reclaim time measured from the last of them.
TEST_CASE("a repeated preemption counts once, from its first request")
{
  Fixture fixture;
  const scheduling::PreemptGang preempt{
    fixture.gang, {}, scheduling::StopReason::GuaranteeClaimed
  };
  fixture.recorder.OnPreempt(preempt, fixture.start);
  fixture.recorder.OnPreempt(preempt, fixture.start + 5s);
  fixture.recorder.OnAttemptEnded(
    fixture.gang, gang::AttemptOutcome::Preempted, fixture.start + 6s);
  CHECK(fixture.Has(R"(preemptions_total{zone="z"} 1)"));
  CHECK(fixture.Has(R"(guarantee_reclaim_seconds_count{zone="z"} 1)"));
  CHECK(fixture.Has(R"(guarantee_reclaim_seconds_sum{zone="z"} 6)"));
  CHECK(fixture.Has(R"(gang_attempts_total{result="preempted",zone="z"} 1)"));
}

// Guards against a cancelled job that is counted as preempted to reclaim
// accelerators for a guarantee.
TEST_CASE("a cancellation is not counted as a preemption")
{
  Fixture fixture;
  fixture.recorder.OnPreempt(
    { fixture.gang, {}, scheduling::StopReason::Cancelled }, fixture.start);
  fixture.recorder.OnAttemptEnded(
    fixture.gang, gang::AttemptOutcome::Preempted, fixture.start + 1s);
  CHECK(fixture.Has(R"(preemptions_total{zone="z"} 0)"));
  CHECK(fixture.Has(R"(guarantee_reclaim_seconds_count{zone="z"} 0)"));
}

// Guards against a gang that starts without a commit and is not counted (no
// part of a gang runs unless the whole gang runs), and against a second attempt
// that is counted as the start of the job.
TEST_CASE("starts of urgent jobs and starts without a commit are counted")
{
  Fixture fixture;
  fixture.recorder.OnAccepted(fixture.gang.job, 0, fixture.start);
  fixture.recorder.OnStarted(fixture.gang, false, fixture.start + 2s);
  fixture.recorder.OnStarted(fixture.gang, true, fixture.start + 9s);
  CHECK(fixture.Has(R"(urgent_start_seconds_count{zone="z"} 1)"));
  CHECK(fixture.Has(R"(urgent_start_seconds_sum{zone="z"} 2)"));
  CHECK(fixture.Has(R"(gang_partial_starts_total{zone="z"} 1)"));
}

// Guards against a shortfall that is still reported after the guarantee fits
// again or after the entry stopped coordinating the cell: the
// metric reports when the promise is at risk that a client account's guaranteed
// accelerators can always be reclaimed.
TEST_CASE("the shortfall is the sum over accounts and is reset")
{
  Fixture fixture;
  fixture.recorder.OnShortfall({ base::AccountId("a"), 2, 16 });
  fixture.recorder.OnShortfall({ base::AccountId("b"), 1, 8 });
  CHECK(fixture.Has(R"(cell_guarantee_shortfall{zone="z"} 3)"));
  fixture.recorder.OnShortfall({ base::AccountId("a"), 0, 0 });
  CHECK(fixture.Has(R"(cell_guarantee_shortfall{zone="z"} 1)"));
  fixture.recorder.OnStopActing();
  CHECK(fixture.Has(R"(cell_guarantee_shortfall{zone="z"} 0)"));
}
