#include "WorkerSpeeds.h"

#include <boost/math/statistics/univariate_statistics.hpp>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace amaranthwind::estimation {

namespace {

constexpr std::size_t kMaxSteps = 96;
/** The logarithm of 0 would spread to the speeds of all workers. */
constexpr base::Duration kMinRunTime = std::chrono::milliseconds(1);
constexpr std::size_t kMaxSamplesPerStep = 64;
/** With fewer workers, the step's own work cannot be told from their speed. */
constexpr std::size_t kMinWorkersPerStep = 3;
/** Newest samples of a worker that count, so that it can change its speed. */
constexpr std::size_t kMaxSamplesPerWorker = 9;
/** The weight of a sample halves in this multiple of its run time. */
constexpr double kHalfLifeRunTimes = 10;
/** Weight of the assumption that a worker is normal. */
constexpr double kPriorWeight = 1.0;
constexpr int kPolishRounds = 3;
/** Speeds matter from this ratio of slow to fast workers on. */
constexpr double kUnevenRatio = 1.3;
/** Part of the workers that is left out at each end of that ratio. */
constexpr double kTail = 0.1;
constexpr std::size_t kMinWorkers = 4;
/** Weight of evidence from which a worker's speed counts as known. */
constexpr double kKnownWeight = 1.5;
/**
 * Evidence decays also while there are no new samples, but so late that the
 * speeds outlast a series of gangs, which give none.
 */
constexpr base::Duration kMaxFitAge = std::chrono::minutes(2);
constexpr base::Duration kMaxInheritedFitAge = std::chrono::seconds(5);
/** Weight of what a predecessor knew of a worker, and how fast it decays. */
constexpr double kInheritedWeight = 4;
constexpr double kInheritedHalfLifeSeconds = 30;
/** Below this weight it is dropped. */
constexpr double kMinInheritedWeight = 0.1;
/** A successor need not know workers that are as fast as others up to this. */
constexpr double kNormalRatio = 1.1;
/** Limit of a restored slowness in either direction. */
constexpr double kMaxRatio = 100;

double
MedianOf(std::vector<double> aValues)
{
  return boost::math::statistics::median(aValues.begin(), aValues.end());
}

} // namespace

void
WorkerSpeeds::Add(const job::StepId& aStep,
                  const base::AgentId& aWorker,
                  base::Duration aRunTime,
                  base::TimePoint aNow)
{
  const base::Duration runTime = std::max(aRunTime, kMinRunTime);
  const auto [found, isNew] = this->samples.try_emplace(aStep);
  if (isNew) {
    this->steps.push_back(aStep);
  }
  auto& step = found->second;
  if (step.size() >= kMaxSamplesPerStep) {
    step.erase(step.begin());
  }
  step.push_back({ aWorker,
                   std::log(std::chrono::duration<double>(runTime).count()),
                   runTime,
                   aNow });
  if (this->steps.size() > kMaxSteps) {
    this->samples.erase(this->steps.front());
    this->steps.pop_front();
  }
  this->hasNewSamples = true;
}

void
WorkerSpeeds::Refit(base::TimePoint aNow)
{
  const base::Duration maxAge =
    this->inherited.empty() ? kMaxFitAge : kMaxInheritedFitAge;
  const bool isDue = !this->workers.empty() && aNow - this->fittedAt >= maxAge;
  if (!std::exchange(this->hasNewSamples, false) && !isDue) {
    return;
  }
  this->fittedAt = aNow;
  const double inheritedWeight = this->InheritedWeight(aNow);
  if (inheritedWeight < kMinInheritedWeight) {
    this->inherited.clear();
  }
  for (int round = 0; round < kPolishRounds; ++round) {
    this->FitWorkers(this->CollectResiduals(aNow), inheritedWeight);
    // What is inherited is centred, but it names only unusual workers.
    if (this->inherited.empty()) {
      this->Centre();
    }
  }
  this->UpdateUnevenness(inheritedWeight);
}

double
WorkerSpeeds::SlownessOf(const base::AgentId& aWorker) const
{
  const auto found = this->workers.find(aWorker);
  return found == this->workers.end() ? 1.0
                                      : std::exp(found->second.logSlowness);
}

double
WorkerSpeeds::LevelOf(std::span<const Sample> aSamples) const
{
  std::vector<double> values;
  values.reserve(aSamples.size());
  for (const Sample& sample : aSamples) {
    const auto worker = this->workers.find(sample.worker);
    values.push_back(sample.logRunTime - (worker == this->workers.end()
                                            ? 0
                                            : worker->second.logSlowness));
  }
  return MedianOf(std::move(values));
}

WorkerSpeeds::Residuals
WorkerSpeeds::CollectResiduals(base::TimePoint aNow) const
{
  Residuals residuals;
  for (const auto& [step, list] : this->samples) {
    std::set<base::AgentId> distinct;
    for (const Sample& sample : list) {
      distinct.insert(sample.worker);
    }
    if (distinct.size() < kMinWorkersPerStep) {
      continue;
    }
    const double level = this->LevelOf(list);
    for (const Sample& sample : list) {
      const double age = std::chrono::duration<double>(aNow - sample.at) /
                         std::chrono::duration<double>(sample.runTime);
      residuals[sample.worker].push_back({ sample.logRunTime - level,
                                           std::exp2(-age / kHalfLifeRunTimes),
                                           sample.at });
    }
  }
  return residuals;
}

void
WorkerSpeeds::FitWorkers(Residuals aResiduals, double aInheritedWeight)
{
  this->workers.clear();
  for (const auto& [agent, logSlowness] : this->inherited) {
    this->workers[agent] = { logSlowness * aInheritedWeight / kInheritedWeight,
                             aInheritedWeight };
  }
  for (auto& [agent, list] : aResiduals) {
    const std::size_t count = std::min(list.size(), kMaxSamplesPerWorker);
    std::partial_sort(list.begin(),
                      list.begin() + static_cast<std::ptrdiff_t>(count),
                      list.end(),
                      [](const Residual& aLeft, const Residual& aRight) {
                        return aLeft.at > aRight.at;
                      });
    list.resize(count);
    std::vector<double> values;
    Worker& worker = this->workers[agent];
    for (const Residual& residual : list) {
      values.push_back(residual.value);
      worker.weight += residual.weight;
    }
    const auto known = this->inherited.find(agent);
    if (known == this->inherited.end()) {
      worker.logSlowness = MedianOf(std::move(values)) * worker.weight /
                           (worker.weight + kPriorWeight);
      continue;
    }
    // What is inherited takes the place of the prior as long as it counts.
    const double own = worker.weight - aInheritedWeight;
    worker.logSlowness =
      (MedianOf(std::move(values)) * own + known->second * aInheritedWeight) /
      (worker.weight +
       kPriorWeight * (1 - aInheritedWeight / kInheritedWeight));
  }
}

void
WorkerSpeeds::Centre()
{
  if (this->workers.empty()) {
    return;
  }
  std::vector<double> values;
  for (const auto& [agent, worker] : this->workers) {
    values.push_back(worker.logSlowness);
  }
  const double centre = MedianOf(std::move(values));
  for (auto& [agent, worker] : this->workers) {
    worker.logSlowness -= centre;
  }
}

void
WorkerSpeeds::UpdateUnevenness(double aInheritedWeight)
{
  const bool wasUneven = this->wereUneven && aInheritedWeight >= kKnownWeight;
  std::vector<double> known;
  for (const auto& [agent, worker] : this->workers) {
    if (worker.weight >= kKnownWeight) {
      known.push_back(worker.logSlowness);
    }
  }
  if (known.size() < kMinWorkers) {
    this->areUneven = wasUneven;
    return;
  }
  std::sort(known.begin(), known.end());
  const auto skipped =
    static_cast<std::size_t>(kTail * static_cast<double>(known.size()));
  const double ratio = known[known.size() - 1 - skipped] - known[skipped];
  this->areUneven = wasUneven || ratio >= std::log(kUnevenRatio);
}

double
WorkerSpeeds::InheritedWeight(base::TimePoint aNow) const
{
  const std::chrono::duration<double> age = aNow - this->inheritedAt;
  return this->inherited.empty()
           ? 0
           : kInheritedWeight *
               std::exp2(-age.count() / kInheritedHalfLifeSeconds);
}

std::vector<WorkerSummary>
WorkerSpeeds::Summarize() const
{
  std::vector<WorkerSummary> unusual;
  for (const auto& [agent, worker] : this->workers) {
    if (worker.weight >= kKnownWeight &&
        std::abs(worker.logSlowness) >= std::log(kNormalRatio)) {
      unusual.push_back({ agent, std::exp(worker.logSlowness) });
    }
  }
  std::stable_sort(unusual.begin(),
                   unusual.end(),
                   [](const WorkerSummary& aLeft, const WorkerSummary& aRight) {
                     return std::abs(std::log(aLeft.slowness)) >
                            std::abs(std::log(aRight.slowness));
                   });
  if (unusual.size() > kMaxSummaryWorkers) {
    unusual.resize(kMaxSummaryWorkers);
  }
  return unusual;
}

void
WorkerSpeeds::Restore(std::span<const WorkerSummary> aWorkers,
                      bool aAreUneven,
                      base::TimePoint aNow)
{
  for (const WorkerSummary& each :
       aWorkers.first(std::min(aWorkers.size(), kMaxSummaryWorkers))) {
    this->inherited[each.worker] =
      std::log(std::clamp(each.slowness, 1 / kMaxRatio, kMaxRatio));
  }
  this->inheritedAt = aNow;
  this->fittedAt = aNow;
  this->wereUneven = aAreUneven && !this->inherited.empty();
  this->FitWorkers({}, kInheritedWeight);
  this->areUneven = this->wereUneven;
}

} // namespace amaranthwind::estimation
