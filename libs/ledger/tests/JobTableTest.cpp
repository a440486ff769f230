#include "amaranthwind/ledger/JobTable.h"

#include "amaranthwind/codec/LedgerCodec.h"

#include <doctest/doctest.h>

using namespace amaranthwind;
using namespace amaranthwind::ledger;
using namespace std::chrono_literals;

namespace {

const base::JobId kJob("5c0e7a21d94b36f8");
const codec::LedgerCodec kCodec;

job::WorkflowSpec
MakeSpec()
{
  job::WorkflowSpec spec;
  spec.id = kJob;
  spec.account = base::AccountId("club");
  spec.kind = base::WorkKindId("score");
  spec.pool = base::PoolId("planner");
  spec.urgency = 1;
  spec.maxAttempts = 2;
  spec.stretch = 1.5;
  spec.slack = 250ms;
  spec.acceptedAt = base::WallTime(1'700'000'000'000ms);
  spec.repeats = 2;
  spec.firstStart = base::WallTime(1'700'000'001'000ms);
  spec.interval = 3s;
  spec.payload = "text";
  job::StepSpec step;
  step.count = 2;
  step.need = { 7500, 22'000, 4 };
  step.estimate = 2500ms;
  step.isGang = true;
  step.prefersOneRack = true;
  step.isCheckpointing = true;
  step.requiredLabel = "a";
  step.dataRack = base::RackId("r1-3");
  step.maxPerWorker = 1;
  spec.steps = { step };
  step = {};
  step.dependsOn = { 0 };
  step.isLongRunning = true;
  step.isFiller = true;
  spec.steps.push_back(step);
  return spec;
}

StepRecord
MakeStep(TaskPhase aFirst, TaskPhase aSecond, std::uint32_t aOccurrence = 0)
{
  StepRecord record;
  record.id = { kJob, aOccurrence, 0 };
  record.tasks = {
    { 0, aFirst, 1, 0, { base::TargetId("w"), 1 }, base::AgentId("vm"), {} },
    { 1, aSecond, 1, 1, { base::TargetId("w"), 1 }, {}, "saved" },
  };
  return record;
}

journal::KeyedRecord
Accepted(std::uint64_t aOffset, const job::WorkflowSpec& aSpec)
{
  return { base::LogOffset(aOffset),
           AcceptedKey(kJob),
           kCodec.EncodeWorkflow(aSpec) };
}

journal::KeyedRecord
StepAt(std::uint64_t aOffset, const StepRecord& aStep)
{
  return { base::LogOffset(aOffset),
           StepKey(aStep.id),
           kCodec.EncodeStep(aStep) };
}

job::WorkflowSpec
OneStep()
{
  auto spec = MakeSpec();
  spec.repeats = 0;
  spec.steps.resize(1);
  return spec;
}

JobPhase
PhaseAfter(const std::vector<journal::KeyedRecord>& aRecords)
{
  JobTable table(kCodec);
  table.Apply(aRecords);
  REQUIRE(table.Find(kJob) != nullptr);
  return table.Find(kJob)->Phase();
}

} // namespace

// Guards against a field that is not persisted and so lost on failover.
TEST_CASE("workflow and step records keep every field when encoded")
{
  auto spec = kCodec.DecodeWorkflow(kCodec.EncodeWorkflow(MakeSpec()));
  REQUIRE(spec.has_value());
  spec.value().id = kJob;
  CHECK(spec.value() == MakeSpec());
  StepRecord record = MakeStep(TaskPhase::Placed, TaskPhase::Idle, 1);
  record.hasFailed = true;
  auto step = kCodec.DecodeStep(kCodec.EncodeStep(record));
  REQUIRE(step.has_value());
  step.value().id = record.id;
  CHECK(step.value() == record);
}

// Guards against records that schedulers of another version cannot read.
TEST_CASE("the stored text of a step record does not change")
{
  StepRecord record = MakeStep(TaskPhase::Placed, TaskPhase::Done);
  CHECK(kCodec.EncodeStep(record) ==
        R"({"tasks":[{"index":0,"phase":"placed","run":1,"worker":"w",)"
        R"("born":1,"agent":"vm"},{"index":1,"phase":"done","run":1,)"
        R"("worker":"w","born":1,"failures":1,"checkpoint":"saved"}]})");
  record.tasks.resize(1);
  record.tasks[0].worker = { base::TargetId("q\"\\/\n\x7F"), UINT64_MAX };
  record.tasks[0].agent = base::AgentId("\xFF\xC3\xA9");
  record.hasFailed = true;
  CHECK(kCodec.EncodeStep(record) ==
        "{\"tasks\":[{\"index\":0,\"phase\":\"placed\",\"run\":1,"
        "\"worker\":\"q\\\"\\\\/\\n\x7F\",\"born\":18446744073709551615,"
        "\"agent\":\"\xEF\xBF\xBD\xC3\xA9\"}],\"hasFailed\":true}");
  record.tasks.clear();
  record.hasFailed = false;
  CHECK(kCodec.EncodeStep(record) == R"({"tasks":[]})");
}

TEST_CASE("record keys are parsed by their prefix")
{
  CHECK(ParseKey(AcceptedKey(kJob)).kind == RecordKind::Accepted);
  CHECK(ParseKey(CancelledKey(kJob)).step.job == kJob);
  CHECK(ParseKey(BegunKey(kJob)).kind == RecordKind::Begun);
  CHECK(ParseKey(BegunKey(kJob)).step.job == kJob);
  const job::StepId step{ kJob, 3, 4 };
  CHECK(ParseKey(StepKey(step)).kind == RecordKind::Step);
  CHECK(ParseKey(StepKey(step)).step == step);
  for (const char* key : { "", "term", "s/x", "s/x.1", "x/1" }) {
    CAPTURE(key);
    CHECK(ParseKey(key).kind == RecordKind::Other);
  }
}

TEST_CASE("the phase of a job is derived from its records")
{
  const auto accepted = Accepted(0, OneStep());
  const journal::KeyedRecord cancelled{ base::LogOffset(1),
                                        CancelledKey(kJob),
                                        "1" };
  const auto done = StepAt(2, MakeStep(TaskPhase::Done, TaskPhase::Done));
  auto failed = MakeStep(TaskPhase::Idle, TaskPhase::Done);
  failed.hasFailed = true;
  CHECK(PhaseAfter({ accepted }) == JobPhase::Pending);
  CHECK(PhaseAfter({ accepted, cancelled }) == JobPhase::Cancelled);
  CHECK(
    PhaseAfter(
      { accepted, StepAt(2, MakeStep(TaskPhase::Done, TaskPhase::Placed)) }) ==
    JobPhase::Running);
  // A task that is placed may still be refused.
  auto placed = MakeStep(TaskPhase::Placed, TaskPhase::Idle);
  placed.tasks[1].failures = 0;
  const journal::KeyedRecord begun{ base::LogOffset(3), BegunKey(kJob), "1" };
  CHECK(PhaseAfter({ accepted, StepAt(2, placed) }) == JobPhase::Pending);
  CHECK(PhaseAfter({ accepted, StepAt(2, placed), begun }) ==
        JobPhase::Running);
  CHECK(PhaseAfter({ accepted, done }) == JobPhase::Completed);
  CHECK(PhaseAfter({ accepted, StepAt(2, failed) }) == JobPhase::Failed);
  // A cancellation after completion has no effect.
  CHECK(PhaseAfter({ accepted, done, cancelled }) == JobPhase::Completed);
}

// Guards against a repeating job being reported as completed after its first
// occurrence.
TEST_CASE("a repeating job completes after its last occurrence")
{
  auto spec = OneStep();
  spec.repeats = 2;
  const auto first = StepAt(1, MakeStep(TaskPhase::Done, TaskPhase::Done, 0));
  const auto second = StepAt(2, MakeStep(TaskPhase::Done, TaskPhase::Done, 1));
  CHECK(PhaseAfter({ Accepted(0, spec), first }) == JobPhase::Running);
  CHECK(PhaseAfter({ Accepted(0, spec), first, second }) ==
        JobPhase::Completed);
}

TEST_CASE("the first accepted record wins, and a tombstone removes the job")
{
  JobTable table(kCodec);
  auto other = OneStep();
  other.payload = "other";
  const journal::KeyedRecord records[] = { Accepted(0, OneStep()),
                                           Accepted(1, other) };
  table.Apply(records);
  CHECK(table.Find(kJob)->spec->payload == "text");
  CHECK(table.Find(kJob)->acceptedOffset == base::LogOffset(0));
  const journal::KeyedRecord dropped{ base::LogOffset(2),
                                      AcceptedKey(kJob),
                                      {} };
  const auto changes = table.Apply(std::span(&dropped, 1));
  CHECK(table.Find(kJob) == nullptr);
  CHECK(changes.jobs == std::vector{ kJob });
}

// Guards against a job that runs although it was cancelled: the append of its
// submission takes effect after that of its cancellation.
TEST_CASE("a job is cancelled by a record that precedes its acceptance")
{
  const base::AccountId account("club/1");
  JobTable table(kCodec);
  const journal::KeyedRecord cancelled{ base::LogOffset(0),
                                        CancelledKey(kJob),
                                        CancelledValue(account) };
  table.Apply(std::span(&cancelled, 1));
  CHECK(table.Find(kJob) == nullptr);
  REQUIRE(table.FindEarlyCancellation(kJob) != nullptr);
  CHECK(table.FindEarlyCancellation(kJob)->cancelledBy == account);
  CHECK(CancellingAccount("1").IsEmpty());
  const auto accepted = Accepted(1, OneStep());
  table.Apply(std::span(&accepted, 1));
  CHECK(table.FindEarlyCancellation(kJob) == nullptr);
  CHECK(table.Find(kJob)->Phase() == JobPhase::Cancelled);
}

// Guards against one corrupt record hiding the others.
TEST_CASE("an undecodable record is reported and changes nothing")
{
  JobTable table(kCodec);
  const journal::KeyedRecord records[] = {
    { base::LogOffset(0), AcceptedKey(base::JobId("bad")), "{" },
    { base::LogOffset(1), StepKey({ kJob, 0, 0 }), R"({"tasks":7})" },
    Accepted(2, OneStep()),
  };
  const auto changes = table.Apply(records);
  REQUIRE(changes.undecodable.size() == 2);
  CHECK(changes.undecodable[0].error.code == base::ErrorCode::Truncated);
  CHECK(changes.undecodable[1].error.subject == "tasks");
  CHECK(table.Find(kJob)->Phase() == JobPhase::Pending);
}

TEST_CASE("loading replaces the table and reports removed jobs")
{
  JobTable table(kCodec);
  const auto accepted = Accepted(0, OneStep());
  table.Apply(std::span(&accepted, 1));
  const auto changes = table.Load({});
  CHECK(changes.jobs == std::vector{ kJob });
  CHECK(table.Size() == 0);
}

// Guards against records that are left in the log for good, and that make a job
// of what is left of one.
TEST_CASE("a job that has begun leaves nothing when its records are deleted")
{
  const journal::KeyedRecord begun{ base::LogOffset(0), BegunKey(kJob), "1" };
  JobTable table(kCodec);
  table.Load(std::span(&begun, 1));
  CHECK(table.Find(kJob) == nullptr);
  CHECK(table.FindEarlyCancellation(kJob) == nullptr);
  int orphans = 0;
  table.ForEachOrphan([&](const auto&, const auto&) { ++orphans; });
  CHECK(orphans == 1);
  const journal::KeyedRecord dropped{ base::LogOffset(1), BegunKey(kJob), {} };
  table.Apply(std::span(&dropped, 1));
  CHECK(table.Size() == 0);
}

// Guards against work that runs again, and against records that are left in the
// log, when the deletion of a job is divided and its writer fails.
TEST_CASE("what is left of a partly deleted job is no job but an orphan")
{
  const base::JobId undecodable("bad");
  const journal::KeyedRecord records[] = {
    { base::LogOffset(0), AcceptedKey(undecodable), "{" },
    StepAt(1, MakeStep(TaskPhase::Done, TaskPhase::Done)),
  };
  JobTable table(kCodec);
  table.Load(records);
  CHECK(table.Find(kJob) == nullptr);
  std::vector<base::JobId> orphans;
  table.ForEachOrphan([&](const base::JobId& aId, const JobEntry& aEntry) {
    orphans.push_back(aId);
    CHECK(aEntry.steps.size() == 1);
  });
  // A job of a newer version still belongs to that version.
  CHECK(orphans == std::vector{ kJob });
  const journal::KeyedRecord dropped{ base::LogOffset(2),
                                      StepKey({ kJob, 0, 0 }),
                                      {} };
  table.Apply(std::span(&dropped, 1));
  CHECK(table.Size() == 1);
}
