#include "Scenario.h"

#include <doctest/doctest.h>

using namespace amaranthwind;
using namespace amaranthwind::endtoend;
using harness::Deployment;

namespace {

/** "lamps" is guaranteed two whole workers of one rack; "guests" nothing. */
constexpr std::string_view kGuaranteeNote = R"({
  "base": 0,
  "changes": [
    { "putKind": { "id": "simulation", "class": "gang", "maxRuns": 2 } },
    { "putKind": { "id": "study", "class": "gang", "maxRuns": 5,
                   "urgency": 2, "preemptible": true } },
    { "putAccount": { "id": "guests" } },
    { "putAccount": { "id": "lamps", "guarantees": [
      { "zone": "tw-1", "count": 1,
        "shape": { "members": 2, "perMember": { "accelerators": 8 },
                   "adjacency": "same-rack" } } ] } }
  ]
})";

frontend::HttpRequest
MakeStudy(std::string_view aMethod, std::string_view aPath)
{
  frontend::HttpRequest request;
  request.method = aMethod;
  request.path = aPath;
  request.headers = { { "X-Client-Account", "guests" },
                      { "X-Caller", "test" } };
  request.body = R"({ "id": "borrower", "kind": "study", "maxRuns": 5,
    "shape": { "members": 3, "perMember": { "accelerators": 8 },
               "adjacency": "same-rack" },
    "payload": "{\"runMs\":3600000}" })";
  return request;
}

bool
SubmitBorrower(Deployment& aDeployment)
{
  return Deployment::WaitUntil([&] {
    const auto result = aDeployment.Send(aDeployment.entries[0].http,
                                         MakeStudy("POST", "/v1/jobs"));
    return result.response.has_value() && result.response.value().status < 300;
  });
}

} // namespace

// Guards against a guarantee that its account cannot get back (P1).
TEST_CASE("a borrowed guarantee is reclaimed as a whole for its account")
{
  Deployment deployment({ .entries = 1, .executors = 0, .workers = 3 });
  REQUIRE(deployment.Start());
  REQUIRE(deployment.PublishNote(kGuaranteeNote).exit == 0);
  REQUIRE(WaitForVersion(deployment, 1));
  REQUIRE(SubmitBorrower(deployment));
  REQUIRE(Deployment::WaitUntil(
    [&] { return TaskStates(deployment)["running"] == 3; }));
  REQUIRE(SubmitGang(deployment,
                     deployment.entries[0],
                     { .id = "owner", .members = 2, .runMs = 100 }));
  REQUIRE(WaitForPhase(deployment, deployment.entries[0], "owner", "ended"));
  const auto owner = JobState(deployment, deployment.entries[0], "owner");
  CHECK(owner->at("outcome").as_string() == "succeeded");
  // The borrower was stopped whole, and comes back when there is room.
  CHECK(TaskStates(deployment)["stopped"] == 3);
  CHECK(Deployment::WaitUntil(
    [&] { return TaskStates(deployment)["running"] == 3; }));
}

// Guards against cancelled jobs that go on, or that count as failed.
TEST_CASE("a cancelled gang stops on all its workers and ends as cancelled")
{
  Deployment deployment({ .entries = 2, .executors = 0, .workers = 3 });
  REQUIRE(deployment.Start());
  REQUIRE(deployment.PublishNote(kGuaranteeNote).exit == 0);
  REQUIRE(WaitForVersion(deployment, 1));
  REQUIRE(SubmitBorrower(deployment));
  REQUIRE(Deployment::WaitUntil(
    [&] { return TaskStates(deployment)["running"] == 3; }));
  auto foreign = MakeStudy("DELETE", "/v1/jobs/borrower");
  foreign.headers[0].value = "lamps";
  const auto refused = deployment.Send(deployment.entries[0].http, foreign);
  CHECK(refused.response.value().status == 404);
  for (const auto& entry : deployment.entries) {
    // The second one has nothing left to do, and says so.
    const auto cancelled =
      deployment.Send(entry.http, MakeStudy("DELETE", "/v1/jobs/borrower"));
    CHECK(cancelled.response.value().status == 202);
  }
  REQUIRE(WaitForPhase(deployment, deployment.entries[1], "borrower", "ended"));
  const auto state = JobState(deployment, deployment.entries[1], "borrower");
  CHECK(state->at("outcome").as_string() == "cancelled");
  CHECK(Deployment::WaitUntil(
    [&] { return TaskStates(deployment)["stopped"] == 3; }));
}
