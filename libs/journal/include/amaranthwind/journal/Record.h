#pragma once

#include "amaranthwind/base/Error.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/job/GangPlan.h"
#include "amaranthwind/job/JobSpec.h"
#include "amaranthwind/policy/Policy.h"
#include "amaranthwind/policy/ReleaseNote.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace amaranthwind::journal {

/** Record of the stream "notes": an operator's release note. */
struct NoteRecord
{
  policy::ReleaseNote note;
  bool operator==(const NoteRecord&) const = default;
};

/**
 * Record of the stream "notes": the policy after all notes below its
 * nextOffset.
 */
struct PolicyCheckpointRecord
{
  policy::Policy policy;
  bool operator==(const PolicyCheckpointRecord&) const = default;
};

/**
 * Makes its writer the coordinator of the cell. The offset of the record is the
 * fencing token.
 */
struct EpochRecord
{
  base::EntryId writer;
  bool operator==(const EpochRecord&) const = default;
};

struct JobAcceptedRecord
{
  base::FencingToken token;
  job::JobSpec spec;
  bool operator==(const JobAcceptedRecord&) const = default;
};

struct JobCancelledRecord
{
  base::FencingToken token;
  base::JobId job;
  bool operator==(const JobCancelledRecord&) const = default;
};

/**
 * Commits or aborts an attempt. Valid only with the token of the newest epoch.
 */
struct GangDecisionRecord
{
  base::FencingToken token;
  job::GangId gang;
  bool isCommit = false;
  std::vector<base::TargetId> members;
  bool operator==(const GangDecisionRecord&) const = default;
};

enum class AttemptOutcome : std::uint8_t
{
  Succeeded,
  Failed,
  Preempted, // Stopped by the scheduler; may continue from a checkpoint.
  NotRun,    // Known not to have run; does not count as a run.
};

/** The end of a committed attempt. */
struct AttemptEndedRecord
{
  base::FencingToken token;
  job::GangId gang;
  AttemptOutcome outcome = AttemptOutcome::Failed;
  bool operator==(const AttemptEndedRecord&) const = default;
};

enum class JobOutcome : std::uint8_t
{
  Succeeded,
  Failed,
  Cancelled,
  Refused, // Accepted but found never to fit; did not run.
};

/** The end of a job. */
struct JobEndedRecord
{
  base::FencingToken token;
  base::JobId job;
  JobOutcome outcome = JobOutcome::Failed;
  /** Reason for the outcome, unless the job succeeded. */
  std::optional<base::Error> error;
  bool operator==(const JobEndedRecord&) const = default;
};

enum class JobPhase : std::uint8_t
{
  Queued,
  Committed, // An attempt has been committed and has not ended.
  Ended,
};

/** State of an attempt in the log. All values but the first two are final. */
enum class AttemptFate : std::uint8_t
{
  Unknown,   // The job is unknown, or it ended long ago.
  Undecided, // The coordinator of the newest epoch may still decide.
  Aborted,   // By a decision record, or the job ended without this attempt.
  Voided,    // By an epoch record; the attempt number is not reused.
  Committed,
  Ended, // It was decided and has ended, or a later attempt was decided.
};

/** State of one job according to the log. */
struct JobState
{
  job::JobSpec spec;
  JobPhase phase = JobPhase::Queued;
  /** Number of the newest decided or voided attempt; initially 0. */
  base::Attempt lastAttempt;
  /** Number of committed attempts, except those known not to have run. */
  std::uint32_t runs = 0;
  bool isCancelRequested = false;
  /** Members of the committed attempt. */
  std::vector<base::TargetId> members;
  std::optional<JobOutcome> outcome;
  std::optional<base::Error> error;
  /** State of lastAttempt; Unknown before the first attempt. */
  AttemptFate lastFate = AttemptFate::Unknown;
  bool operator==(const JobState&) const = default;
};

/** One chunk of the state of a cell after all records below coversBelow. */
struct CheckpointRecord
{
  base::FencingToken token;
  base::LogOffset coversBelow;
  std::uint32_t index = 0;
  std::uint32_t count = 1;
  std::vector<JobState> jobs;
  bool operator==(const CheckpointRecord&) const = default;
};

using RecordBody = std::variant<NoteRecord,
                                PolicyCheckpointRecord,
                                EpochRecord,
                                JobAcceptedRecord,
                                JobCancelledRecord,
                                GangDecisionRecord,
                                AttemptEndedRecord,
                                JobEndedRecord,
                                CheckpointRecord>;

/** A log record. Readers discard duplicates, which have an id already read. */
struct Record
{
  base::RecordId id;
  RecordBody body;
  bool operator==(const Record&) const = default;
};

} // namespace amaranthwind::journal
