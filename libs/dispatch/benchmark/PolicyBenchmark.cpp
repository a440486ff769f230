#include "FleetSimulation.h"

#include <cstdlib>
#include <future>
#include <iomanip>
#include <iostream>

// Simulates seeded days of the users' deployments with the dispatcher.
// Usage: dispatch_policy_benchmark [seeds]

int
main(int aCount, char** aArguments)
{
  using namespace amaranthwind::dispatch;
  const int seeds = aCount > 1 ? std::atoi(aArguments[1]) : 20;
  if (seeds <= 0) {
    std::cerr << "usage: dispatch_policy_benchmark [seeds]\n";
    return EXIT_FAILURE;
  }
  std::cout << std::fixed << std::setprecision(3);
  for (const SiteProfile& site : { MakeBancosAndinos(false),
                                   MakeRotaform(false),
                                   MakeBancosAndinos(true),
                                   MakeRotaform(true) }) {
    SimulationResult mean;
    mean.creditByKind.resize(site.kinds.size());
    std::vector<std::future<SimulationResult>> simulations;
    for (int seed = 1; seed <= seeds; ++seed) {
      simulations.push_back(std::async(std::launch::async, [&site, seed] {
        return Simulate(site, static_cast<std::uint64_t>(seed));
      }));
    }
    for (auto& simulation : simulations) {
      const SimulationResult result = simulation.get();
      mean.credit += result.credit / seeds;
      mean.served += result.served / seeds;
      mean.waste += result.waste / seeds;
      mean.stoppedRuns += result.stoppedRuns;
      for (std::size_t kind = 0; kind < site.kinds.size(); ++kind) {
        mean.creditByKind[kind] += result.creditByKind[kind] / seeds;
      }
    }
    std::cout << std::setw(22) << site.name << " credit less waste "
              << mean.credit - mean.waste << " credit " << mean.credit
              << " served " << mean.served << " waste " << mean.waste
              << " stops " << mean.stoppedRuns / seeds << " by kind";
    for (const double credit : mean.creditByKind) {
      std::cout << " " << credit;
    }
    std::cout << std::endl;
  }
  return EXIT_SUCCESS;
}
