#include "soak/Soak.h"

#include <boost/json.hpp>
#include <docopt/docopt.h>

#include <iostream>

namespace {

constexpr char kUsage[] =
  R"(Runs deployments of real processes on loopback under random faults and
checks the guarantees to callers. Prints one JSON line per seed.

Usage:
  fault_soak [--seed=N] [--runs=N] [--seconds=N] [--schedulers=N] [--workers=N]
             [--spare-agents]
  fault_soak --help

Options:
  --seed=N        First seed [default: 1].
  --runs=N        Number of consecutive seeds to run [default: 1].
  --seconds=N     Duration of fault injection in each run [default: 10].
  --schedulers=N  Number of schedulers [default: 3].
  --workers=N     Number of workers, each with its own agent [default: 4].
  --spare-agents  Disturb schedulers only, and lose the power of whole VMs. The
                  ends that workers have listed to their agents then count.

Exit codes: 0 no invariant was violated, 1 at least one was violated.
)";

} // namespace

int
main(int aCount, char** aArguments)
{
  using namespace amaranthwind::soak;
  namespace json = boost::json;
  auto arguments =
    docopt::docopt(kUsage, { aArguments + 1, aArguments + aCount });
  const auto number = [&](const char* aName) {
    return static_cast<std::uint64_t>(arguments[aName].asLong());
  };
  bool hasNoViolations = true;
  for (std::uint64_t i = 0; i < number("--runs"); ++i) {
    SoakOptions options;
    options.seed = number("--seed") + i;
    options.schedulers = number("--schedulers");
    options.workers = number("--workers");
    options.sparesAgents = arguments["--spare-agents"].asBool();
    options.duration = std::chrono::seconds(number("--seconds"));
    const SoakReport report = RunSoak(options);
    std::cout << json::serialize(json::object{
                   { "seed", options.seed },
                   { "jobs", report.jobs },
                   { "accepted", report.accepted },
                   { "cancelledAsUnknown", report.cancelledAsUnknown },
                   { "starts", report.taskStarts },
                   { "faults", json::value_from(report.faults) },
                   { "broken", json::value_from(report.violations) },
                   { "logs", report.logFolder } })
              << std::endl;
    hasNoViolations = hasNoViolations && report.violations.empty();
  }
  return hasNoViolations ? 0 : 1;
}
