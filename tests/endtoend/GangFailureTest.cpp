#include "Scenario.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace amaranthwind;
using namespace amaranthwind::endtoend;
using harness::Deployment;
using namespace std::chrono_literals;

namespace {

constexpr unsigned kLongRunMs = 6000;
constexpr unsigned kUnboundedRunMs = 3'600'000;

/** Waits until exactly aCount tasks are running on all workers. */
bool
WaitForRunningTasks(Deployment& aDeployment, int aCount)
{
  return Deployment::WaitUntil(
    [&] { return CountTasksByState(aDeployment)["running"] == aCount; });
}

} // namespace

// Guards against a gang that is lost or run again when its coordinator is
// killed. No part of a gang may run unless the whole gang runs.
TEST_CASE("a running gang survives the loss of its coordinator")
{
  Deployment deployment({ .entries = 2, .executors = 0, .workers = 3 });
  REQUIRE(deployment.Start());
  REQUIRE(deployment.PublishNote(kNote).exit == 0);
  REQUIRE(SubmitGang(deployment,
                     deployment.entries[0],
                     { .id = "long", .members = 2, .runMs = kLongRunMs }));
  REQUIRE(WaitForRunningTasks(deployment, 2));
  const auto coordinator = FindCoordinator(deployment);
  REQUIRE(coordinator.has_value());
  deployment.entries[*coordinator].process->Kill();
  const auto& other = deployment.entries[1 - *coordinator];
  // The new coordinator accepts jobs while the earlier gang is still running.
  CHECK(
    SubmitGang(deployment, other, { .id = "next", .members = 1, .runMs = 10 }));
  CHECK(WaitForPhase(deployment, other, "next", "ended"));
  REQUIRE(WaitForPhase(deployment, other, "long", "ended"));
  const auto state = GetJobState(deployment, other, "long");
  CHECK(state->at("outcome").as_string() == "succeeded");
  CHECK(state->at("runs").to_number<int>() == 1);
  CHECK(CountTasksByState(deployment)["succeeded"] == 3);
}

// Guards against a planned stop of the coordinator that ends running work, or
// that leaves the cell without a coordinator for longer than needed. A planned
// stop must interrupt no request.
TEST_CASE("a stopping coordinator hands over its cell while a gang runs")
{
  Deployment deployment({ .entries = 2, .executors = 0, .workers = 3 });
  REQUIRE(deployment.Start());
  REQUIRE(deployment.PublishNote(kNote).exit == 0);
  REQUIRE(SubmitGang(deployment,
                     deployment.entries[0],
                     { .id = "long", .members = 2, .runMs = kLongRunMs }));
  REQUIRE(WaitForRunningTasks(deployment, 2));
  const auto coordinator = FindCoordinator(deployment);
  REQUIRE(coordinator.has_value());
  auto& stopping = deployment.entries[*coordinator];
  const auto& other = deployment.entries[1 - *coordinator];
  stopping.process->Signal(SIGTERM);
  stopping.process->Signal(SIGTERM);
  CHECK(stopping.process->WaitFor(60s) == 0);
  CHECK(
    SubmitGang(deployment, other, { .id = "next", .members = 1, .runMs = 10 }));
  CHECK(WaitForPhase(deployment, other, "next", "ended"));
  REQUIRE(WaitForPhase(deployment, other, "long", "ended"));
  const auto state = GetJobState(deployment, other, "long");
  CHECK(state->at("outcome").as_string() == "succeeded");
  CHECK(state->at("runs").to_number<int>() == 1);
}

// Guards against two coordinators that both start gangs: the first one is
// paused and resumes after its successor has taken over. No part of a gang may
// run unless the whole gang runs.
TEST_CASE(
  "a coordinator that resumes after its successor took over does not act")
{
  Deployment deployment({ .entries = 2, .executors = 0, .workers = 3 });
  REQUIRE(deployment.Start());
  REQUIRE(deployment.PublishNote(kNote).exit == 0);
  REQUIRE(SubmitGang(deployment,
                     deployment.entries[0],
                     { .id = "first", .members = 2, .runMs = kLongRunMs }));
  REQUIRE(WaitForRunningTasks(deployment, 2));
  const auto paused = FindCoordinator(deployment);
  REQUIRE(paused.has_value());
  deployment.entries[*paused].process->Signal(SIGSTOP);
  const auto& other = deployment.entries[1 - *paused];
  REQUIRE(SubmitGang(
    deployment, other, { .id = "second", .members = 1, .runMs = kLongRunMs }));
  // On a busy machine the tasks of the first gang may have ended by now.
  REQUIRE(Deployment::WaitUntil([&] {
    auto states = CountTasksByState(deployment);
    return states["running"] + states["succeeded"] == 3;
  }));
  deployment.entries[*paused].process->Signal(SIGCONT);
  REQUIRE(WaitForPhase(deployment, other, "first", "ended"));
  REQUIRE(WaitForPhase(deployment, other, "second", "ended"));
  for (const auto* id : { "first", "second" }) {
    const auto state = GetJobState(deployment, other, id);
    CHECK(state->at("outcome").as_string() == "succeeded");
    CHECK(state->at("runs").to_number<int>() == 1);
  }
  CHECK(CountTasksByState(deployment)["succeeded"] == 3);
}

// Guards against the remaining members of a gang running on after a member is
// lost, although no part of a gang may run unless the whole gang runs, and
// against a job that is run more or less often than allowed.
TEST_CASE("the other members of a gang stop when a worker is lost")
{
  Deployment deployment({ .entries = 1, .executors = 0, .workers = 3 });
  REQUIRE(deployment.Start());
  REQUIRE(deployment.PublishNote(kNote).exit == 0);
  REQUIRE(SubmitGang(deployment,
                     deployment.entries[0],
                     { .id = "once", .members = 3, .runMs = kUnboundedRunMs }));
  REQUIRE(WaitForRunningTasks(deployment, 3));
  deployment.workers[2].process->Kill();
  deployment.workerDaemons[2].process->Kill();
  CHECK(WaitForRunningTasks(deployment, 0));
  REQUIRE(WaitForPhase(deployment, deployment.entries[0], "once", "ended"));
  const auto state = GetJobState(deployment, deployment.entries[0], "once");
  CHECK(state->at("outcome").as_string() == "failed");
  CHECK(state->at("runs").to_number<int>() == 1);
  // The remaining workers can be allocated again.
  CHECK(SubmitGang(deployment,
                   deployment.entries[0],
                   { .id = "after", .members = 2, .runMs = 10 }));
  CHECK(WaitForPhase(deployment, deployment.entries[0], "after", "ended"));
}

// Guards against a planned stop of a worker's daemon that ends running tasks. A
// planned stop must interrupt no request.
TEST_CASE("a gang keeps running while its workers' daemons are replaced")
{
  Deployment deployment({ .entries = 1, .executors = 0, .workers = 2 });
  REQUIRE(deployment.Start());
  REQUIRE(deployment.PublishNote(kNote).exit == 0);
  REQUIRE(SubmitGang(deployment,
                     deployment.entries[0],
                     { .id = "long", .members = 2, .runMs = kLongRunMs }));
  REQUIRE(WaitForRunningTasks(deployment, 2));
  for (auto& daemon : deployment.workerDaemons) {
    daemon.process->Signal(SIGTERM);
    daemon.process->Signal(SIGTERM);
    REQUIRE(daemon.process->WaitFor(30s) == 0);
    deployment.Restart(daemon);
  }
  REQUIRE(WaitForPhase(deployment, deployment.entries[0], "long", "ended"));
  const auto state = GetJobState(deployment, deployment.entries[0], "long");
  CHECK(state->at("outcome").as_string() == "succeeded");
  CHECK(state->at("runs").to_number<int>() == 1);
}

// Guards against accepted jobs that are lost or run twice when all entries and
// all workers' daemons die at once: an accepted job must not depend on any of
// these processes staying up.
TEST_CASE("accepted jobs run once when all entries and daemons are killed")
{
  Deployment deployment({ .entries = 2, .executors = 0, .workers = 3 });
  REQUIRE(deployment.Start());
  REQUIRE(deployment.PublishNote(kNote).exit == 0);
  // The first job takes all workers, so the second one is queued.
  REQUIRE(SubmitGang(deployment,
                     deployment.entries[0],
                     { .id = "running", .members = 3, .runMs = kLongRunMs }));
  REQUIRE(WaitForRunningTasks(deployment, 3));
  REQUIRE(SubmitGang(deployment,
                     deployment.entries[0],
                     { .id = "queued", .members = 3, .runMs = 10 }));
  for (auto* nodes : { &deployment.entries, &deployment.workerDaemons }) {
    for (auto& node : *nodes) {
      node.process->Kill();
    }
  }
  for (auto* nodes : { &deployment.entries, &deployment.workerDaemons }) {
    for (auto& node : *nodes) {
      deployment.Restart(node);
    }
  }
  REQUIRE(WaitForPhase(deployment, deployment.entries[0], "running", "ended"));
  REQUIRE(WaitForPhase(deployment, deployment.entries[0], "queued", "ended"));
  for (const auto* id : { "running", "queued" }) {
    CAPTURE(id);
    const auto state = GetJobState(deployment, deployment.entries[0], id);
    CHECK(state->at("outcome").as_string() == "succeeded");
    CHECK(state->at("runs").to_number<int>() == 1);
  }
  CHECK(CountTasksByState(deployment)["succeeded"] == 6);
}

// Guards against a log outage that stops running gangs, and against an error
// response that claims more than the entry knows.
TEST_CASE("during a log outage gangs keep running and new jobs are refused")
{
  Deployment deployment({ .entries = 2, .executors = 0, .workers = 3 });
  REQUIRE(deployment.Start());
  REQUIRE(deployment.PublishNote(kNote).exit == 0);
  REQUIRE(SubmitGang(deployment,
                     deployment.entries[0],
                     { .id = "before", .members = 2, .runMs = kLongRunMs }));
  REQUIRE(WaitForRunningTasks(deployment, 2));
  deployment.ControlLog(R"({"mode":"down"})");
  const auto refused = TrySubmitGang(
    deployment, deployment.entries[0], { .id = "during", .members = 1 });
  REQUIRE(refused.response.has_value());
  CHECK(refused.response.value().status == 503);
  const auto body = boost::json::parse(refused.response.value().body);
  CHECK(body.at("error").as_string() == "log-unavailable");
  CHECK(body.at("notRun").as_bool());
  CHECK(Deployment::WaitUntil(
    [&] { return CountTasksByState(deployment)["succeeded"] == 2; }));
  deployment.ControlLog(R"({"mode":"up"})");
  CHECK(WaitForPhase(deployment, deployment.entries[1], "before", "ended"));
  CHECK(SubmitGang(
    deployment, deployment.entries[1], { .id = "after", .members = 1 }));
  CHECK(WaitForPhase(deployment, deployment.entries[1], "after", "ended"));
  CHECK_FALSE(
    GetJobState(deployment, deployment.entries[1], "during").has_value());
}

// Guards against a job that runs although its cancellation was answered with
// "unknown job": its acceptance was still being appended.
TEST_CASE("a job that is being accepted is not cancelled as unknown")
{
  constexpr auto kInterval = 50ms;
  constexpr std::uint16_t kNotFound = 404;
  constexpr std::uint16_t kOutcomeUnknown = 504;
  constexpr std::uint16_t kCancelled = 202;
  Deployment deployment({ .entries = 2, .executors = 0, .workers = 1 });
  REQUIRE(deployment.Start());
  REQUIRE(deployment.PublishNote(kNote).exit == 0);
  REQUIRE(SubmitGang(deployment,
                     deployment.entries[0],
                     { .id = "warm-up", .members = 1, .runMs = 10 }));
  REQUIRE(WaitForPhase(deployment, deployment.entries[0], "warm-up", "ended"));
  frontend::HttpRequest request;
  request.method = "DELETE";
  request.path = "/v1/jobs/slow";
  request.headers = { { "X-Client-Account", "lamps" }, { "X-Caller", "test" } };
  std::uint16_t status = 0;
  const auto cancel = [&](std::size_t aEntry) {
    const auto result =
      deployment.Send(deployment.entries[aEntry].http, request);
    status = result.response.has_value() ? result.response.value().status : 0;
  };
  deployment.ControlLog(R"({"delayMs":2000})");
  std::thread submission([&] {
    TrySubmitGang(
      deployment, deployment.entries[0], { .id = "slow", .members = 1 });
  });
  const bool isInDoubt = Deployment::WaitUntil([&] {
    std::this_thread::sleep_for(kInterval);
    cancel(0);
    return status != kNotFound;
  });
  CHECK(isInDoubt);
  CHECK(status == kOutcomeUnknown);
  cancel(1);
  CHECK(status == kOutcomeUnknown);
  deployment.ControlLog(R"({"delayMs":0})");
  submission.join();
  CHECK(Deployment::WaitUntil([&] {
    cancel(0);
    return status == kCancelled;
  }));
  CHECK(WaitForPhase(deployment, deployment.entries[1], "slow", "ended"));
}

// Guards against a job that is accepted twice or not at all when the log
// appends its acceptance record but the append response is lost.
TEST_CASE("a job is accepted once when the append response is lost")
{
  Deployment deployment({ .entries = 1, .executors = 0, .workers = 2 });
  REQUIRE(deployment.Start());
  REQUIRE(deployment.PublishNote(kNote).exit == 0);
  REQUIRE(SubmitGang(deployment,
                     deployment.entries[0],
                     { .id = "warm-up", .members = 1, .runMs = 10 }));
  REQUIRE(WaitForPhase(deployment, deployment.entries[0], "warm-up", "ended"));
  deployment.ControlLog(R"({"mode":"lose-answers"})");
  CHECK(SubmitGang(deployment,
                   deployment.entries[0],
                   { .id = "once", .members = 2, .runMs = 10 }));
  deployment.ControlLog(R"({"mode":"up"})");
  REQUIRE(WaitForPhase(deployment, deployment.entries[0], "once", "ended"));
  const auto state = GetJobState(deployment, deployment.entries[0], "once");
  CHECK(state->at("outcome").as_string() == "succeeded");
  CHECK(state->at("runs").to_number<int>() == 1);
}
