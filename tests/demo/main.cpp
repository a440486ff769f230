// Runs a small-scale deployment of a metalworking plant: publishes a release
// note, sends quote checks while a simulation occupies a whole rack, and stops
// all daemons gracefully.

#include "harness/Deployment.h"

#include <boost/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <iterator>
#include <map>
#include <mutex>
#include <thread>

using namespace amaranthwind;
using harness::Deployment;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

constexpr int kQuoteChecks = 400;
constexpr int kCallers = 8;
constexpr std::string_view kAccount = "taoyuan-pressure-vessels";

constexpr std::string_view kSimulation = R"({
  "id": "die-profile-7711",
  "kind": "die-profile-simulation",
  "zone": "tw-1",
  "shape": { "members": 3,
             "perMember": { "accelerators": 8, "cores": 48, "memoryMiB": 98304 },
             "adjacency": "same-rack" },
  "payload": "{\"runMs\":1500}"
})";

double
ToMilliseconds(Clock::duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

/** Latencies of the quote checks, and counts by executor and HTTP status. */
struct QuoteResults
{
  std::mutex mutex;
  std::vector<double> latencies;
  std::map<std::string, int> byExecutor;
  std::map<int, int> byStatus;
};

std::string
ReadSample(const std::string& aName)
{
  std::ifstream file(std::string(AMARANTHWIND_SAMPLES) + "/" + aName);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

bool
Publish(Deployment& aDeployment)
{
  const auto published =
    aDeployment.PublishNote(ReadSample("note-rotaform.json"));
  std::cout << "\nRelease note\n" << published.output;
  return published.exit == 0;
}

bool
SubmitSimulation(Deployment& aDeployment)
{
  frontend::HttpRequest request;
  request.method = "POST";
  request.path = "/v1/jobs";
  request.headers = { { "X-Client-Account", std::string(kAccount) },
                      { "X-Caller", "press-shop" } };
  request.body = kSimulation;
  return Deployment::WaitUntil([&] {
    const auto result =
      aDeployment.Send(aDeployment.entries.front().http, request);
    return result.response.has_value() && result.response.value().status < 300;
  });
}

void
SendQuoteChecks(Deployment& aDeployment, int aCaller, QuoteResults& aResults)
{
  const auto& entry = aDeployment.entries[aCaller % aDeployment.entries.size()];
  frontend::HttpClient client(aDeployment.Pool(), { .address = entry.http });
  for (int i = aCaller; i < kQuoteChecks; i += kCallers) {
    auto request = Deployment::MakeRequest(
      kAccount, "quote-check", "quote " + std::to_string(i));
    const auto start = Clock::now();
    const auto result = client.SendAndWait(std::move(request), 10s);
    const auto latency = ToMilliseconds(Clock::now() - start);
    std::lock_guard lock(aResults.mutex);
    if (result.response.has_error()) {
      ++aResults.byStatus[0];
      continue;
    }
    const auto& response = result.response.value();
    ++aResults.byStatus[response.status];
    aResults.latencies.push_back(latency);
    if (response.status == 200) {
      const auto body = boost::json::parse(response.body);
      ++aResults.byExecutor[std::string(body.at("executor").as_string())];
    }
  }
}

void
PrintQuoteResults(QuoteResults& aResults)
{
  auto& sorted = aResults.latencies;
  std::sort(sorted.begin(), sorted.end());
  std::cout << "\nQuote checks\n";
  for (const auto& [status, count] : aResults.byStatus) {
    std::cout << "status " << status << "  " << count << "\n";
  }
  for (const auto& [executor, count] : aResults.byExecutor) {
    std::cout << executor << "  ran " << count << "\n";
  }
  if (!sorted.empty()) {
    std::cout << std::fixed << std::setprecision(1) << "median "
              << sorted[sorted.size() / 2] << " ms, 99th percentile "
              << sorted[sorted.size() * 99 / 100] << " ms, longest "
              << sorted.back() << " ms\n";
  }
}

bool
WaitForSimulation(Deployment& aDeployment, Clock::time_point aStart)
{
  boost::json::value state;
  const bool hasEnded = Deployment::WaitUntil([&] {
    const auto result = aDeployment.Get(aDeployment.entries.front().http,
                                        "/v1/jobs/die-profile-7711");
    if (result.response.has_error() || result.response.value().status != 200) {
      return false;
    }
    state = boost::json::parse(result.response.value().body);
    return state.at("phase").as_string() == "ended";
  });
  if (!hasEnded) {
    return false;
  }
  std::cout << "\nSimulation\noutcome " << state.at("outcome").as_string()
            << ", runs " << state.at("runs") << ", "
            << ToMilliseconds(Clock::now() - aStart)
            << " ms from submission to end\n";
  for (const auto& worker : aDeployment.workers) {
    const auto tasks = boost::json::parse(
      aDeployment.Get(worker.http, "/tasks").response.value().body);
    for (const auto& task : tasks.as_array()) {
      std::cout << worker.name << "  " << task.at("task").as_string() << "  "
                << task.at("accelerators") << " accelerators  "
                << task.at("state").as_string() << "\n";
    }
  }
  return state.at("outcome").as_string() == "succeeded";
}

/** Stops all daemons with SIGTERM; false unless all exit cleanly in time. */
bool
StopGracefully(Deployment& aDeployment)
{
  const auto start = Clock::now();
  bool isClean = true;
  for (auto* nodes : { &aDeployment.executorDaemons,
                       &aDeployment.workerDaemons,
                       &aDeployment.entries }) {
    for (auto& node : *nodes) {
      node.process->Signal(SIGTERM);
    }
    for (auto& node : *nodes) {
      isClean = node.process->WaitFor(30s) == 0 && isClean;
    }
  }
  std::cout << "\nAll daemons stopped " << (isClean ? "cleanly" : "with errors")
            << " in " << ToMilliseconds(Clock::now() - start) << " ms\n";
  return isClean;
}

} // namespace

int
main()
{
  Deployment deployment({ .zones = { "tw-1" },
                          .entries = 2,
                          .executors = 3,
                          .workers = 3,
                          .serviceTime = 10ms });
  if (!deployment.Start()) {
    std::cerr << "the deployment did not start\n";
    return 1;
  }
  std::cout << "Started 2 entries, 3 executors and 3 workers with their "
               "daemons, and a log service\n";
  if (!Publish(deployment)) {
    return 1;
  }
  const auto start = Clock::now();
  if (!SubmitSimulation(deployment)) {
    std::cerr << "the simulation was not accepted\n";
    return 1;
  }
  QuoteResults quotes;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] { SendQuoteChecks(deployment, i, quotes); });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  PrintQuoteResults(quotes);
  const bool hasSucceeded = WaitForSimulation(deployment, start);
  const bool isClean = StopGracefully(deployment);
  return hasSucceeded && isClean ? 0 : 1;
}
