#include "Simulation.h"

#include <algorithm>
#include <cmath>

namespace amaranthwind::scheduling {
namespace {

using fleet::Adjacency;
using fleet::Shape;
using Minutes = std::chrono::duration<double, std::ratio<60>>;

/** A kind of work and its arrivals on an ordinary day. */
struct Kind
{
  std::string_view name;
  std::uint32_t urgency;
  /** Offered load as a fraction of the fleet's capacity. */
  double load;
  /** Median of the log-normally distributed run times. */
  double medianMinutes;
  /**
   * Fraction of the jobs that are preemptible: they can be checkpointed or
   * stopped.
   */
  double preemptible;
  std::uint32_t maxRuns;
  std::vector<Shape> shapes;
};

Shape
MakeShape(std::uint32_t aMembers,
          std::uint32_t aAccelerators,
          Adjacency aAdjacency)
{
  return { aMembers, { aAccelerators, aAccelerators, 4096 }, aAdjacency };
}

std::vector<Kind>
KindsOf(Deployment aDeployment)
{
  if (aDeployment == Deployment::Fundacion) {
    return {
      { "scoring",
        1,
        0.34,
        50,
        0.5,
        6,
        { MakeShape(2, 8, Adjacency::SameRack),
          MakeShape(3, 8, Adjacency::SameRack) } },
      { "stand-plan",
        0,
        0.06,
        3,
        1,
        6,
        { MakeShape(1, 1, Adjacency::SameZone) } },
      { "tagging",
        2,
        0.45,
        40,
        1,
        6,
        { MakeShape(1, 1, Adjacency::SameZone),
          MakeShape(1, 2, Adjacency::SameZone),
          MakeShape(2, 2, Adjacency::SameWorker) } },
    };
  }
  return {
    { "simulation",
      1,
      0.45,
      70,
      0.5,
      6,
      { MakeShape(4, 4, Adjacency::SameZone),
        MakeShape(3, 8, Adjacency::SameRack),
        MakeShape(2, 8, Adjacency::SameRack) } },
    { "quote-check",
      0,
      0.05,
      2,
      1,
      6,
      { MakeShape(1, 1, Adjacency::SameZone) } },
    { "thickness-study",
      2,
      0.35,
      25,
      1,
      6,
      { MakeShape(1, 2, Adjacency::SameZone),
        MakeShape(1, 3, Adjacency::SameZone),
        MakeShape(2, 1, Adjacency::SameRack) } },
  };
}

/**
 * Standard deviation of the logarithm of the run times. The mean of a
 * log-normal distribution is exp(sigma^2 / 2) times its median.
 */
constexpr double kSigma = 0.6;

} // namespace

Workload
MakeWorkload(Deployment aDeployment, Scenario aScenario, std::uint64_t aSeed)
{
  base::RandomEngine random(aSeed * 1000 +
                            static_cast<std::uint64_t>(aScenario) * 10 +
                            static_cast<std::uint64_t>(aDeployment));
  const auto uniform = [&random](double aLow, double aHigh) {
    return std::uniform_real_distribution<double>(aLow, aHigh)(random);
  };
  Workload workload;
  // Two accounts are large; a third of the fleet is guaranteed.
  const Shape largestShape = KindsOf(aDeployment).front().shapes.front();
  const char* names[] = { "large-1", "large-2", "small-1", "small-2" };
  const double shares[] = { 0.4, 0.3, 0.2, 0.1 };
  for (std::size_t at = 0; at < 4; ++at) {
    policy::Account account;
    account.id = base::AccountId(names[at]);
    account.guarantees.push_back(
      at < 2 ? policy::Guarantee{ base::ZoneId("z"), 1, largestShape }
             : policy::Guarantee{
                 base::ZoneId("z"), 2, MakeShape(1, 2, Adjacency::SameZone) });
    workload.accounts.push_back(account);
  }
  const double capacity = kWorkers * kAccelerators * Minutes(kWindow).count();
  // Nine of the eleven workers are not failing.
  const double usable = aScenario == Scenario::FailingWorkers ? 9.0 / 11 : 1;
  double offered = 0;
  for (const Kind& kind : KindsOf(aDeployment)) {
    double meanWork = 0;
    for (const Shape& shape : kind.shapes) {
      meanWork += static_cast<double>(shape.TotalAccelerators()) /
                  static_cast<double>(kind.shapes.size());
    }
    meanWork *= kind.medianMinutes * std::exp(kSigma * kSigma / 2);
    const double gap =
      Minutes(kWindow).count() * meanWork / (kind.load * capacity * usable);
    const bool isLeastUrgent = kind.urgency == 2;
    double at = 0;
    while (true) {
      // The overload lasts three hours in the middle of the day.
      const bool isPeak = at >= 480 && at < 660;
      const double factor =
        isLeastUrgent && isPeak && aScenario == Scenario::Overload10   ? 10
        : isLeastUrgent && isPeak && aScenario == Scenario::Overload30 ? 30
                                                                       : 1;
      at += -std::log(uniform(1e-12, 1)) * gap / factor;
      if (at >= Minutes(kWindow).count()) {
        break;
      }
      SimulatedJob job;
      job.urgency = kind.urgency;
      job.arrival = std::chrono::duration_cast<base::Duration>(Minutes(at));
      const double run =
        kind.medianMinutes *
        std::exp(std::normal_distribution<double>(0, kSigma)(random));
      job.runTime = std::chrono::duration_cast<base::Duration>(Minutes(run));
      double pick = uniform(0, 1);
      std::size_t account = 0;
      while (account < 3 && pick >= shares[account]) {
        pick -= shares[account++];
      }
      job.spec.account = base::AccountId(names[account]);
      job.spec.kind = base::WorkKindId(kind.name);
      job.spec.zone = base::ZoneId("z");
      job.spec.shape = kind.shapes[static_cast<std::size_t>(
        uniform(0, static_cast<double>(kind.shapes.size()) - 1e-9))];
      job.spec.declaredRunTime = std::chrono::duration_cast<base::Duration>(
        job.runTime * std::exp(uniform(-std::log(10), std::log(10))));
      job.spec.maxRuns = kind.maxRuns;
      job.spec.isPreemptible = uniform(0, 1) < kind.preemptible;
      if (aScenario == Scenario::CancelBurst && at >= 540 && at < 660 &&
          uniform(0, 1) < 0.7) {
        job.cancel = std::chrono::duration_cast<base::Duration>(
          Minutes(660 + uniform(0, 1)));
      }
      job.isFaulty =
        aScenario == Scenario::FailingWorkers && uniform(0, 1) < 0.01;
      offered += run * static_cast<double>(job.spec.shape.TotalAccelerators());
      workload.jobs.push_back(std::move(job));
    }
  }
  std::stable_sort(workload.jobs.begin(),
                   workload.jobs.end(),
                   [](const SimulatedJob& aLeft, const SimulatedJob& aRight) {
                     return aLeft.arrival < aRight.arrival;
                   });
  for (std::size_t at = 0; at < workload.jobs.size(); ++at) {
    workload.jobs[at].spec.id = base::JobId(std::to_string(at));
  }
  if (aScenario == Scenario::FailingWorkers) {
    workload.failingWorkers = { static_cast<std::uint32_t>(uniform(0, 5)),
                                static_cast<std::uint32_t>(uniform(5, 11)) };
  }
  workload.offeredLoad = offered / capacity;
  return workload;
}

} // namespace amaranthwind::scheduling
