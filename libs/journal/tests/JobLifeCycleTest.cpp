#include "amaranthwind/journal/JobLifeCycle.h"

#include <doctest/doctest.h>

#include <vector>

using namespace amaranthwind::journal;

// Guards against a job that runs again after it ended, or twice concurrently.
TEST_CASE("a job only accepts the events allowed in its phase")
{
  struct Case
  {
    JobPhase phase;
    JobEvent event;
    std::optional<JobPhase> next;
  };
  const std::vector<Case> cases{
    { JobPhase::Queued, JobEvent::Commit, JobPhase::Committed },
    { JobPhase::Queued, JobEvent::EndAttempt, std::nullopt },
    { JobPhase::Queued, JobEvent::End, JobPhase::Ended },
    { JobPhase::Committed, JobEvent::Commit, std::nullopt },
    { JobPhase::Committed, JobEvent::EndAttempt, JobPhase::Queued },
    { JobPhase::Committed, JobEvent::End, JobPhase::Ended },
    { JobPhase::Ended, JobEvent::Commit, std::nullopt },
    { JobPhase::Ended, JobEvent::EndAttempt, std::nullopt },
    { JobPhase::Ended, JobEvent::End, std::nullopt },
  };
  for (const auto& each : cases) {
    CAPTURE(static_cast<int>(each.phase));
    CAPTURE(static_cast<int>(each.event));
    CHECK(NextJobPhase(each.phase, each.event) == each.next);
  }
}
