#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/fleet/TaskResources.h"
#include "amaranthwind/job/TaskId.h"
#include "amaranthwind/ledger/Records.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace amaranthwind::dispatch {

/**
 * Numbers the orders of one coordinator's term in the order in which they are
 * sent, from 1; 0 stands for no order, or for one without a number.
 */
using OrderNumber = base::StrongNumber<struct OrderNumberTag>;

/** Identifies an order to an agent. */
struct OrderId
{
  /** Fencing token of the coordinator that sent the order. */
  base::FencingToken token;
  OrderNumber number;

  bool operator==(const OrderId&) const = default;
};

/** How a run ended. */
enum class EndKind : std::uint8_t
{
  Done,
  Failed,  // The task or the worker failed; counts as an attempt.
  Stopped, // Stopped by an order.
  Lapsed,  // The worker's lease expired.
  Broken,  // Another member of the gang ended.
  Alone,   // The other gang members did not arrive in time.
};

/** A run that is on a worker or that its agent is about to start. */
struct RunningTask
{
  job::TaskRun run;
  /** Latest checkpoint; empty if there is none. */
  std::string checkpoint;
  /** Progress, from 0 to 100. */
  std::uint32_t percent = 0;
  /** The worker has listed the run; otherwise its start may have no answer. */
  bool hasBegun = false;

  bool operator==(const RunningTask&) const = default;
};

/** The end of a run that has not been acknowledged yet. */
struct EndedTask
{
  /** Increases with each end within one incarnation of the worker. */
  std::uint64_t number = 0;
  job::TaskRun run;
  EndKind kind = EndKind::Failed;
  std::string checkpoint;

  bool operator==(const EndedTask&) const = default;
};

/**
 * The end of a run on an earlier life of the worker. The worker listed it, but
 * its life was over before a coordinator acknowledged it.
 */
struct PastEnd
{
  ledger::WorkerIncarnation life;
  EndedTask end;

  bool operator==(const PastEnd&) const = default;
};

/** A worker as it registered with the agent on its VM. */
struct WorkerInfo
{
  ledger::WorkerIncarnation life;
  base::PoolId pool;
  base::ZoneId zone;
  base::RackId rack;
  std::vector<std::string> labels;
  fleet::TaskResources capacity;
  /** Will shut down soon and accepts no new tasks. */
  bool isDraining = false;
  /** How much longer its tasks take longer to start; zero if it is warm. */
  std::chrono::milliseconds coldFor{};

  bool operator==(const WorkerInfo&) const = default;
};

/** An agent's consistent snapshot of the worker on its VM. */
struct WorkerReport
{
  base::AgentId agent;
  /** Empty if no worker is registered on the VM. */
  std::optional<WorkerInfo> worker;
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
  /**
   * The worker has listed only some of its ends, so that a run that is not
   * listed may have ended.
   */
  bool mayHaveMoreEnds = false;
  /**
   * Highest number of an order that the agent had received from the current
   * coordinator when it made the report. Empty if it does not count orders.
   */
  std::optional<OrderNumber> receivedOrder;
  /** Of lives that are over, by life and number; reported until acknowledged.
   */
  std::vector<PastEnd> pastEnds;

  bool operator==(const WorkerReport&) const = default;
};

/**
 * Limits the age of an order to start a run: it may be carried out until this
 * time after the agent sent the report with this sequence number. The agent
 * dates the order by its own clock, however long the order was on its way.
 */
struct StartValidity
{
  /** 0 if the age of the order is not limited. */
  std::uint64_t reportSequence = 0;
  std::chrono::milliseconds duration{};

  bool operator==(const StartValidity&) const = default;
};

/** Outcome of an order to an agent. */
enum class OrderOutcome : std::uint8_t
{
  Started,
  Refused, // The run was not started and will not be.
  Absent,  // The run is not on the worker and can no longer start there.
};

} // namespace amaranthwind::dispatch
