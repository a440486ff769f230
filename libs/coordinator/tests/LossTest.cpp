#include "OneStepJob.h"
#include "SimulatedCell.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <iostream>
#include <random>

using namespace amaranthwind;
using namespace amaranthwind::coordinator;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kEntries = 3;
constexpr std::uint32_t kVms = 6;
constexpr base::Duration kFaultTime = 25s;
/** After the last fault; longer than the grants of earlier coordinators. */
constexpr base::Duration kQuietTime = 70s;

std::uint64_t
ReadVariable(const char* aName, std::uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

job::WorkflowSpec
MakeJob(std::uint32_t aNumber, std::uint64_t aKind)
{
  job::WorkflowSpec spec =
    testing::MakeOneStepJob("job-" + std::to_string(aNumber), 3, 2s);
  job::StepSpec& first = spec.steps[0];
  first.need.milliCores = 8000;
  first.isGang = aKind == 1;
  if (aKind == 2) {
    job::StepSpec second = first;
    second.dependsOn = { 0 };
    spec.steps.push_back(second);
  }
  return spec;
}

/** Kinds that AMARANTHWIND_LOSS_WITHOUT, a bit mask, leaves out are missing. */
std::vector<Fault>
MakeFaults(std::uint64_t aSeed, std::size_t aCount)
{
  const std::uint64_t without = ReadVariable("AMARANTHWIND_LOSS_WITHOUT", 0);
  std::mt19937_64 random(aSeed);
  std::vector<Fault> faults;
  for (std::size_t i = 0; i < aCount; ++i) {
    Fault fault;
    fault.kind = static_cast<FaultKind>(random() % kFaultKinds);
    fault.trigger = static_cast<FaultTrigger>(random() % kFaultTriggers);
    fault.at = 5s + std::chrono::milliseconds(random() % 18'000);
    fault.length =
      200ms + std::chrono::milliseconds(random() % 2 == 0 ? random() % 2000
                                                          : random() % 8000);
    fault.targets = static_cast<std::uint32_t>(random());
    if (random() % 3 == 0) {
      fault.targets = 1U << (random() % kVms);
    }
    fault.seed = random();
    if (((without >> static_cast<unsigned>(fault.kind)) & 1U) == 0) {
      faults.push_back(fault);
    }
  }
  return faults;
}

SimulatedCell::Options
MakeOptions()
{
  SimulatedCell::Options options;
  options.entries = kEntries;
  options.workers = kVms;
  options.taskTime = 2s;
  options.appendTime = 10ms;
  options.appendsInTurn = true;
  options.stopTime = 200ms;
  options.repeatsRegistrations = true;
  options.hasSlowClocks = true;
  return options;
}

/** Submits the jobs of the seed and returns what went wrong with them. */
std::vector<std::string>
PlayJobs(SimulatedCell& aCell, std::uint64_t aSeed)
{
  aCell.Run(4s);
  std::mt19937_64 random(aSeed + 1);
  constexpr std::uint32_t kJobs = 10;
  for (std::uint32_t i = 0; i < kJobs; ++i) {
    aCell.SubmitUntilAccepted(MakeJob(i, random() % 3));
    aCell.Run(std::chrono::milliseconds(1000 + random() % 2000));
  }
  aCell.Run(kFaultTime + kQuietTime);
  std::vector<std::string> problems = aCell.Violations();
  for (const auto& job : aCell.Unfinished()) {
    problems.push_back("unfinished " + job);
  }
  return problems;
}

std::vector<std::string>
Play(std::uint64_t aSeed,
     const std::vector<Fault>& aFaults,
     const std::function<void(const std::string&)>& aTrace = {})
{
  SimulatedCell::Options options = MakeOptions();
  options.trace = aTrace;
  SimulatedCell cell(options);
  for (const Fault& fault : aFaults) {
    cell.Inject(fault);
  }
  return PlayJobs(cell, aSeed);
}

/**
 * As Play(), with evacuations of both zones. Requests to workers are not
 * delayed: whatever the agents do, a late one would start tasks after the
 * limit.
 */
std::vector<std::string>
PlayEvacuations(std::uint64_t aSeed,
                const std::vector<Fault>& aFaults,
                const std::function<void(const std::string&)>& aTrace)
{
  SimulatedCell::Options options = MakeOptions();
  options.evacuationLimit = 5s;
  options.trace = aTrace;
  SimulatedCell cell(options);
  for (const Fault& fault : aFaults) {
    if (fault.kind != FaultKind::CutAgentsFromWorkers &&
        fault.kind != FaultKind::DisturbWorkerCalls) {
      cell.Inject(fault);
    }
  }
  constexpr int kEvacuations = 4;
  std::mt19937_64 random(aSeed + 2);
  for (int i = 0; i < kEvacuations; ++i) {
    const auto zone = static_cast<std::uint32_t>(random() % 2);
    const auto at = 4s + std::chrono::milliseconds(random() % 18'000);
    const bool isShort = random() % 4 == 0;
    const auto length = std::chrono::milliseconds(
      isShort ? random() % 1000 : 5000 + random() % 10'000);
    cell.Evacuate(SimulatedCell::ZoneOf(zone), at, length);
  }
  return PlayJobs(cell, aSeed);
}

/** Leaves out faults as long as the run still fails in the same way. */
std::vector<Fault>
Shorten(std::uint64_t aSeed, std::vector<Fault> aFaults)
{
  for (std::size_t i = 0; i < aFaults.size();) {
    std::vector<Fault> fewer = aFaults;
    fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(i));
    if (Play(aSeed, fewer).empty()) {
      ++i;
    } else {
      aFaults = std::move(fewer);
      i = 0;
    }
  }
  return aFaults;
}

void
Print(const std::vector<Fault>& aFaults)
{
  for (const Fault& fault : aFaults) {
    std::cout << "  fault " << static_cast<unsigned>(fault.kind) << " trigger "
              << static_cast<unsigned>(fault.trigger) << " at "
              << fault.at / 1ms << " ms for " << fault.length / 1ms
              << " ms targets " << (fault.targets & 0x3f) << " seed "
              << fault.seed << '\n';
  }
}

/**
 * Plays seeds and prints the fewest faults with which each failing one fails.
 * The environment sets the first seed and their number
 * (AMARANTHWIND_LOSS_SEED, AMARANTHWIND_LOSS_SEEDS), kinds of faults to leave
 * out (AMARANTHWIND_LOSS_WITHOUT) and whether to print all events
 * (AMARANTHWIND_LOSS_TRACE).
 */
void
CheckSeeds(std::size_t aFaults)
{
  const std::uint64_t first = ReadVariable("AMARANTHWIND_LOSS_SEED", 1);
  const std::uint64_t count = ReadVariable("AMARANTHWIND_LOSS_SEEDS", 10);
  const bool isTraced = ReadVariable("AMARANTHWIND_LOSS_TRACE", 0) != 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const auto faults = MakeFaults(seed, aFaults);
    const auto problems = Play(seed, faults);
    if (problems.empty()) {
      continue;
    }
    const auto fewest = Shorten(seed, faults);
    std::cout << "seed " << seed << " of " << aFaults << " faults\n";
    Print(fewest);
    const auto trace = [isTraced](const std::string& aLine) {
      if (isTraced) {
        std::cout << "    " << aLine << '\n';
      }
    };
    for (const auto& problem : Play(seed, fewest, trace)) {
      std::cout << "  " << problem << '\n';
    }
    std::cout << std::flush;
    FAIL_CHECK("seed " << seed << ": " << problems.front());
  }
}

/** Plays with exactly these faults, and the jobs of the seed. */
void
CheckFaults(std::uint64_t aSeed, const std::vector<Fault>& aFaults)
{
  const auto trace = [](const std::string& aLine) {
    if (ReadVariable("AMARANTHWIND_LOSS_TRACE", 0) != 0) {
      std::cout << aLine << '\n';
    }
  };
  for (const auto& problem : Play(aSeed, aFaults, trace)) {
    FAIL_CHECK("seed " << aSeed << ": " << problem);
  }
}

} // namespace

// Guards against faults that are harmless alone and harmful together.
TEST_CASE("no task runs twice and no job is lost with one fault")
{
  CheckSeeds(1);
}

TEST_CASE("no task runs twice and no job is lost with few faults")
{
  CheckSeeds(3);
}

TEST_CASE("no task runs twice and no job is lost with many faults")
{
  CheckSeeds(10);
}

// Guards against starts in an evacuated zone after the limit, by orders that
// were under way, repeated, or sent by a coordinator that was paused, cut off
// or new; and against placements that are lost when they are withdrawn.
TEST_CASE("no task starts late in an evacuated zone and no job is lost")
{
  const std::uint64_t first = ReadVariable("AMARANTHWIND_LOSS_SEED", 1);
  const std::uint64_t count = ReadVariable("AMARANTHWIND_LOSS_SEEDS", 10);
  const auto trace = [](const std::string& aLine) {
    if (ReadVariable("AMARANTHWIND_LOSS_TRACE", 0) != 0) {
      std::cout << aLine << '\n';
    }
  };
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    for (const std::size_t faults : { 0U, 2U, 6U }) {
      for (const auto& problem :
           PlayEvacuations(seed, MakeFaults(seed, faults), trace)) {
        FAIL_CHECK("seed " << seed << ", " << faults << " faults: " << problem);
      }
    }
  }
}

// Guards against giving up the runs of a worker that runs on.
TEST_CASE("runs on a worker whose deregistration is not answered run once")
{
  for (auto at = 5000ms; at < 9000ms; at += 200ms) {
    CAPTURE(at.count());
    CheckFaults(1,
                { { FaultKind::UnansweredLeavingWorkers,
                    FaultTrigger::Time,
                    at,
                    1s,
                    1,
                    0 } });
  }
}

// Guards against forgetting an unanswered start when its run has ended.
TEST_CASE("a start of a completed run has no effect on the worker's next life")
{
  CheckFaults(29,
              { { FaultKind::CrashWorkersSameId,
                  FaultTrigger::Time,
                  21'102ms,
                  1108ms,
                  3,
                  8903283947926079386U },
                { FaultKind::DisturbWorkerCalls,
                  FaultTrigger::StartAccepted,
                  8732ms,
                  4297ms,
                  1,
                  9460069731998180220U } });
}

// Guards against discarding the end of a run that nobody has seen.
TEST_CASE("a hold of an earlier life acknowledges no end of the next one")
{
  CheckFaults(200'780,
              { { FaultKind::FreezeAgents,
                  FaultTrigger::StartAccepted,
                  8803ms,
                  2479ms,
                  31,
                  752918700062048326U },
                { FaultKind::CrashWorkersSameId,
                  FaultTrigger::JobAccepted,
                  9088ms,
                  3887ms,
                  5,
                  11802864638432305211U },
                { FaultKind::CutAgentsFromWorkers,
                  FaultTrigger::Time,
                  8011ms,
                  1654ms,
                  63,
                  15756840080159906477U } });
}
