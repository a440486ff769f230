#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/fleet/TaskResources.h"
#include "amaranthwind/job/TaskId.h"
#include "amaranthwind/ledger/Records.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace amaranthwind::dispatch {

/** How a run ended. */
enum class EndKind : std::uint8_t
{
  Done,
  Failed,  // By its own fault or the worker's; counts as an attempt.
  Stopped, // On an order.
  Lapsed,  // The worker's lease ran out.
  Broken,  // Another member of its gang ended.
  Alone,   // The other members of its gang did not come in time.
};

/** A run that is on a worker, or that its daemon is about to start there. */
struct RunningTask
{
  job::TaskRun run;
  /** Newest saved progress; empty if there is none. */
  std::string checkpoint;
  /** Share of the work that is done. */
  std::uint32_t percent = 0;

  bool operator==(const RunningTask&) const = default;
};

/** An end that has not been acknowledged yet. */
struct EndedTask
{
  /** Rises with each end in one life of the worker. */
  std::uint64_t number = 0;
  job::TaskRun run;
  EndKind kind = EndKind::Failed;
  std::string checkpoint;

  bool operator==(const EndedTask&) const = default;
};

/** A worker as it registered with the daemon on its VM. */
struct WorkerInfo
{
  ledger::WorkerLife life;
  base::PoolId pool;
  base::ZoneId zone;
  base::RackId rack;
  std::vector<std::string> labels;
  fleet::TaskResources capacity;
  /** It will end soon and takes no new tasks. */
  bool isDraining = false;

  bool operator==(const WorkerInfo&) const = default;
};

/** What a daemon knows of the worker on its VM, all at one moment. */
struct WorkerReport
{
  base::AgentId agent;
  /** Nothing: no worker lives on the VM. */
  std::optional<WorkerInfo> worker;
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;

  bool operator==(const WorkerReport&) const = default;
};

/** What became of an order to a daemon. */
enum class OrderOutcome : std::uint8_t
{
  Started,
  Refused, // Nothing was started, and nothing will be.
  Absent,  // The run is not on the worker and cannot start there any more.
};

} // namespace amaranthwind::dispatch
