#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/base/Result.h"
#include "amaranthwind/dispatch/WorkerReport.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace amaranthwind::agent {

/** Time on the worker's steady clock, which may run up to 2% slow. */
using WorkerClockTime = std::chrono::milliseconds;

struct StartRequest
{
  /** A worker with another id rejects the request. */
  base::TargetId worker;
  job::TaskRun run;
  std::string payload;
  std::string checkpoint;
  base::FencingToken token;
  /** End of the worker's lease; never shortens the current one. */
  WorkerClockTime deadline{};
};

struct StopRequest
{
  base::TargetId worker;
  job::TaskRun run;
  base::FencingToken token;
};

enum class WorkerRequestResult : std::uint8_t
{
  Accepted,
  Refused,        // The request had no effect; see `reason`.
  Fenced,         // The worker has seen a higher token.
  WorkerReplaced, // The address belongs to another worker now.
  NoReply,        // The request may still take effect, even seconds later.
};

struct WorkerRequestReply
{
  WorkerRequestResult result = WorkerRequestResult::NoReply;
  std::string reason;
};

/** Long poll that renews the lease and lists running and ended tasks. */
struct HoldRequest
{
  base::TargetId worker;
  base::FencingToken token;
  /** Unset: the lease is not changed. */
  std::optional<WorkerClockTime> deadline;
  /** The worker discards its records of ended tasks up to this number. */
  std::uint64_t lastSeen = 0;
  /** How long the worker delays its response while no task ends. */
  std::chrono::milliseconds wait{};
};

struct HoldReply
{
  WorkerClockTime clock{};
  /** When the worker started, in Unix milliseconds; 0 if not reported. */
  std::uint64_t born = 0;
  std::vector<dispatch::RunningTask> running;
  /** The first ones that the worker has not forgotten. */
  std::vector<dispatch::EndedTask> ended;
  /** The worker lists further ends once these are forgotten. */
  bool mayHaveMoreEnds = false;
};

/** API of the worker on the same VM. Handlers run once, on any thread. */
class WorkerPort
{
public:
  virtual ~WorkerPort() = default;
  virtual void Start(const StartRequest& aRequest,
                     std::function<void(WorkerRequestReply)> aHandler) = 0;
  virtual void Stop(const StopRequest& aRequest,
                    std::function<void(WorkerRequestReply)> aHandler) = 0;
  /**
   * Errors: TimedOut, ConnectFailed (nothing listens at the address),
   * ConnectionClosed, Malformed, StaleToken,
   * UnknownPath (the address belongs to another worker), TargetFailed.
   */
  virtual void Hold(const HoldRequest& aRequest,
                    std::function<void(base::Result<HoldReply>)> aHandler) = 0;
};

/** Sends the agent's messages to the coordinator. */
class CoordinatorPort
{
public:
  virtual ~CoordinatorPort() = default;
  virtual void SendReport(std::uint64_t aSequence,
                          base::FencingToken aToken,
                          const dispatch::WorkerReport& aReport) = 0;
  virtual void SendOutcome(const ledger::WorkerIncarnation& aIncarnation,
                           const job::TaskRun& aRun,
                           dispatch::OrderOutcome aOutcome) = 0;
};

} // namespace amaranthwind::agent
