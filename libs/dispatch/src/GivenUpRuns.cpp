#include "GivenUpRuns.h"

#include <utility>

namespace amaranthwind::dispatch {

namespace {

/** Well above the seconds that an unanswered request may take to arrive. */
constexpr base::Duration kMaxRequestDelay = std::chrono::seconds(30);

} // namespace

void
GivenUpRuns::Add(const base::TargetId& aWorker,
                 const job::TaskRun& aRun,
                 base::TimePoint aNow)
{
  this->workers[aWorker][aRun] = aNow;
}

std::set<job::TaskRun>
GivenUpRuns::Take(const base::TargetId& aWorker)
{
  std::set<job::TaskRun> runs;
  const auto taken = this->workers.extract(aWorker);
  if (!taken.empty()) {
    for (const auto& [run, givenUpAt] : taken.mapped()) {
      runs.insert(run);
    }
  }
  return runs;
}

void
GivenUpRuns::ForgetOld(base::TimePoint aNow)
{
  for (auto position = this->workers.begin();
       position != this->workers.end();) {
    const auto current = position++;
    std::erase_if(current->second, [aNow](const auto& aRun) {
      return aRun.second + kMaxRequestDelay < aNow;
    });
    if (current->second.empty()) {
      this->workers.erase(current);
    }
  }
}

} // namespace amaranthwind::dispatch
