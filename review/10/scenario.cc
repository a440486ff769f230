// MIXED: the count of the jobs that wait, after an executor has turned their
// starts away.

#include "Rig.h"

#include <set>
#include <thread>

using namespace review;

namespace {

constexpr std::size_t kWorkers = 11;
/** Fit on one worker together. */
constexpr std::size_t kJobs = 8;
/** The executor is unhealthy for so long. */
constexpr auto kUnhealthyTime = 5500ms;
/** When the urgent job comes that takes the room of the jobs. */
constexpr auto kUrgentAfter = 3000ms;
/** By then everything has been calm for longer than contact-ms. */
constexpr auto kCalmAfter = 9500ms;
/** Goes on until the end of the case. */
const std::string kLongRun = "run 90000";

int
Play(Record& aRecord)
{
  Rig rig({ .workers = kWorkers }, aRecord);
  if (!rig.Start()) {
    aRecord.Line("the deployment did not start");
    return kNotRun;
  }
  const auto submit =
    [&](std::uint64_t aNumber, unsigned aGpus, std::string_view aQueue) {
      return rig
               .Send(rig.schedulers[0],
                     "POST",
                     JobId(aNumber),
                     JobBody(1, aGpus, kLongRun, R"(,"estimate-ms":90000)"),
                     aQueue)
               .status == 200;
    };
  // Urgent jobs fill all workers but one.
  for (std::size_t i = 0; i + 1 < kWorkers; ++i) {
    if (!submit(0x1000 + i, 8, kUrgentQueue)) {
      return kNotRun;
    }
  }
  if (!Rig::WaitUntil([&] { return rig.Running() == kWorkers - 1; }, 10s)) {
    aRecord.Line("the workers were not filled");
    return kNotRun;
  }
  Rig::Worker* idle = nullptr;
  for (auto& each : rig.workers) {
    idle = each.executor->Running() == 0 ? &each : idle;
  }
  const auto start = Clock::now();
  if (HasTrouble()) {
    aRecord.Line("the executor of " + idle->name + " is unhealthy");
    idle->executor->SetFilter([&](const frontend::HttpRequest& aRequest,
                                  const frontend::HttpResponder& aRespond) {
      if (aRequest.path != "/api/run-start" ||
          Clock::now() >= start + kUnhealthyTime) {
        return false;
      }
      aRecord.Line(idle->name + ": 503, nothing done: " + aRequest.body);
      aRespond({ 503, "application/json", {}, "" });
      return true;
    });
  }
  for (std::size_t i = 0; i < kJobs; ++i) {
    if (!submit(0x2000 + i, 1, kQueue)) {
      return kNotRun;
    }
  }
  std::this_thread::sleep_until(start + kUrgentAfter);
  if (!submit(0x3000, 8, kUrgentQueue)) {
    return kNotRun;
  }
  std::this_thread::sleep_until(start + kCalmAfter);
  std::set<std::string> begun;
  for (const auto& each : rig.workers) {
    for (const auto& run : each.executor->Runs()) {
      if (run.task.starts_with("000000000000200")) {
        begun.insert(run.task);
      }
    }
  }
  const std::size_t notBegun = kJobs - begun.size();
  bool isBroken = false;
  for (const auto& each : rig.schedulers) {
    const std::int64_t waiting = rig.Waiting(each);
    if (waiting < 0) {
      return kNotRun;
    }
    aRecord.Line(
      each.name + ": waiting " + std::to_string(waiting) +
      "; accepted over 5 s ago and not begun: " + std::to_string(notBegun));
    isBroken = isBroken || 2 * waiting < static_cast<std::int64_t>(notBegun);
  }
  return isBroken ? kBroken : kHeld;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunCase(aCount, aArguments, Play);
}
