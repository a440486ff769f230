#include "LateStarts.h"

namespace amaranthwind::dispatch {

namespace {

/** Well above the seconds that an unanswered request may take to arrive. */
constexpr base::Duration kMaxRequestDelay = std::chrono::seconds(30);

} // namespace

void
LateStarts::OnOrdered(const ledger::WorkerIncarnation& aLife,
                      const job::TaskRun& aRun,
                      base::TimePoint aNow)
{
  this->workers[aLife.id][aRun] = { aLife, aNow, false };
}

void
LateStarts::OnGivenUp(const ledger::WorkerIncarnation& aLife,
                      const job::TaskRun& aRun,
                      base::TimePoint aNow)
{
  this->workers[aLife.id][aRun] = { aLife, aNow, true };
}

std::vector<job::TaskRun>
LateStarts::Take(const ledger::WorkerIncarnation& aLife)
{
  std::vector<job::TaskRun> taken;
  const auto worker = this->workers.find(aLife.id);
  if (worker == this->workers.end()) {
    return taken;
  }
  std::erase_if(worker->second, [&](const auto& aStart) {
    const bool isLate = aStart.second.isGivenUp || aStart.second.life != aLife;
    if (isLate) {
      taken.push_back(aStart.first);
    }
    return isLate;
  });
  return taken;
}

void
LateStarts::ForgetOld(base::TimePoint aNow)
{
  for (auto position = this->workers.begin();
       position != this->workers.end();) {
    const auto current = position++;
    std::erase_if(current->second, [aNow](const auto& aStart) {
      return aStart.second.at + kMaxRequestDelay < aNow;
    });
    if (current->second.empty()) {
      this->workers.erase(current);
    }
  }
}

} // namespace amaranthwind::dispatch
