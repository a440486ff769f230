#include "amaranthwind/journal/NoteReplay.h"

#include "JournalFixture.h"

#include <doctest/doctest.h>

#include <array>

using namespace amaranthwind;
using namespace amaranthwind::journal;
using base::ErrorCode;

namespace {

policy::Policy
PolicyOf(JournalFixture& aFixture)
{
  NoteReplay replay(aFixture.codec);
  aFixture.Read(replay);
  REQUIRE(replay.IsComplete());
  return replay.Current();
}

} // namespace

// Guards against operators overwriting each other's changes, and against a
// conflict error that does not name the note that was applied.
TEST_CASE(
  "of two notes with the same base version the first in the log is applied")
{
  JournalFixture fixture;
  const Record first = fixture.Make(Note(0, "a"));
  fixture.Put(kNotesStream, first);
  const Record second = fixture.Make(Note(0, "b"));
  fixture.Put(kNotesStream, second);
  NoteReplay replay(fixture.codec);
  const auto report = fixture.Read(replay);
  REQUIRE(report.size() == 2);
  CHECK(report[0].verdict == Verdict::Applied);
  CHECK(report[1].id == second.id);
  CHECK(report[1].verdict == Verdict::Rejected);
  CHECK(report[1].error.code == ErrorCode::BaseVersionConflict);
  CHECK(report[1].error.subject == first.id.View());
  CHECK(replay.Current().nextOffset.Get() == 2);
}

// Guards against applying a duplicate, and against an invalid record that
// blocks all later ones.
TEST_CASE("duplicates and invalid records are skipped without effect")
{
  JournalFixture fixture;
  const Record note = fixture.Make(Note(0, "a"));
  fixture.Put(kNotesStream, note);
  fixture.Put(kNotesStream, note);
  const std::array<std::byte, 3> bad{};
  REQUIRE(fixture.log.Append(kNotesStream, bad).has_value());
  fixture.Put(kNotesStream, EpochRecord{});
  policy::Policy tooNew;
  tooNew.nextOffset = base::LogOffset(1000);
  fixture.Put(kNotesStream, PolicyCheckpointRecord{ tooNew });
  fixture.Put(kNotesStream, Note(1, "b"));
  NoteReplay replay(fixture.codec);
  const auto report = fixture.Read(replay);
  using enum Verdict;
  CHECK(
    Verdicts(report) ==
    std::vector{ Applied, Duplicate, Malformed, Rejected, Rejected, Applied });
  CHECK(replay.Current().version.Get() == 2);
}

// Guards against a note that was rejected because its base version did not
// exist yet: readers that start later must not apply its duplicate.
TEST_CASE("a duplicate of a rejected note has no effect for any reader")
{
  JournalFixture fixture;
  const Record early = fixture.Make(Note(1, "early"));
  fixture.Put(kNotesStream, early);
  policy::Policy covered;
  covered.nextOffset = base::LogOffset(1);
  fixture.Put(kNotesStream, PolicyCheckpointRecord{ covered });
  fixture.Put(kNotesStream, Note(0, "a"));
  const policy::Policy peer = PolicyOf(fixture);
  fixture.Put(kNotesStream, early);
  NoteReplay withPeer(fixture.codec);
  std::vector<ReplayedRecord> report;
  CHECK(withPeer.Adopt(peer, report));
  fixture.Read(withPeer);
  CHECK(withPeer.Current() == PolicyOf(fixture));
  CHECK(withPeer.Current().version.Get() == 1);
}

// Guards against a new process that lacks the notes that have expired.
TEST_CASE("the newest checkpoint replaces expired notes")
{
  JournalFixture fixture;
  fixture.Put(kNotesStream, Note(0, "a"));
  fixture.Put(kNotesStream, Note(1, "b"));
  const policy::Policy before = PolicyOf(fixture);
  fixture.Put(kNotesStream, Note(2, "c"));
  fixture.Put(kNotesStream, PolicyCheckpointRecord{ before });
  fixture.Put(kNotesStream, Note(3, "d"));
  const policy::Policy expected = PolicyOf(fixture);
  for (const std::uint64_t first : { 1, 2, 3 }) {
    CAPTURE(first);
    fixture.log.ExpireBelow(kNotesStream, base::LogOffset(first));
    NoteReplay replay(fixture.codec);
    fixture.Read(replay);
    // Once the first three have expired, nothing covers note "c".
    CHECK(replay.IsComplete() == (first < 3));
    CHECK((replay.Current() == expected) == (first < 3));
  }
}

// Guards against reverting to an older policy, and against a process that
// cannot start while the log is down.
TEST_CASE(
  "a peer's policy is adopted only if newer, and later notes apply to it")
{
  JournalFixture fixture;
  fixture.Put(kNotesStream, Note(0, "a"));
  const policy::Policy older = PolicyOf(fixture);
  fixture.Put(kNotesStream, Note(1, "b"));
  const policy::Policy newer = PolicyOf(fixture);
  fixture.log.SetDown(true);

  NoteReplay replay(fixture.codec);
  std::vector<ReplayedRecord> report;
  CHECK(ReadToEnd(fixture.log, kNotesStream, replay).has_error());
  CHECK(replay.Adopt(newer, report));
  CHECK(!replay.Adopt(older, report));
  CHECK(!replay.Adopt(newer, report));
  CHECK(replay.Current() == newer);

  fixture.log.SetDown(false);
  fixture.Put(kNotesStream, Note(2, "c"));
  fixture.Read(replay);
  CHECK(replay.Current() == PolicyOf(fixture));
}

// Guards against a reader that was paused beyond the retention time and then
// reverts its policy, or loses the notes that it read after the gap.
TEST_CASE("a gap is closed by a peer's policy and the notes read after the gap")
{
  JournalFixture fixture;
  fixture.Put(kNotesStream, Note(0, "a"));
  NoteReplay paused(fixture.codec);
  fixture.Read(paused);
  fixture.Put(kNotesStream, Note(1, "b"));
  const policy::Policy peer = PolicyOf(fixture);
  fixture.Put(kNotesStream, Note(2, "c"));
  const policy::Policy expected = PolicyOf(fixture);
  fixture.log.ExpireBelow(kNotesStream, base::LogOffset(2));

  fixture.Read(paused);
  CHECK(!paused.IsComplete());
  CHECK(paused.Current().version.Get() == 1);
  std::vector<ReplayedRecord> report;
  CHECK(paused.Adopt(peer, report));
  CHECK(Verdicts(report) == std::vector{ Verdict::Applied });
  CHECK(paused.IsComplete());
  CHECK(paused.Current() == expected);
}
