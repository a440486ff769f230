#pragma once

#include "amaranthwind/base/Ids.h"
#include "amaranthwind/base/Result.h"
#include "amaranthwind/job/TaskId.h"
#include "amaranthwind/job/Workflow.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthwind::ledger {

/** One life of a worker: an id may come back after a crash. */
struct WorkerLife
{
  base::TargetId id;
  /** Unix time of its start in milliseconds. */
  std::uint64_t born = 0;

  auto operator<=>(const WorkerLife&) const = default;
};

enum class TaskPhase : std::uint8_t
{
  Idle,   // Nothing runs.
  Placed, // It was given to a worker and may run there.
  Done,
};

/** What is known of one task that was started at least once. */
struct TaskRecord
{
  std::uint32_t index = 0;
  TaskPhase phase = TaskPhase::Idle;
  /** Number of its last run. */
  std::uint32_t run = 0;
  /** Runs that ended as failed. */
  std::uint32_t failures = 0;
  /** Where it was placed last. */
  WorkerLife worker;
  /** Daemon on the VM of that worker; empty in records of older versions. */
  base::AgentId agent;
  /** Newest saved progress; empty if there is none. */
  std::string checkpoint;

  bool operator==(const TaskRecord&) const = default;
};

/** Durable progress of one step, written by the coordinator only. */
struct StepRecord
{
  job::StepId id;
  /** A task has failed as often as it may; the job has failed. */
  bool hasFailed = false;
  std::vector<TaskRecord> tasks;

  bool operator==(const StepRecord&) const = default;
};

/** What a key of the job topic stands for. */
enum class RecordKind : std::uint8_t
{
  Accepted,  // The whole job; written by any entry.
  Cancelled, // The caller cancelled it; written by any entry.
  Step,      // A StepRecord.
  Other,
};

struct RecordKey
{
  RecordKind kind = RecordKind::Other;
  job::StepId step;
};

std::string
AcceptedKey(const base::JobId& aJob);
std::string
CancelledKey(const base::JobId& aJob);
std::string
StepKey(const job::StepId& aStep);
/** A key that is none of the above has the kind Other. */
RecordKey
ParseKey(std::string_view aKey);

/** Encoding of the values; implemented by package codec. */
class RecordCodec
{
public:
  virtual ~RecordCodec() = default;
  virtual std::string EncodeWorkflow(const job::WorkflowSpec& aSpec) const = 0;
  /** Errors: those of bad input. The id is not part of the value. */
  virtual base::Result<job::WorkflowSpec> DecodeWorkflow(
    std::string_view aValue) const = 0;
  virtual std::string EncodeStep(const StepRecord& aStep) const = 0;
  /** Errors: those of bad input. The id is not part of the value. */
  virtual base::Result<StepRecord> DecodeStep(
    std::string_view aValue) const = 0;
};

} // namespace amaranthwind::ledger
