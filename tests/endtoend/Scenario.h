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

/**
 * Release note that defines the request kinds "quote" (idempotent) and
 * "reservation" (not idempotent), the gang kind "simulation", and the client
 * account "lamps".
 */
inline constexpr std::string_view kNote = R"({
  "base": 0,
  "changes": [
    { "putKind": { "id": "quote", "class": "request", "idempotent": true } },
    { "putKind": { "id": "reservation", "class": "request", "idempotent": false } },
    { "putKind": { "id": "simulation", "class": "gang", "maxRuns": 2 } },
    { "putAccount": { "id": "lamps" } }
  ]
})";

/** Release note that adds one client account to policy version aBase. */
std::string
MakeAccountNote(unsigned aBase, std::string_view aAccount);

/** Gang specification; each member takes a whole worker, all in one rack. */
struct GangJob
{
  std::string id;
  unsigned members = 2;
  unsigned maxRuns = 1;
  unsigned runMs = 1000;
};

/**
 * Submits the job repeatedly until it is accepted. Resubmitting is safe because
 * the job id identifies duplicates.
 */
bool
SubmitGang(harness::Deployment& aDeployment,
           const harness::Node& aEntry,
           const GangJob& aJob);

/** Submits the job once and returns the response. */
frontend::HttpResult
TrySubmitGang(harness::Deployment& aDeployment,
              const harness::Node& aEntry,
              const GangJob& aJob);

/** Job state reported by the entry; nullopt unless the response is 200. */
std::optional<boost::json::value>
GetJobState(harness::Deployment& aDeployment,
            const harness::Node& aEntry,
            std::string_view aId);

/** Waits until the job is in phase aPhase; false on timeout. */
bool
WaitForPhase(harness::Deployment& aDeployment,
             const harness::Node& aEntry,
             std::string_view aId,
             std::string_view aPhase);

/** Number of tasks on all workers by state, for example {"running": 2}. */
std::map<std::string, int>
CountTasksByState(harness::Deployment& aDeployment);

/** Number of runs of each request body, summed over all executors. */
std::map<std::string, std::uint64_t>
CountRunsByBody(harness::Deployment& aDeployment);

/** Policy version in force on the entry; 0 if it does not respond. */
std::uint64_t
GetPolicyVersion(harness::Deployment& aDeployment, const harness::Node& aEntry);

/** Waits until policy version aVersion is in force on every entry. */
bool
WaitForPolicyVersion(harness::Deployment& aDeployment, std::uint64_t aVersion);

/** Index of the entry whose dump shows it as coordinator of cell "tw-1". */
std::optional<std::size_t>
FindCoordinator(harness::Deployment& aDeployment);

/**
 * Closed-loop load: each caller thread sends one quote request at a time until
 * stopped, round-robin over the ready entries, as a load balancer would.
 */
class QuoteLoad
{
public:
  QuoteLoad(harness::Deployment& aDeployment, unsigned aCallers);
  ~QuoteLoad();
  QuoteLoad(const QuoteLoad&) = delete;
  QuoteLoad& operator=(const QuoteLoad&) = delete;

  /** Waits for aCount more responses with status 200. */
  bool WaitForSuccesses(unsigned aCount);
  void Stop();
  /** Status and body of the first response that was not 200; empty if none. */
  std::string FirstErrorResponse();

  std::atomic<unsigned> succeeded{ 0 };
  /** Responses with a status other than 200. */
  std::atomic<unsigned> rejected{ 0 };
  /** Requests that got no response. */
  std::atomic<unsigned> unanswered{ 0 };

private:
  void Run(unsigned aCaller);

  harness::Deployment& deployment;
  std::atomic<bool> isStopped{ false };
  std::mutex mutex;
  std::string firstErrorResponse;
  std::vector<std::thread> threads;
};

} // namespace amaranthwind::endtoend
