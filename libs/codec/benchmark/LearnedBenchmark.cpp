#include "amaranthwind/codec/LearnedCodec.h"
#include "amaranthwind/estimation/LearnedRunTimes.h"

#include <malloc.h>

#include <chrono>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <string>

// Measures the memory of a full learner, the time of its parts, and the size of
// the record that passes on what it knows. Usage: learned_benchmark

namespace {

using namespace amaranthwind;
using namespace std::chrono_literals;

constexpr std::uint32_t kWorkers = 775;
constexpr std::uint32_t kTasksPerStep = 64;
constexpr std::uint32_t kAccounts = 150;
constexpr std::uint32_t kSteps = 1000;

std::size_t
HeapBytes()
{
  return mallinfo2().uordblks;
}

double
MicrosecondsSince(std::clock_t aStart, std::uint32_t aCalls)
{
  return 1e6 * static_cast<double>(std::clock() - aStart) / CLOCKS_PER_SEC /
         aCalls;
}

estimation::RunObservation
MakeRun(std::uint32_t aStep, std::uint32_t aTask)
{
  const std::uint32_t worker = (aStep * 53 + aTask * 37) % kWorkers;
  const double slowness = worker % 4 == 0 ? 2.2 : 1.0 + worker % 10 * 0.01;
  estimation::RunObservation run;
  run.workload = {
    base::AccountId("account-" + std::to_string(aStep % kAccounts)),
    base::WorkKindId("kind-of-work-" + std::to_string(aStep % 8))
  };
  run.step = { base::JobId("job-0123456789-" + std::to_string(aStep)), 0, 0 };
  run.worker = base::AgentId("vm-0123456789-" + std::to_string(worker));
  run.estimate = 3s + aStep % 7 * 1s;
  run.stepTasks = kTasksPerStep;
  run.elapsed = std::chrono::duration_cast<base::Duration>(
    std::chrono::duration<double>(run.estimate) * slowness);
  return run;
}

} // namespace

int
main()
{
  const std::size_t before = HeapBytes();
  estimation::LearnedRunTimes learned;
  base::TimePoint now{ 1h };
  const std::clock_t start = std::clock();
  for (std::uint32_t step = 0; step < kSteps; ++step) {
    for (std::uint32_t task = 0; task < kTasksPerStep; ++task) {
      learned.OnCompleted(MakeRun(step, task), now);
    }
    now += 10ms;
  }
  const double added = MicrosecondsSince(start, kSteps * kTasksPerStep);
  constexpr std::uint32_t kFits = 20;
  const std::clock_t fitted = std::clock();
  for (std::uint32_t i = 0; i < kFits; ++i) {
    learned.OnProgress(MakeRun(kSteps - 1, i), now);
    learned.OnTick(now);
  }
  const double fit = MicrosecondsSince(fitted, kFits);
  const std::size_t used = HeapBytes() - before;
  const std::clock_t encoding = std::clock();
  const auto summary = learned.Summarize();
  const std::string record = codec::EncodeLearned(summary);
  const double encode = MicrosecondsSince(encoding, 1);
  const auto passed = codec::DecodeLearned(record);
  if (passed.has_error()) {
    std::cerr << "the record cannot be read\n";
    return EXIT_FAILURE;
  }
  std::cout << std::fixed << std::setprecision(1) << "learner bytes " << used
            << "\nobservation us " << added << "\nfit us " << fit
            << "\nrecord bytes " << record.size() << " of "
            << summary.workers.size() << " workers and "
            << summary.workloads.size() << " workloads, of which "
            << passed.value().workers.size() << " and "
            << passed.value().workloads.size() << " fit\nsummary us " << encode
            << "\n";
  return EXIT_SUCCESS;
}
