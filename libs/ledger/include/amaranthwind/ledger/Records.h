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

/** One incarnation of a worker: the same id may register again after a crash.
 */
struct WorkerIncarnation
{
  base::TargetId id;
  /** Unix time of its start in milliseconds. */
  std::uint64_t born = 0;

  auto operator<=>(const WorkerIncarnation&) const = default;
};

enum class TaskPhase : std::uint8_t
{
  Idle,   // Not placed on any worker.
  Placed, // Assigned to a worker and possibly running there.
  Done,
};

/**
 * Upper bound of the encoded size of a task's record without its checkpoint,
 * for ids of VMs and workers of usual length.
 */
inline constexpr std::size_t kMaxTaskRecordBytes = 252;

/** Durable state of a task that was placed at least once. */
struct TaskRecord
{
  std::uint32_t index = 0;
  TaskPhase phase = TaskPhase::Idle;
  /** Number of the latest run. */
  std::uint32_t run = 0;
  /**
   * Number of failed runs. That of a placed member of a gang is without the
   * latest run, so that it is less than that of a member whose failure in that
   * run was counted.
   */
  std::uint32_t failures = 0;
  /** Worker of the latest placement. */
  WorkerIncarnation worker;
  /** Agent on that worker's VM; empty in records of older versions. */
  base::AgentId agent;
  /** Latest checkpoint; empty if there is none. */
  std::string checkpoint;

  bool operator==(const TaskRecord&) const = default;
};

/** Durable state of one step; written only by the coordinator. */
struct StepRecord
{
  job::StepId id;
  /** A task has used up its attempts, so the job has failed. */
  bool hasFailed = false;
  std::vector<TaskRecord> tasks;

  bool operator==(const StepRecord&) const = default;
};

/** Kinds of records in the job topic, determined by the key. */
enum class RecordKind : std::uint8_t
{
  Accepted,  // The job specification; written by any entry.
  Cancelled, // A cancellation request; written by any entry.
  Begun,     // A task of the job has begun to run; by the coordinator.
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
BegunKey(const base::JobId& aJob);
std::string
StepKey(const job::StepId& aStep);
/** Value of the record that cancels a job on behalf of a client account. */
std::string
CancelledValue(const base::AccountId& aAccount);
/** The account that cancelled the job; empty in records of older versions. */
base::AccountId
CancellingAccount(std::string_view aValue);
/** Parses a key; one that matches no known form has the kind Other. */
RecordKey
ParseKey(std::string_view aKey);

/** Encodes and decodes record values; implemented by package codec. */
class RecordCodec
{
public:
  virtual ~RecordCodec() = default;
  virtual std::string EncodeWorkflow(const job::WorkflowSpec& aSpec) const = 0;
  /** Errors: any input error. The id is not part of the encoded value. */
  virtual base::Result<job::WorkflowSpec> DecodeWorkflow(
    std::string_view aValue) const = 0;
  virtual std::string EncodeStep(const StepRecord& aStep) const = 0;
  /** Errors: any input error. The id is not part of the encoded value. */
  virtual base::Result<StepRecord> DecodeStep(
    std::string_view aValue) const = 0;
};

} // namespace amaranthwind::ledger
