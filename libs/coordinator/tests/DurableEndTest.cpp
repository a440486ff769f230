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
/** Beside entries that are short of processor time. */
constexpr std::uint32_t kManyVms = 24;
constexpr std::uint32_t kAll = ~0U;
constexpr base::Duration kTaskTime = 2s;
/** When the first job is submitted; an entry leads by then. */
constexpr base::Duration kSubmitTime = 6s;
/** After the last fault; longer than the grants of earlier coordinators. */
constexpr base::Duration kQuietTime = 70s;
/** What an entry with 0.12 cores needs for the usual work of one core. */
constexpr ProcessorCosts kSmallEntryCosts{ .perTask = 100us * 100 / 12,
                                           .perPackedWorker = 40us * 100 / 12,
                                           .perSentMessage = 200us * 100 / 12,
                                           .perRecordTask = 30us * 100 / 12 };

std::uint64_t
ReadVariable(const char* aName, std::uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

void
Trace(const std::string& aLine)
{
  if (ReadVariable("AMARANTHWIND_LOSS_TRACE", 0) != 0) {
    std::cout << aLine << '\n';
  }
}

job::WorkflowSpec
MakeJob(std::uint32_t aNumber, std::uint32_t aTasks, bool aIsGang)
{
  job::WorkflowSpec spec = testing::MakeOneStepJob(
    "job-" + std::to_string(aNumber), aTasks, kTaskTime);
  spec.steps[0].isGang = aIsGang;
  return spec;
}

SimulatedCell::Options
MakeOptions(const ProcessorCosts& aCosts, std::uint32_t aVms)
{
  SimulatedCell::Options options;
  options.entries = kEntries;
  options.workers = aVms;
  options.taskTime = kTaskTime;
  options.appendTime = 4ms;
  options.appendsInTurn = true;
  options.stopTime = 200ms;
  options.repeatsRegistrations = true;
  options.hasSlowClocks = true;
  options.costs = aCosts;
  options.trace = Trace;
  return options;
}

std::vector<std::string>
FindProblems(SimulatedCell& aCell)
{
  std::vector<std::string> problems = aCell.Violations();
  for (const auto& job : aCell.Unfinished()) {
    problems.push_back("unfinished " + job);
  }
  return problems;
}

/** Plays one gang and one job of independent tasks, which end together. */
void
CheckJobs(const ProcessorCosts& aCosts,
          std::uint32_t aVms,
          const std::vector<Fault>& aFaults)
{
  SimulatedCell cell(MakeOptions(aCosts, aVms));
  for (const Fault& fault : aFaults) {
    cell.Inject(fault);
  }
  cell.Run(kSubmitTime);
  cell.SubmitUntilAccepted(MakeJob(0, aVms * 2, true));
  cell.SubmitUntilAccepted(MakeJob(1, aVms * 6, false));
  cell.Run(kQuietTime);
  for (const auto& problem : FindProblems(cell)) {
    FAIL_CHECK(problem);
  }
}

/**
 * A fault of all coordinators 1.5 s after the start of the tasks, and a loss of
 * power of these VMs at several times after their ends.
 */
void
CheckLossesDuring(FaultKind aFault, FaultKind aLoss, std::uint32_t aVms)
{
  for (auto after = 110ms; after <= 1500ms; after += 230ms) {
    CAPTURE(after.count());
    // No later than the lease of the tasks allows.
    const auto faultAt = kSubmitTime + 1500ms;
    CheckJobs({},
              kVms,
              { { aFault, FaultTrigger::Time, faultAt, 2500ms, kAll, 0 },
                { aLoss,
                  FaultTrigger::Time,
                  kSubmitTime + 2100ms + after,
                  500ms,
                  aVms,
                  0 } });
  }
}

/** Faults of coordinators, and losses of power near the ends of tasks. */
std::vector<Fault>
DrawFaults(std::mt19937_64& aRandom)
{
  constexpr std::array kCoordinatorFaults{
    FaultKind::KillEntries,          FaultKind::FreezeEntries,
    FaultKind::CutEntriesFromLog,    FaultKind::CutEntriesFromEntries,
    FaultKind::CutAgentsFromEntries,
  };
  const auto draw = [&](FaultKind aKind) {
    Fault fault;
    fault.kind = aKind;
    fault.trigger =
      aRandom() % 2 == 0 ? FaultTrigger::Time : FaultTrigger::DoneListed;
    fault.at = kSubmitTime + std::chrono::milliseconds(aRandom() % 18'000);
    fault.length = 200ms + std::chrono::milliseconds(aRandom() % 3000);
    fault.targets =
      aRandom() % 2 == 0 ? kAll : static_cast<std::uint32_t>(aRandom());
    fault.seed = aRandom();
    return fault;
  };
  std::vector<Fault> faults;
  for (std::size_t i = aRandom() % 3; i > 0; --i) {
    faults.push_back(
      draw(kCoordinatorFaults[aRandom() % kCoordinatorFaults.size()]));
  }
  for (std::size_t i = 1 + aRandom() % 3; i > 0; --i) {
    faults.push_back(draw(aRandom() % 2 == 0 ? FaultKind::PowerLossOfAll
                                             : FaultKind::PowerLossOfVms));
  }
  return faults;
}

std::vector<std::string>
Play(std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  const bool isSlow = random() % 3 != 0;
  const std::uint32_t vms = isSlow ? kManyVms : kVms;
  SimulatedCell cell(
    MakeOptions(isSlow ? kSmallEntryCosts : ProcessorCosts{}, vms));
  for (const Fault& fault : DrawFaults(random)) {
    cell.Inject(fault);
  }
  cell.Run(kSubmitTime);
  constexpr std::uint32_t kJobs = 10;
  const std::uint64_t maxTasks = isSlow ? 96 : 24;
  for (std::uint32_t i = 0; i < kJobs; ++i) {
    const auto tasks = static_cast<std::uint32_t>(1 + random() % maxTasks);
    cell.SubmitUntilAccepted(MakeJob(i, tasks, random() % 3 == 0));
    cell.Run(std::chrono::milliseconds(200 + random() % 2800));
  }
  cell.Run(kQuietTime);
  return FindProblems(cell);
}

} // namespace

// Guards against ends that nobody knows after a loss of power, because the
// coordinator had not recorded them yet.
TEST_CASE("an end that was listed to an agent outlasts a loss of all VMs while "
          "coordinators are frozen")
{
  CheckLossesDuring(FaultKind::FreezeEntries, FaultKind::PowerLossOfAll, kAll);
}

TEST_CASE("an end that was listed to an agent outlasts a loss of all VMs while "
          "coordinators are cut off from the log")
{
  CheckLossesDuring(
    FaultKind::CutEntriesFromLog, FaultKind::PowerLossOfAll, kAll);
}

TEST_CASE("an end that was listed to an agent outlasts a loss of all VMs while "
          "coordinators are down")
{
  CheckLossesDuring(FaultKind::KillEntries, FaultKind::PowerLossOfAll, kAll);
}

// Guards against a coordinator that learns of the loss before it learns of the
// ends that the agent has recorded.
TEST_CASE(
  "an end that was listed to an agent outlasts the loss of its VM while "
  "coordinators are frozen")
{
  CheckLossesDuring(FaultKind::FreezeEntries, FaultKind::PowerLossOfVms, 0x15);
}

TEST_CASE(
  "an end that was listed to an agent outlasts the loss of its VM while "
  "coordinators are cut off from agents")
{
  CheckLossesDuring(
    FaultKind::CutAgentsFromEntries, FaultKind::PowerLossOfVms, 0x15);
}

// Guards against a run that is given up, and started elsewhere, after its agent
// has seen its end.
TEST_CASE(
  "an end that was listed to an agent counts while the agent is cut off "
  "from coordinators")
{
  CheckJobs({},
            kVms,
            { { FaultKind::CutAgentsFromEntries,
                FaultTrigger::Time,
                kSubmitTime + 1500ms,
                8s,
                0x15,
                0 } });
}

// Guards against ends that become durable only when a slow coordinator has
// worked off what came before them.
TEST_CASE(
  "an end that was listed to an agent outlasts a loss of all VMs beside "
  "a coordinator on a small entry")
{
  for (std::uint64_t afterMs = 100; afterMs < 600; afterMs += 40) {
    CAPTURE(afterMs);
    CheckJobs(kSmallEntryCosts,
              kManyVms,
              { { FaultKind::PowerLossOfAll,
                  FaultTrigger::DoneListed,
                  kSubmitTime,
                  500ms,
                  kAll,
                  afterMs } });
  }
}

// Guards against an append of an agent that waits behind those of other agents
// and holds up the record of the next end.
TEST_CASE(
  "an end that was listed to an agent outlasts a loss of all VMs beside "
  "ends of many agents")
{
  constexpr std::uint32_t kAgents = 72;
  constexpr base::Duration kInterval = 120ms;
  SimulatedCell cell(MakeOptions({}, kAgents));
  cell.Inject({ FaultKind::FreezeEntries,
                FaultTrigger::Time,
                kSubmitTime + 1500ms,
                2500ms,
                kAll,
                0 });
  cell.Inject({ FaultKind::PowerLossOfAll,
                FaultTrigger::Time,
                kSubmitTime + 2440ms,
                500ms,
                kAll,
                0 });
  cell.Run(kSubmitTime);
  cell.SubmitUntilAccepted(MakeJob(0, kAgents * 2, true));
  cell.Run(kInterval);
  cell.SubmitUntilAccepted(MakeJob(1, kAgents * 6, false));
  cell.Run(kQuietTime);
  for (const auto& problem : FindProblems(cell)) {
    FAIL_CHECK(problem);
  }
}

// As above, with coordinators that are slow or disturbed and losses of power of
// any VMs at any time. The environment sets the first seed and their number
// (AMARANTHWIND_LOSS_SEED, AMARANTHWIND_LOSS_SEEDS) and whether to print all
// events (AMARANTHWIND_LOSS_TRACE).
TEST_CASE("no task starts again after its end was listed to an agent")
{
  const std::uint64_t first = ReadVariable("AMARANTHWIND_LOSS_SEED", 1);
  const std::uint64_t count = ReadVariable("AMARANTHWIND_LOSS_SEEDS", 30);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    for (const auto& problem : Play(seed)) {
      FAIL_CHECK("seed " << seed << ": " << problem);
    }
  }
}
