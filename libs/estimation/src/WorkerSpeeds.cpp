#include "WorkerSpeeds.h"

#include <boost/math/statistics/univariate_statistics.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace amaranthwind::estimation {

namespace {

/**
 * With these limits the learner keeps below 256 KB, see learned_benchmark:
 * three samples of each of 775 workers.
 */
constexpr std::size_t kMaxSteps = 40;
/** The logarithm of 0 would spread to the speeds of all workers. */
constexpr base::Duration kMinRunTime = std::chrono::milliseconds(1);
constexpr std::size_t kMaxSamplesPerStep = 64;
constexpr std::size_t kMaxWorkers = 800;
/** With fewer workers, the step's own work cannot be told from their speed. */
constexpr std::ptrdiff_t kMinWorkersPerStep = 3;
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
  const auto worker = this->FindOrAdd(aWorker);
  if (!worker) {
    return;
  }
  const auto [found, isNew] = this->samples.try_emplace(aStep);
  if (isNew) {
    this->steps.push_back(aStep);
  }
  const std::chrono::duration<double> runTime = std::max(aRunTime, kMinRunTime);
  ++this->workers[*worker].samples;
  auto& step = found->second;
  if (step.size() >= kMaxSamplesPerStep) {
    this->RemoveSamples(std::span(step).first(1));
    step.erase(step.begin());
  }
  step.push_back(
    { *worker, static_cast<float>(std::log(runTime.count())), aNow });
  if (this->steps.size() > kMaxSteps) {
    const auto oldest = this->samples.find(this->steps.front());
    this->RemoveSamples(oldest->second);
    this->samples.erase(oldest);
    this->steps.pop_front();
  }
  this->hasNewSamples = true;
}

std::optional<std::uint32_t>
WorkerSpeeds::FindOrAdd(const base::AgentId& aWorker)
{
  const auto found = this->indexOf.find(aWorker);
  if (found != this->indexOf.end()) {
    return found->second;
  }
  if (this->indexOf.size() >= kMaxWorkers) {
    return std::nullopt;
  }
  if (this->unused.empty()) {
    this->unused.push_back(static_cast<std::uint32_t>(this->workers.size()));
    this->workers.emplace_back();
  }
  const std::uint32_t index = this->unused.back();
  this->unused.pop_back();
  this->workers[index] = {};
  this->workers[index].entry = this->indexOf.emplace(aWorker, index).first;
  return index;
}

void
WorkerSpeeds::RemoveSamples(std::span<const Sample> aSamples)
{
  for (const Sample& sample : aSamples) {
    Worker& worker = this->workers[sample.worker];
    if (--worker.samples == 0 && !worker.inherited) {
      this->indexOf.erase(worker.entry);
      this->unused.push_back(sample.worker);
    }
  }
}

void
WorkerSpeeds::ForgetInherited()
{
  for (auto entry = this->indexOf.begin(); entry != this->indexOf.end();) {
    Worker& worker = this->workers[entry->second];
    worker.inherited.reset();
    if (worker.samples == 0) {
      this->unused.push_back(entry->second);
      entry = this->indexOf.erase(entry);
    } else {
      ++entry;
    }
  }
  this->inheritedWorkers = 0;
}

void
WorkerSpeeds::Refit(base::TimePoint aNow)
{
  const base::Duration maxAge =
    this->inheritedWorkers == 0 ? kMaxFitAge : kMaxInheritedFitAge;
  const bool isDue = !this->indexOf.empty() && aNow - this->fittedAt >= maxAge;
  if (!std::exchange(this->hasNewSamples, false) && !isDue) {
    return;
  }
  this->fittedAt = aNow;
  const double inheritedWeight = this->InheritedWeight(aNow);
  if (this->inheritedWorkers > 0 && inheritedWeight < kMinInheritedWeight) {
    this->ForgetInherited();
  }
  const Steps usable = this->CollectSteps();
  const std::vector<Pick> picks = this->PickSamples(usable, aNow);
  for (int round = 0; round < kPolishRounds; ++round) {
    this->FitWorkers(usable, picks, inheritedWeight);
    // What is inherited is centred, but it names only unusual workers.
    if (this->inheritedWorkers == 0) {
      this->Centre();
    }
  }
  this->UpdateUnevenness(inheritedWeight);
}

double
WorkerSpeeds::SlownessOf(const base::AgentId& aWorker) const
{
  const auto found = this->indexOf.find(aWorker);
  return found == this->indexOf.end()
           ? 1.0
           : std::exp(
               static_cast<double>(this->workers[found->second].logSlowness));
}

double
WorkerSpeeds::LevelOf(std::span<const Sample> aSamples) const
{
  std::vector<double> values;
  values.reserve(aSamples.size());
  for (const Sample& sample : aSamples) {
    values.push_back(sample.logRunTime -
                     this->workers[sample.worker].logSlowness);
  }
  return MedianOf(std::move(values));
}

WorkerSpeeds::Steps
WorkerSpeeds::CollectSteps() const
{
  Steps usable;
  std::vector<std::uint32_t> distinct;
  for (const auto& [step, list] : this->samples) {
    distinct.clear();
    for (const Sample& sample : list) {
      distinct.push_back(sample.worker);
    }
    std::sort(distinct.begin(), distinct.end());
    const auto end = std::unique(distinct.begin(), distinct.end());
    if (end - distinct.begin() >= kMinWorkersPerStep) {
      usable.emplace_back(list);
    }
  }
  return usable;
}

std::vector<WorkerSpeeds::Pick>
WorkerSpeeds::PickSamples(const Steps& aSteps, base::TimePoint aNow) const
{
  std::vector<Pick> picks;
  std::size_t count = 0;
  for (const auto& list : aSteps) {
    count += list.size();
  }
  picks.reserve(count);
  for (std::size_t i = 0; i < aSteps.size(); ++i) {
    for (std::size_t k = 0; k < aSteps[i].size(); ++k) {
      const Sample& sample = aSteps[i][k];
      const std::chrono::duration<double> age = aNow - sample.at;
      const double runTimes =
        age.count() / std::exp(static_cast<double>(sample.logRunTime));
      picks.push_back(
        { static_cast<std::uint16_t>(i),
          static_cast<std::uint16_t>(k),
          static_cast<float>(std::exp2(-runTimes / kHalfLifeRunTimes)) });
    }
  }
  const auto rank = [&](const Pick& aPick) {
    const Sample& sample = aSteps[aPick.step][aPick.position];
    return std::tuple(
      sample.worker, -sample.at.time_since_epoch(), aPick.step, aPick.position);
  };
  std::sort(
    picks.begin(), picks.end(), [&](const Pick& aLeft, const Pick& aRight) {
      return rank(aLeft) < rank(aRight);
    });
  return picks;
}

void
WorkerSpeeds::FitWorkers(const Steps& aSteps,
                         std::span<const Pick> aPicks,
                         double aInheritedWeight)
{
  std::vector<double> levels;
  levels.reserve(aSteps.size());
  for (const auto& list : aSteps) {
    levels.push_back(this->LevelOf(list));
  }
  for (const auto& [agent, index] : this->indexOf) {
    this->FitWorker(this->workers[index], aSteps, {}, levels, aInheritedWeight);
  }
  const auto workerOf = [&](const Pick& aPick) {
    return aSteps[aPick.step][aPick.position].worker;
  };
  for (std::size_t first = 0; first < aPicks.size();) {
    const std::uint32_t worker = workerOf(aPicks[first]);
    std::size_t end = first;
    while (end < aPicks.size() && workerOf(aPicks[end]) == worker) {
      ++end;
    }
    const std::size_t count = std::min(end - first, kMaxSamplesPerWorker);
    this->FitWorker(this->workers[worker],
                    aSteps,
                    aPicks.subspan(first, count),
                    levels,
                    aInheritedWeight);
    first = end;
  }
}

void
WorkerSpeeds::FitWorker(Worker& aWorker,
                        const Steps& aSteps,
                        std::span<const Pick> aPicks,
                        std::span<const double> aLevels,
                        double aInheritedWeight) const
{
  std::vector<double> values;
  values.reserve(aPicks.size());
  double own = 0;
  for (const Pick& pick : aPicks) {
    values.push_back(aSteps[pick.step][pick.position].logRunTime -
                     aLevels[pick.step]);
    own += pick.weight;
  }
  const double inheritedWeight = aWorker.inherited ? aInheritedWeight : 0;
  // What is inherited takes the place of the prior as long as it counts.
  const double total = own + inheritedWeight +
                       kPriorWeight * (1 - inheritedWeight / kInheritedWeight);
  const double sum =
    (values.empty() ? 0 : MedianOf(std::move(values)) * own) +
    static_cast<double>(aWorker.inherited.value_or(0)) * inheritedWeight;
  aWorker.logSlowness = static_cast<float>(sum / total);
  aWorker.weight = static_cast<float>(own + inheritedWeight);
}

void
WorkerSpeeds::Centre()
{
  std::vector<double> values;
  for (const auto& [agent, index] : this->indexOf) {
    // Workers without samples that count are neither normal nor unusual.
    if (this->workers[index].weight > 0) {
      values.push_back(this->workers[index].logSlowness);
    }
  }
  if (values.empty()) {
    return;
  }
  const auto centre = static_cast<float>(MedianOf(std::move(values)));
  for (const auto& [agent, index] : this->indexOf) {
    if (this->workers[index].weight > 0) {
      this->workers[index].logSlowness -= centre;
    }
  }
}

void
WorkerSpeeds::UpdateUnevenness(double aInheritedWeight)
{
  const bool wasUneven = this->wereUneven && aInheritedWeight >= kKnownWeight;
  std::vector<float> known;
  for (const auto& [agent, index] : this->indexOf) {
    if (this->workers[index].weight >= kKnownWeight) {
      known.push_back(this->workers[index].logSlowness);
    }
  }
  if (known.size() < kMinWorkers) {
    this->areUneven = wasUneven;
    return;
  }
  std::sort(known.begin(), known.end());
  const auto skipped =
    static_cast<std::size_t>(kTail * static_cast<double>(known.size()));
  const float ratio = known[known.size() - 1 - skipped] - known[skipped];
  this->areUneven = wasUneven || ratio >= std::log(kUnevenRatio);
}

double
WorkerSpeeds::InheritedWeight(base::TimePoint aNow) const
{
  const std::chrono::duration<double> age = aNow - this->inheritedAt;
  return this->inheritedWorkers == 0
           ? 0
           : kInheritedWeight *
               std::exp2(-age.count() / kInheritedHalfLifeSeconds);
}

std::vector<WorkerSummary>
WorkerSpeeds::Summarize() const
{
  std::vector<WorkerSummary> unusual;
  for (const auto& [agent, index] : this->indexOf) {
    const Worker& worker = this->workers[index];
    const double logSlowness = worker.logSlowness;
    if (worker.weight >= kKnownWeight &&
        std::abs(logSlowness) >= std::log(kNormalRatio)) {
      unusual.push_back({ agent, std::exp(logSlowness) });
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
    if (const auto index = this->FindOrAdd(each.worker)) {
      this->workers[*index].inherited = static_cast<float>(
        std::log(std::clamp(each.slowness, 1 / kMaxRatio, kMaxRatio)));
    }
  }
  this->inheritedWorkers = this->indexOf.size();
  this->inheritedAt = aNow;
  this->fittedAt = aNow;
  this->wereUneven = aAreUneven && this->inheritedWorkers > 0;
  this->FitWorkers({}, {}, kInheritedWeight);
  this->areUneven = this->wereUneven;
}

} // namespace amaranthwind::estimation
