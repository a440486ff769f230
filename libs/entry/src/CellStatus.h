#pragma once

#include "amaranthwind/base/Ids.h"
#include "amaranthwind/job/GangPlan.h"
#include "amaranthwind/journal/CellReplay.h"
#include "amaranthwind/scheduling/CellScheduler.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace amaranthwind::entry {

/** An attempt that the coordinator leads. */
struct AttemptStatus
{
  job::GangId gang;
  std::size_t members = 0;
};

struct WorkerStatus
{
  base::TargetId id;
  base::RackId rack;
  std::uint32_t accelerators = 0;
  /** Not held by an attempt of this coordinator. */
  std::uint32_t freeAccelerators = 0;
  bool isDraining = false;
};

/** A job that has not ended. */
struct JobStatus
{
  base::JobId id;
  base::AccountId account;
  base::WorkKindId kind;
  journal::JobPhase phase = journal::JobPhase::Queued;
  base::Attempt lastAttempt;
  std::uint32_t runs = 0;
  bool isCancelRequested = false;
};

/** One cell as its decision thread publishes it for dump and metrics. */
struct CellStatus
{
  base::ZoneId zone;
  bool isActing = false;
  base::EntryId coordinator;
  base::FencingToken token;
  base::LogOffset nextOffset;
  scheduling::CellUsage usage;
  std::uint64_t freeAccelerators = 0;
  /** Free accelerators on workers of which a part is in use. */
  std::uint64_t scatteredAccelerators = 0;
  std::vector<JobStatus> jobs;
  std::vector<AttemptStatus> attempts;
  std::vector<WorkerStatus> workers;
};

} // namespace amaranthwind::entry
