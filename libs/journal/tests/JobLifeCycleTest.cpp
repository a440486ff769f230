#include "amaranthwind/journal/JobLifeCycle.h"

#include <doctest/doctest.h>

#include <vector>

using namespace amaranthwind::journal;

// Guards against a job that runs again after its end, or twice at a time.
TEST_CASE("a job takes only the steps of its life cycle")
{
  struct Case
  {
    JobPhase phase;
    JobStep step;
    std::optional<JobPhase> next;
  };
  const std::vector<Case> cases{
    { JobPhase::Queued, JobStep::Commit, JobPhase::Committed },
    { JobPhase::Queued, JobStep::EndAttempt, std::nullopt },
    { JobPhase::Queued, JobStep::End, JobPhase::Ended },
    { JobPhase::Committed, JobStep::Commit, std::nullopt },
    { JobPhase::Committed, JobStep::EndAttempt, JobPhase::Queued },
    { JobPhase::Committed, JobStep::End, JobPhase::Ended },
    { JobPhase::Ended, JobStep::Commit, std::nullopt },
    { JobPhase::Ended, JobStep::EndAttempt, std::nullopt },
    { JobPhase::Ended, JobStep::End, std::nullopt },
  };
  for (const auto& each : cases) {
    CAPTURE(static_cast<int>(each.phase));
    CAPTURE(static_cast<int>(each.step));
    CHECK(NextJobPhase(each.phase, each.step) == each.next);
  }
}
