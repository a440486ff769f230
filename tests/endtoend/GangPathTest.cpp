#include "harness/Deployment.h"

#include <doctest/doctest.h>

#include <boost/json.hpp>

using namespace amaranthwind;
using harness::Deployment;

namespace {

constexpr std::string_view kNote = R"({
  "base": 0,
  "changes": [
    { "putKind": { "id": "simulation", "class": "gang", "maxRuns": 2 } },
    { "putAccount": { "id": "lamps" } }
  ]
})";

frontend::HttpRequest
MakeSubmitRequest(std::string_view aBody)
{
  frontend::HttpRequest request;
  request.method = "POST";
  request.path = "/v1/jobs";
  request.headers = { { "X-Client-Account", "lamps" }, { "X-Caller", "test" } };
  request.body = aBody;
  return request;
}

std::string
GetPhase(const frontend::HttpResult& aResult)
{
  if (aResult.response.has_error() || aResult.response.value().status != 200) {
    return {};
  }
  const auto state = boost::json::parse(aResult.response.value().body);
  return std::string(state.at("phase").as_string());
}

} // namespace

// Guards against a break anywhere between job submission and the gang's end.
TEST_CASE("a gang job is accepted, runs on all its workers and ends")
{
  Deployment deployment({ .entries = 2, .executors = 0, .workers = 3 });
  REQUIRE(deployment.Start());
  const auto published = deployment.PublishNote(kNote);
  CAPTURE(published.output);
  REQUIRE(published.exit == 0);
  constexpr std::string_view kJob = R"({
    "id": "job-1", "kind": "simulation", "maxRuns": 1,
    "shape": { "members": 3, "perMember": { "accelerators": 8 },
               "adjacency": "same-rack" },
    "payload": "{\"runMs\":200}" })";
  // Resubmitting is safe because the job id identifies duplicates.
  REQUIRE(Deployment::WaitUntil([&] {
    const auto result =
      deployment.Send(deployment.entries[1].http, MakeSubmitRequest(kJob));
    return result.response.has_value() && result.response.value().status < 300;
  }));
  for (const auto& entry : deployment.entries) {
    CAPTURE(entry.name);
    CHECK(Deployment::WaitUntil([&] {
      return GetPhase(deployment.Get(entry.http, "/v1/jobs/job-1")) == "ended";
    }));
  }
  const auto result =
    deployment.Get(deployment.entries[0].http, "/v1/jobs/job-1");
  const auto state = boost::json::parse(result.response.value().body);
  CHECK(state.at("outcome").as_string() == "succeeded");
  CHECK(state.at("runs").to_number<int>() == 1);
  for (const auto& worker : deployment.workers) {
    const auto tasks = boost::json::parse(
      deployment.Get(worker.http, "/tasks").response.value().body);
    REQUIRE(tasks.as_array().size() == 1);
    CHECK(tasks.at(0).at("state").as_string() == "succeeded");
  }
}
