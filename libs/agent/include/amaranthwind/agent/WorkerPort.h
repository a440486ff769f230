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

/** Time on the worker's own steady clock; it may run up to 2% slow. */
using WorkerTime = std::chrono::milliseconds;

struct StartOrder
{
  /** A worker with another id refuses the order. */
  base::TargetId worker;
  job::TaskRun run;
  std::string payload;
  std::string checkpoint;
  base::FencingToken token;
  /** Everything on the worker ends then; never shortens an earlier lease. */
  WorkerTime deadline{};
};

struct StopOrder
{
  base::TargetId worker;
  job::TaskRun run;
  base::FencingToken token;
};

enum class OrderResult : std::uint8_t
{
  Accepted,
  Refused,   // The worker did not start it; `reason` says why.
  Fenced,    // It has seen a higher token.
  OtherLife, // Another worker lives at the address now.
  NoAnswer,  // It may be carried out now or seconds later.
};

struct OrderAnswer
{
  OrderResult result = OrderResult::NoAnswer;
  std::string reason;
};

/** Renews the lease and asks what runs and what has ended. */
struct HoldOrder
{
  base::TargetId worker;
  base::FencingToken token;
  /** Nothing: the lease stays as it is. */
  std::optional<WorkerTime> deadline;
  /** Ends up to this number are forgotten by the worker. */
  std::uint64_t lastSeen = 0;
  /** How long the worker waits for an end before it answers. */
  std::chrono::milliseconds wait{};
};

struct HoldAnswer
{
  WorkerTime clock{};
  /** Start of the worker's life, Unix time in milliseconds; 0 if not given. */
  std::uint64_t born = 0;
  std::vector<dispatch::RunningTask> running;
  std::vector<dispatch::EndedTask> ended;
};

/** The worker on the same VM. Handlers are called once, on any thread. */
class WorkerPort
{
public:
  virtual ~WorkerPort() = default;
  virtual void Start(const StartOrder& aOrder,
                     std::function<void(OrderAnswer)> aHandler) = 0;
  virtual void Stop(const StopOrder& aOrder,
                    std::function<void(OrderAnswer)> aHandler) = 0;
  /**
   * Errors: TimedOut, ConnectFailed, ConnectionClosed, Malformed, StaleToken,
   * UnknownPath (another worker lives at the address), TargetFailed.
   */
  virtual void Hold(const HoldOrder& aOrder,
                    std::function<void(base::Result<HoldAnswer>)> aHandler) = 0;
};

/** The link to the coordinator. */
class CoordinatorPort
{
public:
  virtual ~CoordinatorPort() = default;
  virtual void SendReport(std::uint64_t aSequence,
                          base::FencingToken aToken,
                          const dispatch::WorkerReport& aReport) = 0;
  virtual void SendOutcome(const ledger::WorkerLife& aLife,
                           const job::TaskRun& aRun,
                           dispatch::OrderOutcome aOutcome) = 0;
};

} // namespace amaranthwind::agent
