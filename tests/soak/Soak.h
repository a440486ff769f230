#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace amaranthwind::soak {

struct SoakOptions
{
  std::uint64_t seed = 1;
  std::size_t schedulers = 3;
  std::size_t workers = 4;
  /** How long faults are injected; all jobs have to end afterwards. */
  std::chrono::seconds duration{ 10 };
  /** Disturb schedulers only, and lose the power of whole VMs. */
  bool sparesAgents = false;
};

struct SoakReport
{
  std::size_t jobs = 0;
  std::size_t accepted = 0;
  /** Jobs whose cancellation was answered with 410. */
  std::size_t cancelledAsUnknown = 0;
  std::size_t taskStarts = 0;
  std::vector<std::string> faults;
  /** Violated invariants; empty if the run passed. */
  std::vector<std::string> violations;
  /** Folder of the processes' logs, which is kept only after a violation. */
  std::string logFolder;
};

/** Runs a deployment of real processes under load and faults, and checks it. */
SoakReport
RunSoak(const SoakOptions& aOptions);

} // namespace amaranthwind::soak
