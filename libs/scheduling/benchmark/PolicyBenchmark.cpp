#include "Simulation.h"

#include <algorithm>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <vector>

// Compares the scheduler with the baselines on the same seeded workloads.
// Usage: scheduling_policy_benchmark [seeds [scenario]]

namespace {

using namespace amaranthwind::scheduling;

struct Spread
{
  double median = 0;
  double worst = 0; // The maximum; negate values where smaller is worse.
};

Spread
Summarize(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  return { aValues[aValues.size() / 2], aValues.back() };
}

void
Print(std::string_view aName, std::vector<double> aValues, int aDigits)
{
  const Spread spread = Summarize(std::move(aValues));
  std::cout << " " << aName << " " << std::fixed << std::setprecision(aDigits)
            << spread.median << " (" << spread.worst << ")";
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const int seeds = aCount > 1 ? std::atoi(aArguments[1]) : 20;
  const std::pair<Deployment, const char*> deployments[] = {
    { Deployment::Fundacion, "fundacion" },
    { Deployment::Rotaform, "rotaform" },
  };
  const std::pair<Scenario, const char*> scenarios[] = {
    { Scenario::Day, "day" },
    { Scenario::Overload10, "overload-10" },
    { Scenario::Overload30, "overload-30" },
    { Scenario::CancelBurst, "cancel-burst" },
    { Scenario::FailingWorkers, "failing-workers" },
  };
  const char* engines[] = {
    "scheduler", "first-fit-fifo", "best-fit", "strict-priority"
  };
  for (const auto& [deployment, deploymentName] : deployments) {
    for (const auto& [scenario, scenarioName] : scenarios) {
      if (aCount > 2 && std::string_view(aArguments[2]) != scenarioName) {
        continue;
      }
      std::vector<Figures> results[4];
      std::vector<double> loads;
      for (int seed = 1; seed <= seeds; ++seed) {
        const Workload workload =
          MakeWorkload(deployment, scenario, static_cast<std::uint64_t>(seed));
        loads.push_back(workload.offeredLoad);
        for (int engine = 0; engine < 4; ++engine) {
          const auto driven =
            engine == 0 ? MakeEngine()
                        : MakeBaseline(static_cast<Baseline>(engine - 1));
          results[engine].push_back(Simulate(workload, *driven));
        }
      }
      std::cout << "\n" << deploymentName << " " << scenarioName << ":";
      Print("offered load", loads, 2);
      std::cout << "\n";
      for (int engine = 0; engine < 4; ++engine) {
        const auto column = [&](double Figures::*aField) {
          std::vector<double> values;
          for (const Figures& figures : results[engine]) {
            values.push_back(figures.*aField);
          }
          return values;
        };
        std::cout << "  " << std::setw(15) << engines[engine] << ":";
        Print("mean", column(&Figures::meanCompletion), 1);
        Print("large-p99", column(&Figures::p99LargeGang), 0);
        Print("urgent", column(&Figures::smallUrgent), 1);
        Print("unusable", column(&Figures::unusableShare), 3);
        Print("stranded", column(&Figures::stranded), 3);
        Print("util", column(&Figures::utilisation), 3);
        Print("violations", column(&Figures::violations), 0);
        Print("starved", column(&Figures::starved), 0);
        Print("preempted", column(&Figures::preemptions), 0);
        Print("failed", column(&Figures::failedJobs), 0);
        std::cout << "\n";
      }
      // Ratios to the goals for each seed; the largest value is the worst.
      std::vector<double> mean;
      std::vector<double> large;
      std::vector<double> unusable;
      std::vector<double> lostUtilisation;
      for (std::size_t at = 0; at < results[0].size(); ++at) {
        const auto best = [&](double Figures::*aField, bool aIsMost) {
          const double values[] = { results[1][at].*aField,
                                    results[2][at].*aField,
                                    results[3][at].*aField };
          return aIsMost ? *std::max_element(values, values + 3)
                         : *std::min_element(values, values + 3);
        };
        const Figures& ours = results[0][at];
        mean.push_back(ours.meanCompletion / results[1][at].meanCompletion);
        large.push_back(ours.p99LargeGang /
                        best(&Figures::p99LargeGang, false));
        unusable.push_back(ours.unusableShare /
                           std::max(1e-9, results[2][at].unusableShare));
        lostUtilisation.push_back(
          100 * (best(&Figures::utilisation, true) - ours.utilisation));
      }
      std::cout << "  goals:";
      Print("mean/first-fit-fifo (<= 0.70)", mean, 2);
      Print("large-p99/best (<= 1)", large, 2);
      Print("unusable/best-fit (<= 0.5)", unusable, 2);
      Print("points of utilisation lost (<= 2)", lostUtilisation, 1);
      std::cout << std::endl;
    }
  }
}
