#include "Scenario.h"

#include <doctest/doctest.h>

using namespace amaranthwind;
using namespace amaranthwind::endtoend;
using harness::Deployment;

namespace {

/**
 * Guarantees "lamps" two whole workers in one rack; "guests" has no guarantee.
 * Jobs of kind "study" are preemptible.
 */
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
MakeBorrowerRequest(std::string_view aMethod, std::string_view aPath)
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
    const auto result = aDeployment.Send(
      aDeployment.entries[0].http, MakeBorrowerRequest("POST", "/v1/jobs"));
    return result.response.has_value() && result.response.value().status < 300;
  });
}

} // namespace

// Guards against guaranteed accelerators that stay with a borrower: a client
// account's guaranteed accelerators can always be reclaimed.
TEST_CASE("borrowed guaranteed workers are reclaimed for their account")
{
  Deployment deployment({ .entries = 1, .executors = 0, .workers = 3 });
  REQUIRE(deployment.Start());
  REQUIRE(deployment.PublishNote(kGuaranteeNote).exit == 0);
  REQUIRE(WaitForPolicyVersion(deployment, 1));
  REQUIRE(SubmitBorrower(deployment));
  REQUIRE(Deployment::WaitUntil(
    [&] { return CountTasksByState(deployment)["running"] == 3; }));
  REQUIRE(SubmitGang(deployment,
                     deployment.entries[0],
                     { .id = "owner", .members = 2, .runMs = 100 }));
  REQUIRE(WaitForPhase(deployment, deployment.entries[0], "owner", "ended"));
  const auto owner = GetJobState(deployment, deployment.entries[0], "owner");
  CHECK(owner->at("outcome").as_string() == "succeeded");
  // All members of the borrower were stopped; it restarts once workers are
  // free.
  CHECK(CountTasksByState(deployment)["stopped"] == 3);
  CHECK(Deployment::WaitUntil(
    [&] { return CountTasksByState(deployment)["running"] == 3; }));
}

// Guards against a cancelled job that keeps running or that ends as failed.
TEST_CASE("a cancelled gang stops on all its workers and ends as cancelled")
{
  Deployment deployment({ .entries = 2, .executors = 0, .workers = 3 });
  REQUIRE(deployment.Start());
  REQUIRE(deployment.PublishNote(kGuaranteeNote).exit == 0);
  REQUIRE(WaitForPolicyVersion(deployment, 1));
  REQUIRE(SubmitBorrower(deployment));
  REQUIRE(Deployment::WaitUntil(
    [&] { return CountTasksByState(deployment)["running"] == 3; }));
  auto otherAccountRequest = MakeBorrowerRequest("DELETE", "/v1/jobs/borrower");
  otherAccountRequest.headers[0].value = "lamps";
  const auto rejected =
    deployment.Send(deployment.entries[0].http, otherAccountRequest);
  CHECK(rejected.response.value().status == 404);
  for (const auto& entry : deployment.entries) {
    // The second cancellation finds nothing left to do and also returns 202.
    const auto cancelled = deployment.Send(
      entry.http, MakeBorrowerRequest("DELETE", "/v1/jobs/borrower"));
    CHECK(cancelled.response.value().status == 202);
  }
  REQUIRE(WaitForPhase(deployment, deployment.entries[1], "borrower", "ended"));
  const auto state = GetJobState(deployment, deployment.entries[1], "borrower");
  CHECK(state->at("outcome").as_string() == "cancelled");
  CHECK(Deployment::WaitUntil(
    [&] { return CountTasksByState(deployment)["stopped"] == 3; }));
}
