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
GetDump(Deployment& aDeployment, const harness::Node& aNode)
{
  const auto result = aDeployment.Get(aNode.admin, "/dump");
  if (result.response.has_error() || result.response.value().status != 200) {
    return {};
  }
  return json::parse(result.response.value().body).as_object();
}

/** The dump section named aName; an empty object if there is none. */
json::object
FindSection(const json::object& aDump, std::string_view aName)
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

/** A value of a dump section; -1 if it is missing. */
std::int64_t
GetValue(const json::object& aSection, std::string_view aName)
{
  const auto* values = aSection.if_contains("values");
  const auto* value =
    values == nullptr ? nullptr : values->as_object().if_contains(aName);
  return value == nullptr ? -1 : value->to_number<std::int64_t>();
}

const json::array&
GetRows(const json::object& aSection, std::string_view aTable)
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
SendQuoteCheck(Deployment& aDeployment, const harness::Node& aEntry)
{
  const auto result = aDeployment.Send(
    aEntry.http, Deployment::MakeRequest("lamps", "quote-check", "{}"));
  return result.response.has_value() && result.response.value().status == 200;
}

/** Value of the metric aName, labels included; -1 if it is missing. */
double
GetMetric(Deployment& aDeployment,
          const harness::Node& aNode,
          std::string_view aName)
{
  const auto result = aDeployment.Get(aNode.admin, "/metrics");
  if (result.response.has_error()) {
    return -1;
  }
  const std::string prefix = "\namaranthwind_" + std::string(aName) + " ";
  const std::string& text = result.response.value().body;
  const auto position = text.find(prefix);
  return position == std::string::npos
           ? -1
           : std::stod(text.substr(position + prefix.size()));
}

/** Sum of the metric over all nodes; a node without it counts as 0. */
double
SumMetric(Deployment& aDeployment,
          const std::vector<harness::Node>& aNodes,
          std::string_view aName)
{
  double sum = 0;
  for (const auto& node : aNodes) {
    sum += std::max(0.0, GetMetric(aDeployment, node, aName));
  }
  return sum;
}

void
RunGangToEnd(Deployment& aDeployment)
{
  frontend::HttpRequest request;
  request.method = "POST";
  request.path = "/v1/jobs";
  request.headers = { { "X-Client-Account", "lamps" }, { "X-Caller", "test" } };
  request.body = R"({
    "id": "job-1", "kind": "simulation", "maxRuns": 1,
    "shape": { "members": 2, "perMember": { "accelerators": 8 } },
    "payload": "{\"runMs\":100}" })";
  // Each attempt goes to the next entry, as behind a load balancer.
  std::size_t attempt = 0;
  std::string lastResponse;
  const bool isAccepted = Deployment::WaitUntil([&] {
    const auto& entry =
      aDeployment.entries[attempt++ % aDeployment.entries.size()];
    const auto result = aDeployment.Send(entry.http, request);
    lastResponse = result.response.has_value() ? result.response.value().body
                                               : "no response";
    return result.response.has_value() && result.response.value().status < 300;
  });
  INFO(lastResponse);
  REQUIRE(isAccepted);
  REQUIRE(Deployment::WaitUntil([&] {
    const auto result =
      aDeployment.Get(aDeployment.entries[0].http, "/v1/jobs/job-1");
    return result.response.has_value() &&
           result.response.value().body.find(R"("ended")") != std::string::npos;
  }));
}

} // namespace

// Guards against a component that is missing from the dump, and against stale
// snapshots after an event loop has stopped publishing: the dumped values must
// match the work that the test ran.
TEST_CASE("dump: values match the work that was run")
{
  Deployment deployment({ .entries = 2, .executors = 1, .workers = 2 });
  REQUIRE(deployment.Start());
  REQUIRE(deployment.PublishNote(kNote).exit == 0);
  const auto& entry = deployment.entries[0];
  REQUIRE(
    Deployment::WaitUntil([&] { return SendQuoteCheck(deployment, entry); }));
  const auto before =
    GetValue(FindSection(GetDump(deployment, entry), "requests"), "done");
  for (int i = 0; i < kRequests; ++i) {
    REQUIRE(SendQuoteCheck(deployment, entry));
  }
  RunGangToEnd(deployment);

  const auto dump = GetDump(deployment, entry);
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
  CHECK(GetValue(FindSection(dump, "requests"), "done") == before + kRequests);
  CHECK(GetValue(FindSection(dump, "policy"), "version") == 1);
  CHECK(GetRows(FindSection(dump, "policy"), "kinds").size() == 2);
  CHECK(GetRows(FindSection(dump, "entries"), "entries").size() == 2);
  CHECK(GetRows(FindSection(dump, "targets"), "targets").size() == 3);
  CHECK(GetRows(FindSection(dump, "routes"), "routes").size() == 1);
  // Exactly one entry is the coordinator, and it shows the workers as free
  // again.
  CHECK(Deployment::WaitUntil([&] {
    int coordinators = 0;
    for (const auto& node : deployment.entries) {
      const auto cells = FindSection(GetDump(deployment, node), "cells");
      const auto& row = GetRows(cells, "cells").at(0).as_array();
      const bool isIdle =
        row.at(5).to_number<int>() == 0 && row.at(9).to_number<int>() == 16;
      coordinators += row.at(1).as_bool() && isIdle ? 1 : 0;
    }
    return coordinators == 1;
  }));

  const auto executor = GetDump(deployment, deployment.executorDaemons[0]);
  CHECK(SectionNames(executor) ==
        std::set<std::string>{ "target", "links", "requests" });
  CHECK(GetRows(FindSection(executor, "links"), "links").size() == 2);
  CHECK(GetValue(FindSection(executor, "requests"), "running") == 0);
  const auto worker = GetDump(deployment, deployment.workerDaemons[0]);
  CHECK(SectionNames(worker) ==
        std::set<std::string>{ "target", "links", "gangs" });
  // The snapshot can be up to 250 ms old.
  CHECK(Deployment::WaitUntil([&] {
    const auto now = GetDump(deployment, deployment.workerDaemons[0]);
    return GetRows(FindSection(now, "gangs"), "tasks").empty();
  }));
  CHECK(GetValue(FindSection(worker, "target"), "noteOffset") ==
        GetValue(FindSection(dump, "policy"), "noteOffset"));
}

// Guards against a dump that blocks on the I/O or admission threads. It has to
// respond under overload, when it is needed most.
TEST_CASE("dump: responds while the entry is overloaded")
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
    Deployment::WaitUntil([&] { return SendQuoteCheck(deployment, entry); }));
  std::atomic<bool> isStopped{ false };
  constexpr std::size_t kCallers = 32;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.emplace_back([&] {
      while (!isStopped.load()) {
        (void)SendQuoteCheck(deployment, entry);
      }
    });
  }
  const bool isOverloaded = Deployment::WaitUntil([&] {
    return GetValue(FindSection(GetDump(deployment, entry), "admission"),
                    "waiting") >= 8;
  });
  int completeDumps = 0;
  for (int i = 0; i < 20; ++i) {
    const auto dump = GetDump(deployment, entry);
    completeDumps +=
      GetValue(FindSection(dump, "admission"), "inUse") > 0 ? 1 : 0;
  }
  isStopped.store(true);
  for (auto& caller : callers) {
    caller.join();
  }
  CHECK(isOverloaded);
  CHECK(completeDumps == 20);
}

// Guards against metrics that are registered but never updated: the values must
// match the work that the test ran.
TEST_CASE("metrics: values match the work that was run")
{
  Deployment deployment({ .entries = 2, .executors = 1, .workers = 2 });
  REQUIRE(deployment.Start());
  REQUIRE(deployment.PublishNote(kNote).exit == 0);
  const auto& entry = deployment.entries[0];
  const auto metric = [&](std::string_view aName) {
    return GetMetric(deployment, entry, aName);
  };
  REQUIRE(
    Deployment::WaitUntil([&] { return SendQuoteCheck(deployment, entry); }));
  constexpr std::string_view kDoneRequests =
    R"(requests_total{kind="quote-check",outcome="done"})";
  const double before = metric(kDoneRequests);
  for (int i = 0; i < kRequests; ++i) {
    REQUIRE(SendQuoteCheck(deployment, entry));
  }
  (void)deployment.Send(entry.http,
                        Deployment::MakeRequest("nobody", "quote-check", "{}"));
  RunGangToEnd(deployment);

  CHECK(metric(kDoneRequests) == before + kRequests);
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

  const auto sumOverEntries = [&](std::string_view aName) {
    return SumMetric(deployment, deployment.entries, aName);
  };
  CHECK(Deployment::WaitUntil([&] {
    return sumOverEntries(R"(job_completion_seconds_count{zone="tw-1"})") == 1;
  }));
  CHECK(sumOverEntries(
          R"(gang_attempts_total{result="succeeded",zone="tw-1"})") == 1);
  CHECK(sumOverEntries(R"(urgent_start_seconds_count{zone="tw-1"})") == 1);
  CHECK(sumOverEntries(R"(gang_partial_starts_total{zone="tw-1"})") == 0);
  CHECK(sumOverEntries(R"(log_appends_total{result="appended"})") >= 4);
  CHECK(Deployment::WaitUntil([&] {
    return sumOverEntries(R"(cell_coordinator{zone="tw-1"})") == 1 &&
           sumOverEntries(R"(cell_free_accelerators{zone="tw-1"})") == 16;
  }));

  const auto& executor = deployment.executorDaemons[0];
  CHECK(GetMetric(deployment, executor, "target_requests_admitted_total") >=
        before + kRequests);
  CHECK(GetMetric(deployment, executor, "service_seconds_count") >=
        before + kRequests);
  CHECK(SumMetric(deployment,
                  deployment.workerDaemons,
                  R"(tasks_total{result="succeeded"})") == 2);
  CHECK(SumMetric(deployment,
                  deployment.workerDaemons,
                  "work_after_leaving_total") == 0);
}
