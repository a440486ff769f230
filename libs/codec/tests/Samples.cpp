#include "Samples.h"

#include <chrono>
#include <limits>
#include <string>

using namespace std::chrono_literals;

namespace amaranthwind::codec {

namespace {

constexpr std::uint64_t kLargest = std::numeric_limits<std::uint64_t>::max();

job::JobSpec
SampleSpec()
{
  job::JobSpec spec;
  spec.id = base::JobId("job-1");
  spec.account = base::AccountId("rotaform");
  spec.caller = base::CallerId("clerk \"7\" año");
  spec.kind = base::WorkKindId("die-profile");
  spec.zone = base::ZoneId("tw-1");
  spec.shape = { 4, { 8, 32, 65536 }, fleet::Adjacency::SameRack };
  spec.declaredRunTime = 90min;
  spec.maxRuns = 3;
  spec.isPreemptible = true;
  spec.payload = "line\n\t\x7F é";
  spec.payload += '\0';
  return spec;
}

policy::Account
SampleAccount()
{
  policy::Account account;
  account.id = base::AccountId("rotaform");
  account.weight = 7;
  account.floorPercent = 30;
  account.guarantees = { { base::ZoneId("tw-1"), 2, SampleSpec().shape },
                         { base::ZoneId("tw-2"),
                           1,
                           { 1, { 1, 0, 0 }, fleet::Adjacency::SameWorker } } };
  return account;
}

policy::WorkKind
SampleKind()
{
  policy::WorkKind kind;
  kind.id = base::WorkKindId("die-profile");
  kind.workClass = policy::WorkClass::Gang;
  kind.urgency = 2;
  kind.floorPercent = 10;
  kind.isIdempotent = true;
  kind.queueLimit = 1500ms;
  kind.maxRuns = 3;
  kind.isPreemptible = true;
  return kind;
}

} // namespace

policy::ReleaseNote
SampleNote()
{
  return { base::RecordId("0123456789abcdef0123456789abcdef"),
           base::PolicyVersion(41),
           { policy::PutAccount{ SampleAccount() },
             policy::WithdrawAccount{ base::AccountId("gone") },
             policy::PutKind{ SampleKind() },
             policy::WithdrawKind{ base::WorkKindId("old") } } };
}

policy::Policy
SamplePolicy()
{
  return { base::PolicyVersion(42),
           base::LogOffset(kLargest),
           base::RecordId("0123456789abcdef0123456789abcdef"),
           { SampleAccount() },
           { SampleKind() } };
}

std::vector<journal::Record>
SampleRecords()
{
  using namespace journal;
  const base::FencingToken token(kLargest);
  const job::GangId gang{ base::JobId("job-1"), base::Attempt(2) };
  const std::vector<base::TargetId> members{ base::TargetId("w-1"),
                                             base::TargetId("w-2") };
  JobState ended{ SampleSpec(),
                  JobPhase::Ended,
                  base::Attempt(3),
                  2,
                  true,
                  {},
                  JobOutcome::Failed,
                  base::Error{ base::ErrorCode::TargetFailed, "w-1" },
                  AttemptFate::Ended };
  ended.spec.payload = "\xFF\xFE raw";
  JobState committed{ SampleSpec(),
                      JobPhase::Committed,
                      base::Attempt(1),
                      1,
                      false,
                      members,
                      {},
                      {},
                      AttemptFate::Committed };
  JobState queued;
  const std::vector<RecordBody> bodies{
    NoteRecord{ SampleNote() },
    PolicyCheckpointRecord{ SamplePolicy() },
    PolicyCheckpointRecord{},
    EpochRecord{ base::EntryId("entry-1") },
    JobAcceptedRecord{ token, SampleSpec() },
    JobCancelledRecord{ token, base::JobId("job-1") },
    GangDecisionRecord{ token, gang, true, members },
    GangDecisionRecord{ token, gang, false, {} },
    AttemptEndedRecord{ token, gang, AttemptOutcome::Succeeded },
    AttemptEndedRecord{ token, gang, AttemptOutcome::Failed },
    AttemptEndedRecord{ token, gang, AttemptOutcome::Preempted },
    AttemptEndedRecord{ token, gang, AttemptOutcome::NotRun },
    JobEndedRecord{ token, base::JobId("job-1"), JobOutcome::Succeeded, {} },
    JobEndedRecord{ token, base::JobId("job-1"), JobOutcome::Cancelled, {} },
    JobEndedRecord{ token,
                    base::JobId("job-1"),
                    JobOutcome::Refused,
                    base::Error{ base::ErrorCode::NeverFits, "shape" } },
    CheckpointRecord{
      token, base::LogOffset(9), 1, 2, { ended, committed, queued } },
  };
  std::vector<Record> records;
  records.reserve(bodies.size());
  for (const RecordBody& body : bodies) {
    records.push_back(
      { base::RecordId("id-" + std::to_string(records.size())), body });
  }
  return records;
}

} // namespace amaranthwind::codec
