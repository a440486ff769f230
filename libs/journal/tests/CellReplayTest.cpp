#include "amaranthwind/journal/CellReplay.h"

#include "JournalFixture.h"

#include "amaranthwind/journal/CheckpointWriter.h"

#include <doctest/doctest.h>

#include <array>

using namespace amaranthwind;
using namespace amaranthwind::journal;
using base::ErrorCode;

namespace {

job::GangId
Gang(std::string_view aJob, std::uint32_t aAttempt)
{
  return { base::JobId(aJob), base::Attempt(aAttempt) };
}

CellState
StateOf(JournalFixture& aFixture)
{
  CellReplay replay(aFixture.codec);
  aFixture.Read(replay);
  REQUIRE(replay.IsComplete());
  return replay.State();
}

/** Appends a checkpoint of the current state with one job per chunk. */
void
PutCheckpoint(JournalFixture& aFixture, bool aIsComplete = true)
{
  CellReplay replay(aFixture.codec);
  aFixture.Read(replay);
  auto chunks = MakeCellCheckpoint(replay, aFixture.random, 1);
  chunks.resize(chunks.size() - (aIsComplete ? 0 : 1));
  for (const Record& chunk : chunks) {
    aFixture.Put(kCell, chunk);
  }
}

} // namespace

// Guards against starting a job more often than maxRuns allows, and against
// counting an attempt that is known not to have run.
TEST_CASE("the runs of a job follow from commits and attempt outcomes")
{
  JournalFixture fixture;
  const auto token = fixture.PutEpoch("e1");
  fixture.Put(kCell, Accepted(token, "j", 2));
  fixture.Put(kCell, Decision(token, "j", 1, false));
  fixture.Put(kCell, Decision(token, "j", 2));
  fixture.Put(kCell, AttemptEnded(token, "j", 2, AttemptOutcome::NotRun));
  fixture.Put(kCell, Decision(token, "j", 3));
  fixture.Put(kCell, AttemptEnded(token, "j", 3, AttemptOutcome::Failed));
  fixture.Put(kCell, Decision(token, "j", 4));
  fixture.Put(kCell, AttemptEnded(token, "j", 4, AttemptOutcome::Preempted));
  fixture.Put(kCell, Decision(token, "j", 5));
  CellReplay replay(fixture.codec);
  const auto report = fixture.Read(replay);
  CHECK(report.back().verdict == Verdict::Rejected);
  CHECK(report.back().error.subject == "maxRuns");
  const JobState* const job = replay.Find(base::JobId("j"));
  REQUIRE(job != nullptr);
  CHECK(job->runs == 2);
  CHECK(job->phase == JobPhase::Queued);
  CHECK(replay.FateOf(Gang("j", 5)) == AttemptFate::Aborted);
}

// Guards against a gang member that keeps a reservation or runs a task because
// it received a wrong decision.
TEST_CASE("the fate of an attempt is determined by the log alone")
{
  JournalFixture fixture;
  const auto first = fixture.PutEpoch("e1");
  for (const char* const job :
       { "queued", "aborted", "running", "cancelled" }) {
    fixture.Put(kCell, Accepted(first, job));
  }
  fixture.Put(kCell, Decision(first, "aborted", 1, false));
  fixture.Put(kCell, Decision(first, "running", 1));
  fixture.Put(kCell, JobCancelledRecord{ first, base::JobId("cancelled") });
  fixture.Put(kCell, Decision(first, "cancelled", 1));
  const auto second = fixture.PutEpoch("e2");
  fixture.Put(kCell, Accepted(second, "ended"));
  fixture.Put(kCell, Decision(second, "ended", 1));
  fixture.Put(kCell,
              AttemptEnded(second, "ended", 1, AttemptOutcome::Succeeded));
  // Delayed decisions of the former coordinator.
  fixture.Put(kCell, Decision(first, "queued", 1));
  fixture.Put(kCell, Decision(first, "queued", 2));
  PutCheckpoint(fixture);
  struct Case
  {
    std::string_view job;
    std::uint32_t attempt;
    AttemptFate fate;
  };
  const std::array<Case, 9> cases{ {
    { "queued", 1, AttemptFate::Voided },
    { "queued", 2, AttemptFate::Undecided },
    { "aborted", 1, AttemptFate::Ended },
    { "aborted", 2, AttemptFate::Voided },
    { "running", 1, AttemptFate::Committed },
    { "cancelled", 1, AttemptFate::Ended },
    { "ended", 1, AttemptFate::Ended },
    { "ended", 2, AttemptFate::Aborted },
    { "never seen", 1, AttemptFate::Unknown },
  } };
  for (const std::uint64_t firstKept : { 0, 13 }) {
    fixture.log.ExpireBelow(kCell, base::LogOffset(firstKept));
    CellReplay replay(fixture.codec);
    fixture.Read(replay);
    for (const Case& each : cases) {
      CAPTURE(each.job);
      CAPTURE(each.attempt);
      CAPTURE(firstKept);
      CHECK(replay.FateOf(Gang(each.job, each.attempt)) == each.fate);
    }
  }
}

// Guards against a former coordinator that resumes and modifies the cell.
TEST_CASE("records with a stale token have no effect")
{
  JournalFixture fixture;
  const auto stale = fixture.PutEpoch("e1");
  fixture.Put(kCell, Accepted(stale, "j", 3));
  fixture.PutEpoch("e2");
  const CellState expected = StateOf(fixture);
  const std::vector<RecordBody> records{
    Accepted(stale, "late"),
    JobCancelledRecord{ stale, base::JobId("j") },
    Decision(stale, "j", 2),
    Decision(base::FencingToken(99), "j", 2),
    AttemptEnded(stale, "j", 1, AttemptOutcome::NotRun),
    JobEndedRecord{ stale, base::JobId("j"), JobOutcome::Failed, {} },
    CheckpointRecord{ stale, base::LogOffset(3), 0, 1, {} },
  };
  for (const RecordBody& body : records) {
    fixture.Put(kCell, body);
  }
  CellReplay replay(fixture.codec);
  const auto report = fixture.Read(replay);
  for (std::size_t i = 3; i < report.size(); ++i) {
    CAPTURE(i);
    CHECK(report[i].verdict == Verdict::StaleToken);
    CHECK(report[i].error.code == ErrorCode::StaleToken);
  }
  CHECK(replay.State() == expected);
}

// Guards against a state that depends on when the reader started: a new process
// must compute the same state after all others were lost.
TEST_CASE("replay from a checkpoint gives the same state as a full replay")
{
  JournalFixture fixture;
  const auto token = fixture.PutEpoch("e1");
  for (const char* const job : { "a", "b", "c", "d" }) {
    fixture.Put(kCell, Accepted(token, job, 2));
  }
  fixture.Put(kCell, Decision(token, "b", 1));
  fixture.Put(kCell, JobEndedRecord{ token, base::JobId("c"), {}, {} });
  // An incomplete checkpoint, which readers must ignore.
  PutCheckpoint(fixture, false);
  const auto incompleteEnd = fixture.log.End(kCell);
  fixture.Put(kCell, Accepted(token, "e"));
  PutCheckpoint(fixture);
  fixture.Put(kCell, Decision(token, "a", 1));
  const CellState expected = StateOf(fixture);
  for (std::uint64_t first = 1; first <= incompleteEnd.Get() + 1; ++first) {
    CAPTURE(first);
    fixture.log.ExpireBelow(kCell, base::LogOffset(first));
    CHECK(StateOf(fixture) == expected);
  }
  // Once the first chunk expires, no complete checkpoint is left.
  fixture.log.ExpireBelow(kCell, base::LogOffset(incompleteEnd.Get() + 2));
  CellReplay tooLate(fixture.codec);
  fixture.Read(tooLate);
  CHECK(!tooLate.IsComplete());
}

// Guards against applying a duplicate: a reader that starts from an older
// checkpoint does not recognize it, because the first copy has expired.
TEST_CASE("a reader starts from the newest checkpoint, not from the oldest")
{
  JournalFixture fixture;
  const Record epoch = fixture.Make(EpochRecord{ base::EntryId("e1") });
  const base::FencingToken token(fixture.Put(kCell, epoch).Get());
  fixture.Put(kCell, Accepted(token, "a"));
  PutCheckpoint(fixture);
  fixture.Put(kCell, epoch);
  PutCheckpoint(fixture);
  const CellState expected = StateOf(fixture);
  fixture.log.ExpireBelow(kCell, base::LogOffset(1));
  CHECK(StateOf(fixture) == expected);
}

// Guards against different answers for one job id, and against unbounded growth
// of the retained ended jobs.
TEST_CASE("a bounded number of ended jobs is retained for repeated submissions")
{
  JournalFixture fixture;
  const auto token = fixture.PutEpoch("e1");
  CellReplay replay(fixture.codec, 2);
  for (const char* const job : { "a", "b", "c" }) {
    fixture.Put(kCell, Accepted(token, job));
    const base::Error error{ ErrorCode::NeverFits, "shape" };
    fixture.Put(
      kCell,
      JobEndedRecord{ token, base::JobId(job), JobOutcome::Refused, error });
  }
  fixture.Put(kCell, Accepted(token, "c"));
  fixture.Put(kCell, Accepted(token, "c", 7));
  const auto records = fixture.Read(replay);
  CHECK(records[records.size() - 2].error.code == ErrorCode::DuplicateKey);
  CHECK(records.back().error.code == ErrorCode::KeyReused);
  CHECK(replay.Find(base::JobId("a")) == nullptr);
  REQUIRE(replay.Find(base::JobId("c")) != nullptr);
  CHECK(replay.Find(base::JobId("c"))->error->code == ErrorCode::NeverFits);
  CHECK(replay.EndedJobs().size() == 2);
}

// Guards against an invalid record that blocks the cell or causes unbounded
// memory use.
TEST_CASE("malformed and invalid records are skipped with an error")
{
  JournalFixture fixture;
  const auto token = fixture.PutEpoch("e1");
  const std::array<std::byte, 1> bad{};
  REQUIRE(fixture.log.Append(kCell, bad).has_value());
  fixture.Put(kCell, Note(0, "a"));
  fixture.Put(kCell, CheckpointRecord{ token, base::LogOffset(9), 0, 1, {} });
  fixture.Put(
    kCell, CheckpointRecord{ token, base::LogOffset(1), 0, 4'000'000'000, {} });
  fixture.Put(kCell, CheckpointRecord{ token, base::LogOffset(1), 0, 0, {} });
  fixture.Put(kCell, Decision(token, "unknown", 1));
  fixture.Put(kCell, Accepted(token, "j"));
  CellReplay replay(fixture.codec);
  const auto report = fixture.Read(replay);
  CHECK(report[1].verdict == Verdict::Malformed);
  for (std::size_t i = 2; i < 7; ++i) {
    CAPTURE(i);
    CHECK(report[i].verdict == Verdict::Rejected);
  }
  CHECK(replay.LiveJobs().size() == 1);
}
