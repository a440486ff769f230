#include "harness/PlatformDeployment.h"

#include <doctest/doctest.h>

#include <csignal>
#include <set>

using namespace amaranthwind;
using harness::PlatformDeployment;
using Mode = standins::PlatformStore::Mode;

namespace {

constexpr std::string_view kFirst = "5c0e7a21d94b36f8";
constexpr std::string_view kSecond = "0123456789abcdef";

/** Two steps, the second of which is a gang; each task takes aMs. */
std::string
MakeBody(unsigned aMs)
{
  return R"({"spec":")" + std::to_string(aMs) +
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

/** Every task was started once, by the history of the workers. */
void
CheckEachRanOnce(const PlatformDeployment& aDeployment, std::size_t aTasks)
{
  const auto starts = aDeployment.Starts();
  CHECK(starts.size() == aTasks);
  CHECK(std::set(starts.begin(), starts.end()).size() == aTasks);
}

} // namespace

TEST_CASE("platform: a job runs once and every scheduler shows it completed")
{
  PlatformDeployment deployment(2, 3);
  REQUIRE(deployment.Start());
  auto& first = deployment.schedulers[0];
  auto& second = deployment.schedulers[1];
  CHECK(deployment.Send(first, "GET", kFirst) == 410);
  CHECK(deployment.Send(first, "POST", kFirst, "{}") == 400);
  CHECK(deployment.Send(first, "POST", kFirst, MakeBody(200), "none") == 401);
  CHECK(deployment.Send(first, "POST", kFirst, MakeBody(200)) == 200);
  // The same job, handed in again at another scheduler, stays one.
  CHECK(deployment.Send(second, "POST", kFirst, MakeBody(200)) == 200);
  CHECK(IsCompleted(deployment, kFirst));
  CheckEachRanOnce(deployment, kTasks);
  CHECK(PlatformDeployment::WaitUntil([&] {
    for (const auto& worker : deployment.workers) {
      if (worker.worker->Unacknowledged() > 0) {
        return false;
      }
    }
    return true;
  }));
}

TEST_CASE("platform: a cancelled job ends and a withdrawn key is refused")
{
  PlatformDeployment deployment(1, 2);
  REQUIRE(deployment.Start());
  auto& scheduler = deployment.schedulers[0];
  REQUIRE(deployment.Send(scheduler, "POST", kFirst, MakeBody(60'000)) == 200);
  CHECK(
    PlatformDeployment::WaitUntil([&] { return deployment.Running() == 3; }));
  CHECK(deployment.Send(scheduler, "DELETE", kFirst) == 200);
  CHECK(
    PlatformDeployment::WaitUntil([&] { return deployment.Running() == 0; }));
  CHECK(deployment.State(scheduler, kFirst) == "cancelled");
  deployment.Configure(2, "key-2");
  CHECK(PlatformDeployment::WaitUntil(
    [&] { return deployment.Send(scheduler, "GET", kFirst) == 401; }));
}

// Guards against tasks that end or run twice when the coordinator changes.
TEST_CASE("platform: tasks run on when the coordinator is killed or stopped")
{
  PlatformDeployment deployment(2, 2);
  REQUIRE(deployment.Start());
  REQUIRE(deployment.Send(
            deployment.schedulers[0], "POST", kFirst, MakeBody(2500)) == 200);
  CHECK(
    PlatformDeployment::WaitUntil([&] { return deployment.Running() == 3; }));
  // The one that leads is not known; both are replaced in turn.
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
  CHECK(IsCompleted(deployment, kFirst));
  CheckEachRanOnce(deployment, kTasks);
}

// Guards against a second run after a daemon that forgot what it started.
TEST_CASE("platform: tasks run on when their agent restarts")
{
  PlatformDeployment deployment(1, 1);
  REQUIRE(deployment.Start());
  REQUIRE(deployment.Send(deployment.schedulers[0],
                          "POST",
                          kFirst,
                          R"({"spec":"2500","steps":[{"count":2,"cpu":1}]})") ==
          200);
  CHECK(
    PlatformDeployment::WaitUntil([&] { return deployment.Running() == 2; }));
  deployment.workers[0].agent->Kill();
  deployment.StartAgent(deployment.workers[0]);
  CHECK(IsCompleted(deployment, kFirst));
  CheckEachRanOnce(deployment, 2);
}

TEST_CASE(
  "platform: through an outage of the store tasks run on, and jobs that "
  "were not accepted never run")
{
  PlatformDeployment deployment(1, 2);
  REQUIRE(deployment.Start());
  auto& scheduler = deployment.schedulers[0];
  REQUIRE(deployment.Send(scheduler, "POST", kFirst, MakeBody(1500)) == 200);
  CHECK(
    PlatformDeployment::WaitUntil([&] { return deployment.Running() == 3; }));
  deployment.store.SetMode(Mode::Down);
  CHECK(deployment.Send(scheduler, "POST", kSecond, MakeBody(100)) == 503);
  CHECK(
    PlatformDeployment::WaitUntil([&] { return deployment.Running() == 0; }));
  deployment.store.SetMode(Mode::Up);
  CHECK(IsCompleted(deployment, kFirst));
  CHECK(deployment.Send(scheduler, "GET", kSecond) == 410);
  CheckEachRanOnce(deployment, kTasks);
}

// Guards against two runs when neither the store's nor the worker's answers
// arrive, and against a scheduler that cannot load again.
TEST_CASE("platform: lost answers and a dropped history change nothing")
{
  PlatformDeployment deployment(1, 2);
  REQUIRE(deployment.Start());
  auto& scheduler = deployment.schedulers[0];
  deployment.store.SetMode(Mode::LoseAnswers);
  CHECK(deployment.Send(scheduler, "POST", kFirst, MakeBody(800)) == 504);
  deployment.store.SetMode(Mode::Up);
  for (auto& worker : deployment.workers) {
    worker.worker->LoseStartAnswers(true);
  }
  CHECK(deployment.Send(scheduler, "POST", kFirst, MakeBody(800)) == 200);
  CHECK(
    PlatformDeployment::WaitUntil([&] { return deployment.Running() > 0; }));
  for (auto& worker : deployment.workers) {
    worker.worker->LoseStartAnswers(false);
  }
  deployment.store.Compact();
  CHECK(IsCompleted(deployment, kFirst));
  const auto starts = deployment.Starts();
  CHECK(std::set(starts.begin(), starts.end()).size() == starts.size());
}
