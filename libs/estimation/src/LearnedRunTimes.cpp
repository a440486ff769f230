#include "amaranthwind/estimation/LearnedRunTimes.h"

#include "NormalDistribution.h"
#include "RunTimeRegression.h"
#include "WorkerSpeeds.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

namespace amaranthwind::estimation {

namespace {

/** Spread of run times around the callers' estimates before any run ended. */
constexpr double kPriorSpread = 0.5;
/** Limits of what is kept by kind of work, and by kind and account. */
constexpr std::size_t kMaxKinds = 64;
constexpr std::size_t kMaxWorkloads = 256;
/** All tasks of a step together count as at most this many observations. */
constexpr double kMaxStepWeight = 4;
/** Weight of an interrupted run: the time that it lacked is not known. */
constexpr double kCensoredWeight = 0.5;

double
LogSeconds(base::Duration aDuration)
{
  constexpr base::Duration kMin = std::chrono::milliseconds(1);
  return std::log(
    std::chrono::duration<double>(std::max(aDuration, kMin)).count());
}

/** Expected y of an observation that is known to be above aBound. */
double
ExpectedAbove(double aBound, double aMean, double aSpread)
{
  const Normal normal;
  const double z = (aBound - aMean) / aSpread;
  const double tail = boost::math::cdf(boost::math::complement(normal, z));
  constexpr double kMinTail = 1e-9;
  return tail < kMinTail ? aBound
                         : aMean + aSpread * boost::math::pdf(normal, z) / tail;
}

double
WeightOf(const RunObservation& aRun)
{
  return std::min(1.0, kMaxStepWeight / std::max(aRun.stepTasks, 1U));
}

bool
HasEstimate(const RunObservation& aRun)
{
  return aRun.estimate > base::Duration::zero();
}

} // namespace

struct LearnedRunTimes::Impl
{
  /** Empty if there is neither an estimate nor evidence. */
  std::optional<RegressionLine> LineOf(const WorkloadKey& aWorkload,
                                       bool aHasEstimate) const
  {
    RegressionLine line;
    line.spread = kPriorSpread;
    bool isKnown = aHasEstimate;
    if (const auto kind = this->kinds.find(aWorkload.kind);
        kind != this->kinds.end()) {
      line = kind->second.Fit(line);
      isKnown = true;
    }
    if (const auto own = this->workloads.find(aWorkload);
        own != this->workloads.end()) {
      line = own->second.Fit(line);
    }
    return isKnown ? std::optional(line) : std::nullopt;
  }

  void Add(const RunObservation& aRun, double aLogRunTime, double aWeight)
  {
    if (this->kinds.size() < kMaxKinds ||
        this->kinds.contains(aRun.workload.kind)) {
      RunTimeRegression& kind = this->kinds[aRun.workload.kind];
      kind.Add(this->XOf(aRun, kind, aLogRunTime), aLogRunTime, aWeight);
    }
    if (this->workloads.size() < kMaxWorkloads ||
        this->workloads.contains(aRun.workload)) {
      RunTimeRegression& own = this->workloads[aRun.workload];
      own.Add(this->XOf(aRun, own, aLogRunTime), aLogRunTime, aWeight);
    }
  }

  /** A run without an estimate counts as one with the usual estimate. */
  static double XOf(const RunObservation& aRun,
                    const RunTimeRegression& aRegression,
                    double aLogRunTime)
  {
    if (HasEstimate(aRun)) {
      return LogSeconds(aRun.estimate);
    }
    return aRegression.Weight() > 0 ? aRegression.MeanX() : aLogRunTime;
  }

  /** Logarithm of the time on a worker of normal speed. */
  double NormalLog(const RunObservation& aRun) const
  {
    const double slowness =
      aRun.isGangMember ? 1.0 : this->speeds.SlownessOf(aRun.worker);
    return LogSeconds(aRun.elapsed) - std::log(aRun.slowdown * slowness);
  }

  std::map<base::WorkKindId, RunTimeRegression> kinds;
  std::map<WorkloadKey, RunTimeRegression> workloads;
  WorkerSpeeds speeds;
};

LearnedRunTimes::LearnedRunTimes()
  : impl(std::make_unique<Impl>())
{
}

LearnedRunTimes::~LearnedRunTimes() = default;

std::optional<RunTimePrediction>
LearnedRunTimes::Predict(const WorkloadKey& aWorkload,
                         base::Duration aEstimate) const
{
  const bool hasEstimate = aEstimate > base::Duration::zero();
  const auto line = this->impl->LineOf(aWorkload, hasEstimate);
  if (!line) {
    return std::nullopt;
  }
  // A longer time would not fit base::Duration; the prediction has a limit.
  constexpr double kMaxSeconds = 1e9;
  const double median = std::min(
    kMaxSeconds,
    std::exp(hasEstimate ? line->At(LogSeconds(aEstimate)) : line->level));
  return RunTimePrediction(std::chrono::duration_cast<base::Duration>(
                             std::chrono::duration<double>(median)),
                           line->spread);
}

double
LearnedRunTimes::SlownessOf(const base::AgentId& aWorker) const
{
  return this->impl->speeds.SlownessOf(aWorker);
}

bool
LearnedRunTimes::HasUnevenWorkers() const
{
  return this->impl->speeds.AreUneven();
}

void
LearnedRunTimes::OnCompleted(const RunObservation& aRun, base::TimePoint aNow)
{
  if (aRun.elapsed <= base::Duration::zero()) {
    return;
  }
  this->impl->Add(aRun, this->impl->NormalLog(aRun), WeightOf(aRun));
  this->OnProgress(aRun, aNow);
}

void
LearnedRunTimes::OnInterrupted(const RunObservation& aRun, base::TimePoint)
{
  const auto line = this->impl->LineOf(aRun.workload, HasEstimate(aRun));
  if (!line || aRun.elapsed <= base::Duration::zero()) {
    return;
  }
  const double mean =
    HasEstimate(aRun) ? line->At(LogSeconds(aRun.estimate)) : line->level;
  const double bound = this->impl->NormalLog(aRun);
  if (bound > mean) {
    this->impl->Add(aRun,
                    ExpectedAbove(bound, mean, line->spread),
                    kCensoredWeight * WeightOf(aRun));
  }
}

void
LearnedRunTimes::OnProgress(const RunObservation& aProjected,
                            base::TimePoint aNow)
{
  if (!aProjected.isGangMember && aProjected.stepTasks > 1 &&
      aProjected.elapsed > base::Duration::zero()) {
    this->impl->speeds.Add(aProjected.step,
                           aProjected.worker,
                           std::chrono::duration_cast<base::Duration>(
                             std::chrono::duration<double>(aProjected.elapsed) /
                             aProjected.slowdown),
                           aNow);
  }
}

void
LearnedRunTimes::OnTick(base::TimePoint aNow)
{
  this->impl->speeds.Refit(aNow);
}

LearnedSummary
LearnedRunTimes::Summarize() const
{
  LearnedSummary summary;
  summary.hasUnevenWorkers = this->impl->speeds.AreUneven();
  summary.workers = this->impl->speeds.Summarize();
  auto& list = summary.workloads;
  for (const auto& [kind, regression] : this->impl->kinds) {
    list.push_back(regression.Summarize({ base::AccountId(), kind }));
  }
  for (const auto& [workload, regression] : this->impl->workloads) {
    // A workload without an account says the same as its kind.
    if (!workload.account.IsEmpty()) {
      list.push_back(regression.Summarize(workload));
    }
  }
  std::stable_sort(
    list.begin(),
    list.end(),
    [](const WorkloadSummary& aLeft, const WorkloadSummary& aRight) {
      const auto rank = [](const WorkloadSummary& aEach) {
        return std::tuple(!aEach.workload.account.IsEmpty(), -aEach.weight);
      };
      return rank(aLeft) < rank(aRight);
    });
  if (list.size() > kMaxSummaryWorkloads) {
    list.resize(kMaxSummaryWorkloads);
  }
  return summary;
}

void
LearnedRunTimes::Restore(const LearnedSummary& aSummary, base::TimePoint aNow)
{
  for (const WorkloadSummary& each : aSummary.workloads) {
    if (!each.workload.account.IsEmpty()) {
      if (this->impl->workloads.size() < kMaxWorkloads) {
        this->impl->workloads[each.workload].Restore(each);
      }
    } else if (this->impl->kinds.size() < kMaxKinds) {
      this->impl->kinds[each.workload.kind].Restore(each);
    }
  }
  this->impl->speeds.Restore(aSummary.workers, aSummary.hasUnevenWorkers, aNow);
}

} // namespace amaranthwind::estimation
