#include "harness/Deployment.h"

#include <doctest/doctest.h>

#include <boost/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace amaranthwind;
using harness::Deployment;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view kNote = R"({
  "base": 0,
  "changes": [
    { "putKind": { "id": "quote-check", "class": "request", "idempotent": true } },
    { "putKind": { "id": "simulation", "class": "gang", "maxRuns": 2 } },
    { "putAccount": { "id": "lamps" } }
  ]
})";

constexpr int kRequests = 25;

json::object
Dump(Deployment& aDeployment, const harness::Node& aNode)
{
  const auto result = aDeployment.Get(aNode.admin, "/dump");
  if (result.response.has_error() || result.response.value().status != 200) {
    return {};
  }
  return json::parse(result.response.value().body).as_object();
}

/** The section with this name; empty if there is none. */
json::object
Section(const json::object& aDump, std::string_view aName)
{
  const auto* sections = aDump.if_contains("sections");
  if (sections != nullptr) {
    for (const auto& section : sections->as_array()) {
      if (section.at("name").as_string() == aName) {
        return section.as_object();
      }
    }
  }
  return {};
}

std::int64_t
Number(const json::object& aSection, std::string_view aValue)
{
  const auto* values = aSection.if_contains("values");
  const auto* value =
    values == nullptr ? nullptr : values->as_object().if_contains(aValue);
  return value == nullptr ? -1 : value->to_number<std::int64_t>();
}

const json::array&
Rows(const json::object& aSection, std::string_view aTable)
{
  return aSection.at("tables").at(aTable).at("rows").as_array();
}

std::set<std::string>
SectionNames(const json::object& aDump)
{
  std::set<std::string> names;
  for (const auto& section : aDump.at("sections").as_array()) {
    names.emplace(section.at("name").as_string());
    CHECK_FALSE(section.as_object().contains("error"));
  }
  return names;
}

bool
IsRequestServed(Deployment& aDeployment, const harness::Node& aEntry)
{
  const auto result = aDeployment.Send(
    aEntry.http, Deployment::MakeRequest("lamps", "quote-check", "{}"));
  return result.response.has_value() && result.response.value().status == 200;
}

/** Value of the metric with these labels; -1 if it is not there. */
double
Metric(Deployment& aDeployment,
       const harness::Node& aNode,
       std::string_view aName)
{
  const auto result = aDeployment.Get(aNode.admin, "/metrics");
  if (result.response.has_error()) {
    return -1;
  }
  const std::string start = "\namaranthwind_" + std::string(aName) + " ";
  const std::string& text = result.response.value().body;
  const auto place = text.find(start);
  return place == std::string::npos
           ? -1
           : std::stod(text.substr(place + start.size()));
}

/** Sum over all nodes; nodes without the metric count as 0. */
double
MetricSum(Deployment& aDeployment,
          const std::vector<harness::Node>& aNodes,
          std::string_view aName)
{
  double sum = 0;
  for (const auto& node : aNodes) {
    sum += std::max(0.0, Metric(aDeployment, node, aName));
  }
  return sum;
}

void
RunGang(Deployment& aDeployment)
{
  frontend::HttpRequest request;
  request.method = "POST";
  request.path = "/v1/jobs";
  request.headers = { { "X-Client-Account", "lamps" }, { "X-Caller", "test" } };
  request.body = R"({
    "id": "job-1", "kind": "simulation", "maxRuns": 1,
    "shape": { "members": 2, "perMember": { "accelerators": 8 } },
    "payload": "{\"runMs\":100}" })";
  // As the balancer does, each attempt goes to another entry.
  std::size_t attempt = 0;
  std::string answer;
  const bool isAccepted = Deployment::WaitUntil([&] {
    const auto& entry =
      aDeployment.entries[attempt++ % aDeployment.entries.size()];
    const auto result = aDeployment.Send(entry.http, request);
    answer = result.response.has_value() ? result.response.value().body
                                         : "no response";
    return result.response.has_value() && result.response.value().status < 300;
  });
  INFO(answer);
  REQUIRE(isAccepted);
  REQUIRE(Deployment::WaitUntil([&] {
    const auto result =
      aDeployment.Get(aDeployment.entries[0].http, "/v1/jobs/job-1");
    return result.response.has_value() &&
           result.response.value().body.find(R"("ended")") != std::string::npos;
  }));
}

} // namespace

// Guards against a part that is missing from the dump, and against snapshots
// that a loop has stopped to publish: the values are those of what was run.
TEST_CASE("dumps show the state of running processes")
{
  Deployment deployment({ .entries = 2, .executors = 1, .workers = 2 });
  REQUIRE(deployment.Start());
  REQUIRE(deployment.PublishNote(kNote).exit == 0);
  const auto& entry = deployment.entries[0];
  REQUIRE(
    Deployment::WaitUntil([&] { return IsRequestServed(deployment, entry); }));
  const auto before =
    Number(Section(Dump(deployment, entry), "requests"), "done");
  for (int i = 0; i < kRequests; ++i) {
    REQUIRE(IsRequestServed(deployment, entry));
  }
  RunGang(deployment);

  const auto dump = Dump(deployment, entry);
  CHECK(dump.at("process").as_string() == "entry-1");
  CHECK(SectionNames(dump) == std::set<std::string>{ "policy",
                                                     "log",
                                                     "entries",
                                                     "targets",
                                                     "routes",
                                                     "admission",
                                                     "requests",
                                                     "cells",
                                                     "links",
                                                     "connections" });
  CHECK(Number(Section(dump, "requests"), "done") == before + kRequests);
  CHECK(Number(Section(dump, "policy"), "version") == 1);
  CHECK(Rows(Section(dump, "policy"), "kinds").size() == 2);
  CHECK(Rows(Section(dump, "entries"), "entries").size() == 2);
  CHECK(Rows(Section(dump, "targets"), "targets").size() == 3);
  CHECK(Rows(Section(dump, "routes"), "routes").size() == 1);
  // Exactly one entry coordinates; it shows the workers as free again.
  CHECK(Deployment::WaitUntil([&] {
    int coordinators = 0;
    for (const auto& node : deployment.entries) {
      const auto cells = Section(Dump(deployment, node), "cells");
      const auto& row = Rows(cells, "cells").at(0).as_array();
      const bool isIdle =
        row.at(5).to_number<int>() == 0 && row.at(9).to_number<int>() == 16;
      coordinators += row.at(1).as_bool() && isIdle ? 1 : 0;
    }
    return coordinators == 1;
  }));

  const auto executor = Dump(deployment, deployment.executorDaemons[0]);
  CHECK(SectionNames(executor) ==
        std::set<std::string>{ "target", "links", "requests" });
  CHECK(Rows(Section(executor, "links"), "links").size() == 2);
  CHECK(Number(Section(executor, "requests"), "running") == 0);
  const auto worker = Dump(deployment, deployment.workerDaemons[0]);
  CHECK(SectionNames(worker) ==
        std::set<std::string>{ "target", "links", "gangs" });
  // The snapshot is up to a quarter of a second old.
  CHECK(Deployment::WaitUntil([&] {
    const auto now = Dump(deployment, deployment.workerDaemons[0]);
    return Rows(Section(now, "gangs"), "tasks").empty();
  }));
  CHECK(Number(Section(worker, "target"), "noteOffset") ==
        Number(Section(dump, "policy"), "noteOffset"));
}

// Guards against a dump that waits for the I/O or the admission threads: under
// overload it is needed most.
TEST_CASE("the dump is readable while requests overload the entry")
{
  Deployment deployment({ .entries = 1,
                          .executors = 1,
                          .workers = 0,
                          .slots = 1,
                          .serviceTime = 50ms });
  REQUIRE(deployment.Start());
  REQUIRE(deployment.PublishNote(kNote).exit == 0);
  const auto& entry = deployment.entries[0];
  REQUIRE(
    Deployment::WaitUntil([&] { return IsRequestServed(deployment, entry); }));
  std::atomic<bool> isOver{ false };
  constexpr std::size_t kCallers = 32;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.emplace_back([&] {
      while (!isOver.load()) {
        (void)IsRequestServed(deployment, entry);
      }
    });
  }
  const bool isOverloaded = Deployment::WaitUntil([&] {
    return Number(Section(Dump(deployment, entry), "admission"), "waiting") >=
           8;
  });
  int readable = 0;
  for (int i = 0; i < 20; ++i) {
    const auto dump = Dump(deployment, entry);
    readable += Number(Section(dump, "admission"), "inUse") > 0 ? 1 : 0;
  }
  isOver.store(true);
  for (auto& caller : callers) {
    caller.join();
  }
  CHECK(isOverloaded);
  CHECK(readable == 20);
}

// Guards against metrics that are registered and never updated: the values are
// those of what was run.
TEST_CASE("metrics agree with what was run")
{
  Deployment deployment({ .entries = 2, .executors = 1, .workers = 2 });
  REQUIRE(deployment.Start());
  REQUIRE(deployment.PublishNote(kNote).exit == 0);
  const auto& entry = deployment.entries[0];
  const auto metric = [&](std::string_view aName) {
    return Metric(deployment, entry, aName);
  };
  REQUIRE(
    Deployment::WaitUntil([&] { return IsRequestServed(deployment, entry); }));
  constexpr std::string_view kDone =
    R"(requests_total{kind="quote-check",outcome="done"})";
  const double before = metric(kDone);
  for (int i = 0; i < kRequests; ++i) {
    REQUIRE(IsRequestServed(deployment, entry));
  }
  (void)deployment.Send(entry.http,
                        Deployment::MakeRequest("nobody", "quote-check", "{}"));
  RunGang(deployment);

  CHECK(metric(kDone) == before + kRequests);
  CHECK(metric(R"(requests_total{kind="quote-check",outcome="bad_input"})") >=
        1);
  CHECK(metric("ready") == 1);
  CHECK(metric("policy_version") == 1);
  CHECK(metric("notes_applied_total") == 1);
  CHECK(metric("note_delay_seconds_count") >= 1);
  CHECK(metric("log_available") == 1);
  CHECK(metric("peer_connections") > 0);
  CHECK(metric("inner_sent_bytes_total") > 0);
  CHECK(metric(R"(targets{state="available"})") == 3);
  CHECK(metric(R"(account_slot_seconds_total{account="lamps"})") > 0);
  CHECK(metric("unmatched_responses_total") == 0);
  CHECK(metric("requests_interrupted_total") == 0);

  const auto cellSum = [&](std::string_view aName) {
    return MetricSum(deployment, deployment.entries, aName);
  };
  CHECK(Deployment::WaitUntil([&] {
    return cellSum(R"(job_completion_seconds_count{zone="tw-1"})") == 1;
  }));
  CHECK(cellSum(R"(gang_attempts_total{result="succeeded",zone="tw-1"})") == 1);
  CHECK(cellSum(R"(urgent_start_seconds_count{zone="tw-1"})") == 1);
  CHECK(cellSum(R"(gang_partial_starts_total{zone="tw-1"})") == 0);
  CHECK(cellSum(R"(log_appends_total{result="appended"})") >= 4);
  CHECK(Deployment::WaitUntil([&] {
    return cellSum(R"(cell_coordinator{zone="tw-1"})") == 1 &&
           cellSum(R"(cell_free_accelerators{zone="tw-1"})") == 16;
  }));

  const auto& executor = deployment.executorDaemons[0];
  CHECK(Metric(deployment, executor, "target_requests_admitted_total") >=
        before + kRequests);
  CHECK(Metric(deployment, executor, "service_seconds_count") >=
        before + kRequests);
  CHECK(MetricSum(deployment,
                  deployment.workerDaemons,
                  R"(tasks_total{result="succeeded"})") == 2);
  CHECK(MetricSum(deployment,
                  deployment.workerDaemons,
                  "work_after_leaving_total") == 0);
}
