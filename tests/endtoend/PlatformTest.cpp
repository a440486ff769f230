#include "harness/PlatformDeployment.h"

#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <future>
#include <set>
#include <thread>

using namespace amaranthwind;
using harness::PlatformDeployment;
using Mode = standins::PlatformStore::Mode;

namespace {

constexpr std::string_view kFirstJobId = "5c0e7a21d94b36f8";
constexpr std::string_view kSecondJobId = "0123456789abcdef";

/**
 * A job of two steps: three single tasks, then a gang of two that depends on
 * them. Each task runs for aTaskMs milliseconds.
 */
std::string
MakeJobBody(unsigned aTaskMs)
{
  return R"({"spec":")" + std::to_string(aTaskMs) +
         R"(","steps":[{"count":3,"cpu":1000,"mem-mb":64,"gpu":2,)"
         R"("estimate-ms":500},{"count":2,"cpu":1000,"mem-mb":64,"gpu":8,)"
         R"("estimate-ms":500,"gang":true,"depends-on":[0]}]})";
}

constexpr std::size_t kTasks = 5;

bool
IsCompleted(PlatformDeployment& aDeployment, std::string_view aId)
{
  return PlatformDeployment::WaitUntil([&] {
    for (auto& scheduler : aDeployment.schedulers) {
      if (scheduler.process != nullptr &&
          aDeployment.State(scheduler, aId) != "completed") {
        return false;
      }
    }
    return true;
  });
}

/** Checks in the workers' start histories that each task was started once. */
void
CheckEachTaskStartedOnce(const PlatformDeployment& aDeployment,
                         std::size_t aTasks)
{
  const auto starts = aDeployment.Starts();
  CHECK(starts.size() == aTasks);
  CHECK(std::set(starts.begin(), starts.end()).size() == aTasks);
}

} // namespace

// Guards against a job that runs twice when it is submitted to two schedulers,
// and against task ends that are never acknowledged to the workers.
TEST_CASE("platform: a job runs once and every scheduler shows it completed")
{
  PlatformDeployment deployment(2, 3);
  REQUIRE(deployment.Start());
  auto& first = deployment.schedulers[0];
  auto& second = deployment.schedulers[1];
  CHECK(deployment.Send(first, "GET", kFirstJobId) == 410);
  CHECK(deployment.Send(first, "POST", kFirstJobId, "{}") == 400);
  CHECK(deployment.Send(first, "POST", kFirstJobId, MakeJobBody(200), "none") ==
        401);
  CHECK(deployment.Send(first, "POST", kFirstJobId, MakeJobBody(200)) == 200);
  // Submitting the same job to another scheduler does not create a second job.
  CHECK(deployment.Send(second, "POST", kFirstJobId, MakeJobBody(200)) == 200);
  CHECK(IsCompleted(deployment, kFirstJobId));
  CheckEachTaskStartedOnce(deployment, kTasks);
  CHECK(PlatformDeployment::WaitUntil([&] {
    for (const auto& worker : deployment.workers) {
      if (worker.worker->UnacknowledgedEnds() > 0) {
        return false;
      }
    }
    return true;
  }));
}

// Guards against a cancelled job whose tasks keep running, and against an API
// key that is still accepted after a configuration withdrew it.
TEST_CASE("platform: a cancelled job ends and a withdrawn key is refused")
{
  PlatformDeployment deployment(1, 2);
  REQUIRE(deployment.Start());
  auto& scheduler = deployment.schedulers[0];
  REQUIRE(deployment.Send(
            scheduler, "POST", kFirstJobId, MakeJobBody(60'000)) == 200);
  CHECK(
    PlatformDeployment::WaitUntil([&] { return deployment.Running() == 3; }));
  CHECK(deployment.Send(scheduler, "DELETE", kFirstJobId) == 200);
  CHECK(
    PlatformDeployment::WaitUntil([&] { return deployment.Running() == 0; }));
  CHECK(deployment.State(scheduler, kFirstJobId) == "cancelled");
  deployment.Configure(2, "key-2");
  CHECK(PlatformDeployment::WaitUntil(
    [&] { return deployment.Send(scheduler, "GET", kFirstJobId) == 401; }));
}

// Guards against tasks that are stopped or run twice when the coordinator
// changes.
TEST_CASE(
  "platform: tasks keep running when the coordinator is killed or stopped")
{
  PlatformDeployment deployment(2, 2);
  REQUIRE(deployment.Start());
  REQUIRE(deployment.Send(
            deployment.schedulers[0], "POST", kFirstJobId, MakeJobBody(2500)) ==
          200);
  CHECK(
    PlatformDeployment::WaitUntil([&] { return deployment.Running() == 3; }));
  // The test does not know which scheduler is coordinator, so it replaces both.
  for (auto& scheduler : deployment.schedulers) {
    SUBCASE("killed")
    {
      scheduler.process->Kill();
    }
    SUBCASE("stopped")
    {
      scheduler.process->Signal(SIGTERM);
      CHECK(scheduler.process->WaitFor(std::chrono::seconds(10)) == 0);
    }
    scheduler.process.reset();
    deployment.StartScheduler(scheduler);
    CHECK(PlatformDeployment::WaitUntil(
      [&] { return deployment.ReadyStatus(scheduler) == 200; }));
  }
  CHECK(IsCompleted(deployment, kFirstJobId));
  CheckEachTaskStartedOnce(deployment, kTasks);
}

// Guards against ends that exist nowhere but on the VM of their worker, which
// may lose power, while no coordinator records them.
TEST_CASE("platform: agents record ends while there is no coordinator")
{
  PlatformDeployment deployment(1, 2);
  REQUIRE(deployment.Start());
  auto& scheduler = deployment.schedulers[0];
  REQUIRE(deployment.Send(scheduler, "POST", kFirstJobId, MakeJobBody(1500)) ==
          200);
  REQUIRE(
    PlatformDeployment::WaitUntil([&] { return deployment.Running() == 3; }));
  scheduler.process->Kill();
  scheduler.process.reset();
  const std::size_t appends = deployment.store.Appends().done;
  CHECK(
    PlatformDeployment::WaitUntil([&] { return deployment.Running() == 0; }));
  CHECK(PlatformDeployment::WaitUntil(
    [&] { return deployment.store.Appends().done > appends; }));
  // The ends are recorded once, although nobody acknowledges them.
  std::this_thread::sleep_for(std::chrono::seconds(1));
  CHECK(deployment.store.Appends().done <= appends + 3);
  std::size_t unacknowledged = 0;
  for (const auto& worker : deployment.workers) {
    unacknowledged += worker.worker->UnacknowledgedEnds();
  }
  CHECK(unacknowledged == 3);
  deployment.StartScheduler(scheduler);
  CHECK(IsCompleted(deployment, kFirstJobId));
  CheckEachTaskStartedOnce(deployment, kTasks);
}

// Guards against a second run of tasks whose agent lost its state in a restart.
TEST_CASE("platform: tasks keep running when their agent restarts")
{
  PlatformDeployment deployment(1, 1);
  REQUIRE(deployment.Start());
  REQUIRE(deployment.Send(deployment.schedulers[0],
                          "POST",
                          kFirstJobId,
                          R"({"spec":"2500","steps":[{"count":2,"cpu":1}]})") ==
          200);
  CHECK(
    PlatformDeployment::WaitUntil([&] { return deployment.Running() == 2; }));
  deployment.workers[0].agent->Kill();
  deployment.StartAgent(deployment.workers[0]);
  CHECK(IsCompleted(deployment, kFirstJobId));
  CheckEachTaskStartedOnce(deployment, 2);
}

// Guards against a store outage that stops running tasks, and against running a
// job that was refused during the outage.
TEST_CASE("platform: during a store outage tasks keep running and refused jobs "
          "never run")
{
  PlatformDeployment deployment(1, 2);
  REQUIRE(deployment.Start());
  auto& scheduler = deployment.schedulers[0];
  REQUIRE(deployment.Send(scheduler, "POST", kFirstJobId, MakeJobBody(1500)) ==
          200);
  CHECK(
    PlatformDeployment::WaitUntil([&] { return deployment.Running() == 3; }));
  deployment.store.SetMode(Mode::Down);
  CHECK(deployment.Send(scheduler, "POST", kSecondJobId, MakeJobBody(100)) ==
        503);
  CHECK(
    PlatformDeployment::WaitUntil([&] { return deployment.Running() == 0; }));
  deployment.store.SetMode(Mode::Up);
  CHECK(IsCompleted(deployment, kFirstJobId));
  CHECK(deployment.Send(scheduler, "GET", kSecondJobId) == 410);
  CheckEachTaskStartedOnce(deployment, kTasks);
}

// Guards against a second run when responses of the store and of the workers
// are lost, and against a scheduler that cannot read the store after
// compaction.
TEST_CASE(
  "platform: tasks run once despite lost responses and a compacted store")
{
  PlatformDeployment deployment(1, 2);
  REQUIRE(deployment.Start());
  auto& scheduler = deployment.schedulers[0];
  deployment.store.SetMode(Mode::DropReplies);
  // No append is answered, but the scheduler reads the record of the job.
  CHECK(deployment.Send(scheduler, "POST", kFirstJobId, MakeJobBody(800)) ==
        200);
  CHECK(deployment.State(scheduler, kFirstJobId) == "pending");
  CHECK(deployment.Starts().empty());
  deployment.store.SetMode(Mode::Up);
  for (auto& worker : deployment.workers) {
    worker.worker->DropStartReplies(true);
  }
  CHECK(deployment.Send(scheduler, "POST", kFirstJobId, MakeJobBody(800)) ==
        200);
  CHECK(
    PlatformDeployment::WaitUntil([&] { return deployment.Running() > 0; }));
  for (auto& worker : deployment.workers) {
    worker.worker->DropStartReplies(false);
  }
  deployment.store.Compact();
  CHECK(IsCompleted(deployment, kFirstJobId));
  const auto starts = deployment.Starts();
  CHECK(std::set(starts.begin(), starts.end()).size() == starts.size());
}

// Guards against a store that still works, only slower, but stops everything:
// each scheduler appends each job by itself, and gives up before the answer.
TEST_CASE("platform: jobs are accepted and completed while the store is slow")
{
  constexpr std::size_t kJobsOfScheduler = 4;
  PlatformDeployment deployment(3, 2);
  REQUIRE(deployment.Start());
  const auto before = deployment.store.Appends();
  deployment.store.SetAnswerTime(std::chrono::milliseconds(256));
  const std::string body =
    R"({"spec":"50","steps":[{"count":1,"cpu":100,"mem-mb":1,)"
    R"("estimate-ms":50}]})";
  std::vector<std::string> jobs;
  std::vector<std::future<unsigned>> answers;
  for (std::size_t i = 0; i < deployment.schedulers.size(); ++i) {
    for (std::size_t k = 0; k < kJobsOfScheduler; ++k) {
      jobs.push_back("00000000000000" + std::to_string(i) + std::to_string(k));
      answers.push_back(
        std::async(std::launch::async, [&, i, id = jobs.back()] {
          return deployment.Send(deployment.schedulers[i], "POST", id, body);
        }));
    }
  }
  for (auto& answer : answers) {
    CHECK(answer.get() == 200);
  }
  for (const auto& job : jobs) {
    CHECK(IsCompleted(deployment, job));
  }
  const auto after = deployment.store.Appends();
  CHECK(after.refused == before.refused);
  CHECK(after.repeated == before.repeated);
  CheckEachTaskStartedOnce(deployment, jobs.size());
}

// Guards against starts in a zone whose evacuation was requested longer ago
// than the limit, against stopping what runs there, and against a zone that
// stays unused after the request was withdrawn.
TEST_CASE("platform: no task starts in an evacuated zone")
{
  const auto makeBody = [](unsigned aTaskMs) {
    return R"({"spec":")" + std::to_string(aTaskMs) +
           R"(","steps":[{"count":2,"cpu":1000,"mem-mb":64,"gpu":8,)"
           R"("estimate-ms":500}]})";
  };
  const auto limit = PlatformDeployment::kEvacuationLimit;
  PlatformDeployment deployment(2, 2);
  deployment.workers[0].worker->SetZone("z0");
  deployment.workers[1].worker->SetZone("z1");
  const auto& evacuated = *deployment.workers[0].worker;
  REQUIRE(deployment.Start());
  auto& scheduler = deployment.schedulers[0];
  const auto before = static_cast<unsigned>(limit.count()) + 2000;
  REQUIRE(deployment.Send(scheduler, "POST", kFirstJobId, makeBody(before)) ==
          200);
  REQUIRE(
    PlatformDeployment::WaitUntil([&] { return deployment.Running() == 2; }));
  deployment.Evacuate("z0");
  std::this_thread::sleep_for(limit);
  // Each task needs a whole worker and runs for longer than the ends of the
  // first job are apart, so that one of them would start in the zone.
  REQUIRE(deployment.Send(scheduler, "POST", kSecondJobId, makeBody(1000)) ==
          200);
  CHECK(IsCompleted(deployment, kSecondJobId));
  CHECK(IsCompleted(deployment, kFirstJobId));
  CHECK(evacuated.Starts().size() == 1);
  CheckEachTaskStartedOnce(deployment, 4);
  deployment.WithdrawEvacuation("z0");
  REQUIRE(deployment.Send(
            scheduler, "POST", "00000000000000aa", makeBody(60'000)) == 200);
  CHECK(PlatformDeployment::WaitUntil(
    [&] { return evacuated.Starts().size() == 2; }));
}
