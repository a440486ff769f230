#include "Scenario.h"

#include <algorithm>
#include <utility>

namespace amaranthwind::endtoend {

namespace json = boost::json;
using harness::Deployment;
using harness::Node;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kFirstNonSuccessStatus = 300;

json::value
ParseBody(const frontend::HttpResult& aResult)
{
  if (aResult.response.has_error()) {
    return nullptr;
  }
  boost::system::error_code error;
  auto value = json::parse(aResult.response.value().body, error);
  return error ? json::value(nullptr) : value;
}

} // namespace

std::string
MakeAccountNote(unsigned aBase, std::string_view aAccount)
{
  const json::object note{
    { "base", aBase },
    { "changes",
      json::array{
        json::object{ { "putAccount", json::object{ { "id", aAccount } } } } } }
  };
  return json::serialize(note);
}

frontend::HttpResult
TrySubmitGang(Deployment& aDeployment, const Node& aEntry, const GangJob& aJob)
{
  const json::object payload{ { "runMs", aJob.runMs } };
  const json::object shape{ { "members", aJob.members },
                            { "perMember",
                              json::object{ { "accelerators", 8 } } },
                            { "adjacency", "same-rack" } };
  const json::object spec{ { "id", aJob.id },
                           { "kind", "simulation" },
                           { "maxRuns", aJob.maxRuns },
                           { "shape", shape },
                           { "payload", json::serialize(payload) } };
  frontend::HttpRequest request;
  request.method = "POST";
  request.path = "/v1/jobs";
  request.headers = { { "X-Client-Account", "lamps" }, { "X-Caller", "test" } };
  request.body = json::serialize(spec);
  return aDeployment.Send(aEntry.http, std::move(request));
}

bool
SubmitGang(Deployment& aDeployment, const Node& aEntry, const GangJob& aJob)
{
  return Deployment::WaitUntil([&] {
    const auto result = TrySubmitGang(aDeployment, aEntry, aJob);
    return result.response.has_value() &&
           result.response.value().status < kFirstNonSuccessStatus;
  });
}

std::optional<json::value>
GetJobState(Deployment& aDeployment, const Node& aEntry, std::string_view aId)
{
  const auto result =
    aDeployment.Get(aEntry.http, "/v1/jobs/" + std::string(aId));
  if (result.response.has_error() || result.response.value().status != kOk) {
    return std::nullopt;
  }
  return ParseBody(result);
}

bool
WaitForPhase(Deployment& aDeployment,
             const Node& aEntry,
             std::string_view aId,
             std::string_view aPhase)
{
  return Deployment::WaitUntil([&] {
    const auto state = GetJobState(aDeployment, aEntry, aId);
    return state && state->at("phase").as_string() == aPhase;
  });
}

std::map<std::string, int>
CountTasksByState(Deployment& aDeployment)
{
  std::map<std::string, int> states;
  for (const auto& worker : aDeployment.workers) {
    const auto tasks = ParseBody(aDeployment.Get(worker.http, "/tasks"));
    if (!tasks.is_array()) {
      continue;
    }
    for (const auto& task : tasks.as_array()) {
      ++states[std::string(task.at("state").as_string())];
    }
  }
  return states;
}

std::map<std::string, std::uint64_t>
CountRunsByBody(Deployment& aDeployment)
{
  std::map<std::string, std::uint64_t> runs;
  for (const auto& executor : aDeployment.executors) {
    const auto counts = ParseBody(aDeployment.Get(executor.http, "/runs"));
    if (!counts.is_object()) {
      continue;
    }
    for (const auto& count : counts.as_object()) {
      runs[std::string(count.key())] +=
        count.value().to_number<std::uint64_t>();
    }
  }
  return runs;
}

std::uint64_t
GetPolicyVersion(Deployment& aDeployment, const Node& aEntry)
{
  const auto note = ParseBody(aDeployment.Get(aEntry.http, "/v1/note"));
  return note.is_object() ? note.at("version").to_number<std::uint64_t>() : 0;
}

bool
WaitForPolicyVersion(Deployment& aDeployment, std::uint64_t aVersion)
{
  return Deployment::WaitUntil([&] {
    const auto& entries = aDeployment.entries;
    return std::all_of(entries.begin(), entries.end(), [&](const auto& aEntry) {
      return GetPolicyVersion(aDeployment, aEntry) == aVersion;
    });
  });
}

namespace {

/** Whether the dump of the entry shows it as coordinator of a cell. */
bool
IsCoordinator(Deployment& aDeployment, const Node& aEntry)
{
  constexpr std::size_t kIsCoordinatorColumn = 1;
  const auto dump = ParseBody(aDeployment.Get(aEntry.admin, "/dump"));
  if (!dump.is_object()) {
    return false;
  }
  for (const auto& section : dump.at("sections").as_array()) {
    if (section.at("name").as_string() != "cells") {
      continue;
    }
    for (const auto& row :
         section.at("tables").at("cells").at("rows").as_array()) {
      if (row.at(kIsCoordinatorColumn).as_bool()) {
        return true;
      }
    }
  }
  return false;
}

} // namespace

std::optional<std::size_t>
FindCoordinator(Deployment& aDeployment)
{
  std::optional<std::size_t> found;
  Deployment::WaitUntil([&] {
    for (std::size_t i = 0; i < aDeployment.entries.size(); ++i) {
      if (IsCoordinator(aDeployment, aDeployment.entries[i])) {
        found = i;
      }
    }
    return found.has_value();
  });
  return found;
}

QuoteLoad::QuoteLoad(Deployment& aDeployment, unsigned aCallers)
  : deployment(aDeployment)
{
  this->threads.reserve(aCallers);
  for (unsigned i = 0; i < aCallers; ++i) {
    this->threads.emplace_back([this, i] { this->Run(i); });
  }
}

QuoteLoad::~QuoteLoad()
{
  this->Stop();
}

void
QuoteLoad::Run(unsigned aCaller)
{
  unsigned requestNumber = 0;
  while (!this->isStopped.load()) {
    const auto& entries = this->deployment.entries;
    const auto& entry = entries[(aCaller + requestNumber) % entries.size()];
    ++requestNumber;
    if (!this->deployment.IsReady(entry)) {
      std::this_thread::sleep_for(1ms);
      continue;
    }
    const auto result = this->deployment.Send(
      entry.http,
      Deployment::MakeRequest("lamps",
                              "quote",
                              "quote " + std::to_string(aCaller) + "." +
                                std::to_string(requestNumber)));
    if (result.response.has_error()) {
      ++this->unanswered;
    } else if (result.response.value().status == kOk) {
      ++this->succeeded;
    } else {
      ++this->rejected;
      const auto& response = result.response.value();
      std::lock_guard lock(this->mutex);
      if (this->firstErrorResponse.empty()) {
        this->firstErrorResponse =
          std::to_string(response.status) + " " + response.body;
      }
    }
  }
}

std::string
QuoteLoad::FirstErrorResponse()
{
  std::lock_guard lock(this->mutex);
  return this->firstErrorResponse;
}

bool
QuoteLoad::WaitForSuccesses(unsigned aCount)
{
  const unsigned successGoal = this->succeeded.load() + aCount;
  return Deployment::WaitUntil(
    [&] { return this->succeeded.load() >= successGoal; });
}

void
QuoteLoad::Stop()
{
  this->isStopped.store(true);
  for (auto& thread : this->threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

} // namespace amaranthwind::endtoend
