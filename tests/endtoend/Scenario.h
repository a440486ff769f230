#pragma once

#include "harness/Deployment.h"

#include <boost/json.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace amaranthwind::endtoend {

/** Kinds "quote" and "reservation" of requests, "simulation" of gangs. */
inline constexpr std::string_view kNote = R"({
  "base": 0,
  "changes": [
    { "putKind": { "id": "quote", "class": "request", "idempotent": true } },
    { "putKind": { "id": "reservation", "class": "request", "idempotent": false } },
    { "putKind": { "id": "simulation", "class": "gang", "maxRuns": 2 } },
    { "putAccount": { "id": "lamps" } }
  ]
})";

/** A note that adds one account to the policy of the given version. */
std::string
MakeAccountNote(unsigned aBase, std::string_view aAccount);

/** Specification of a gang that takes whole workers of one rack. */
struct GangJob
{
  std::string id;
  unsigned members = 2;
  unsigned maxRuns = 1;
  unsigned runMs = 1000;
};

/** Submits until the job is accepted, which its id makes safe. */
bool
SubmitGang(harness::Deployment& aDeployment,
           const harness::Node& aEntry,
           const GangJob& aJob);

/** One submission; the answer as it is. */
frontend::HttpResult
TrySubmitGang(harness::Deployment& aDeployment,
              const harness::Node& aEntry,
              const GangJob& aJob);

/** State of the job as the entry tells it; nothing if it does not. */
std::optional<boost::json::value>
JobState(harness::Deployment& aDeployment,
         const harness::Node& aEntry,
         std::string_view aId);

/** Waits until the phase of the job is the given one. */
bool
WaitForPhase(harness::Deployment& aDeployment,
             const harness::Node& aEntry,
             std::string_view aId,
             std::string_view aPhase);

/** Tasks of all workers by state, for example {"running": 2}. */
std::map<std::string, int>
TaskStates(harness::Deployment& aDeployment);

/** How often the executors ran each request body, over all executors. */
std::map<std::string, std::uint64_t>
ExecutorRuns(harness::Deployment& aDeployment);

/** Version of the policy that the entry has in force; 0 if it is silent. */
std::uint64_t
PolicyVersion(harness::Deployment& aDeployment, const harness::Node& aEntry);

/** Waits until all entries have the version in force. */
bool
WaitForVersion(harness::Deployment& aDeployment, std::uint64_t aVersion);

/** Index of the entry that coordinates the cell "tw-1", by its dump. */
std::optional<std::size_t>
FindCoordinator(harness::Deployment& aDeployment);

/**
 * Callers that send quotes one after the other until stopped. Each goes to the
 * next ready entry, as a load balancer would send it.
 */
class QuoteLoad
{
public:
  QuoteLoad(harness::Deployment& aDeployment, unsigned aCallers);
  ~QuoteLoad();
  QuoteLoad(const QuoteLoad&) = delete;
  QuoteLoad& operator=(const QuoteLoad&) = delete;

  /** Waits until so many more have been answered with 200. */
  bool WaitForMore(unsigned aCount);
  void Stop();
  /** Status and body of the first answer that was not 200; empty if none. */
  std::string FirstRefusal();

  std::atomic<unsigned> done{ 0 };
  /** Answers of another status, and requests without an answer. */
  std::atomic<unsigned> refused{ 0 };
  std::atomic<unsigned> lost{ 0 };

private:
  void Run(unsigned aCaller);

  harness::Deployment& deployment;
  std::atomic<bool> isStopped{ false };
  std::mutex mutex;
  std::string firstRefusal;
  std::vector<std::thread> threads;
};

} // namespace amaranthwind::endtoend
