#pragma once

#include "amaranthwind/base/Ids.h"
#include "amaranthwind/job/GangPlan.h"
#include "amaranthwind/journal/CellReplay.h"
#include "amaranthwind/scheduling/CellScheduler.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace amaranthwind::entry {

/** An attempt that the coordinator drives. */
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
  /** Accelerators that no attempt of this coordinator holds. */
  std::uint32_t freeAccelerators = 0;
  bool isDraining = false;
};

/** State of a job that has not ended. */
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

/** Snapshot of a cell for the state dump and metrics. */
struct CellStatus
{
  base::ZoneId zone;
  bool isActing = false;
  base::EntryId coordinator;
  base::FencingToken token;
  base::LogOffset nextOffset;
  scheduling::CellUsage usage;
  std::uint64_t freeAccelerators = 0;
  /** Free accelerators on workers that are partly in use. */
  std::uint64_t fragmentedAccelerators = 0;
  std::vector<JobStatus> jobs;
  std::vector<AttemptStatus> attempts;
  std::vector<WorkerStatus> workers;
};

} // namespace amaranthwind::entry
