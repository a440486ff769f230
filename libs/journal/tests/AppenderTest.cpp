#include "amaranthwind/journal/Appender.h"

#include "JournalFixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace amaranthwind;
using namespace amaranthwind::journal;
using base::ErrorCode;

namespace {

/** Confirms nothing and gives no records, although it has some. */
class EmptyLog final : public LogClient
{
public:
  base::Result<base::LogOffset> Append(std::string_view,
                                       std::span<const std::byte>) override
  {
    return base::Fail(ErrorCode::AppendUnconfirmed);
  }
  base::Result<ReadBatch> Read(std::string_view,
                               base::LogOffset,
                               std::uint32_t) override
  {
    return ReadBatch{ {}, {}, base::LogOffset(9) };
  }
};

/** Copies of a note that are in the log. */
auto
CountCopies(JournalFixture& aFixture, const base::RecordId& aId)
{
  NoteReplay replay(aFixture.codec);
  const auto report = aFixture.Read(replay);
  return std::count_if(
    report.begin(), report.end(), [&](const ReplayedRecord& aRecord) {
      return aRecord.id == aId;
    });
}

} // namespace

// Guards against a writer that reports success for a record that is not in the
// log, or failure for one that is.
TEST_CASE("a lost answer or an outage at each step leads to a true result")
{
  using Fault = AppendFault;
  struct Case
  {
    const char* name;
    std::vector<Fault> faults;
    std::uint32_t failingReads;
    std::ptrdiff_t copies;
    std::uint64_t offset;
  };
  const std::vector<Case> cases{
    { "no fault", {}, 0, 1, 1 },
    { "log down once", { Fault::Refused }, 0, 1, 1 },
    { "lost, appended", { Fault::LostAfter }, 0, 1, 1 },
    { "lost, not appended", { Fault::LostBefore }, 0, 1, 1 },
    { "lost twice", { Fault::LostBefore, Fault::LostAfter }, 0, 1, 1 },
    { "lost, then down", { Fault::LostBefore, Fault::Refused }, 0, 1, 1 },
    { "lost, read back fails", { Fault::LostAfter }, 3, 1, 1 },
    { "late copy before", { Fault::LateBeforeNext }, 0, 2, 1 },
    { "late twice", { Fault::LateBeforeNext, Fault::LateBeforeNext }, 0, 1, 1 },
  };
  for (const Case& each : cases) {
    CAPTURE(each.name);
    JournalFixture fixture;
    fixture.Put(kNotesStream, Note(0, "a"));
    AppendTask task =
      fixture.Task(kNotesStream, Note(1, "b"), base::LogOffset(1));
    fixture.log.PlanAppends(each.faults);
    fixture.log.FailReads(each.failingReads);
    const auto result = fixture.appender.Append(task);
    REQUIRE(result.has_value());
    CHECK(result.value().Get() == each.offset);
    CHECK(CountCopies(fixture, task.record.id) == each.copies);
    NoteReplay replay(fixture.codec);
    fixture.Read(replay);
    CHECK(replay.Current().version.Get() == 2);
  }
}

// Guards against "not appended" for a record whose append may still take
// effect.
TEST_CASE("giving up says whether the record may be in the log")
{
  JournalFixture fixture;
  AppendTask task = fixture.Task(kNotesStream, Note(0, "a"));
  fixture.log.SetDown(true);
  auto result = fixture.appender.Append(task);
  REQUIRE(result.has_error());
  CHECK(result.error().code == ErrorCode::LogUnavailable);
  CHECK(!task.mayBeInLog);
  CHECK(fixture.clock.Now().time_since_epoch() <= std::chrono::seconds(30));

  fixture.log.SetDown(false);
  fixture.log.PlanAppends(std::vector{ AppendFault::LostThenLate });
  fixture.duringWait = [&] { fixture.log.SetDown(true); };
  result = fixture.appender.Append(task);
  REQUIRE(result.has_error());
  CHECK(result.error().code == ErrorCode::AppendUnconfirmed);

  // Hours later the log is back, and so is the append that was on its way.
  fixture.duringWait = {};
  fixture.clock.Advance(std::chrono::hours(5));
  fixture.log.SetDown(false);
  fixture.log.ReleaseLate();
  result = fixture.appender.Append(task);
  REQUIRE(result.has_value());
  CHECK(CountCopies(fixture, task.record.id) == 1);
}

// Guards against a record that is appended again after the log has deleted its
// first copy, which readers may have taken into account.
TEST_CASE("a record that may have expired is neither confirmed nor repeated")
{
  JournalFixture fixture;
  AppendTask task = fixture.Task(kNotesStream, Note(0, "a"));
  fixture.log.PlanAppends(std::vector{ AppendFault::LostAfter });
  fixture.duringWait = [&] {
    fixture.log.ExpireBelow(kNotesStream, base::LogOffset(1));
  };
  const auto result = fixture.appender.Append(task);
  REQUIRE(result.has_error());
  CHECK(result.error() ==
        base::Error{ ErrorCode::AppendUnconfirmed, "expired" });
  CHECK(fixture.log.AppendCalls() == 1);
}

// Guards against a gang that starts on the decision of a former coordinator,
// and against a coordinator that sees another fate than the readers of the log.
TEST_CASE("a decision is refused if a newer epoch stands before it")
{
  using Fault = AppendFault;
  struct Case
  {
    const char* name;
    std::vector<Fault> faults;
    bool isEpochFirst;
    bool isCommitted;
  };
  const std::vector<Case> cases{
    { "no epoch, no fault", {}, false, true },
    { "epoch before", {}, true, false },
    { "epoch before, lost, appended", { Fault::LostAfter }, true, false },
    { "epoch before, lost", { Fault::LostBefore }, true, false },
    { "epoch after, appended", { Fault::LostAfter }, false, true },
    { "epoch after, lost", { Fault::LostBefore }, false, false },
    { "epoch after the late record", { Fault::LateBeforeNext }, false, true },
    { "epoch before the late record", { Fault::LostThenLate }, false, false },
  };
  for (const Case& each : cases) {
    CAPTURE(each.name);
    JournalFixture fixture;
    const Record ownEpoch = fixture.Make(EpochRecord{ base::EntryId("e1") });
    const base::FencingToken token(fixture.Put(kCell, ownEpoch).Get());
    fixture.Put(kCell, Accepted(token, "j"));
    CellReplay replay(fixture.codec);
    fixture.Read(replay);
    AppendTask task{ std::string(kCell),
                     fixture.Make(Decision(token, "j", 1)),
                     replay.NextOffset(),
                     replay.MakeFence(),
                     false };
    // A second copy of the own epoch is no newer epoch.
    fixture.Put(kCell, ownEpoch);
    if (each.isEpochFirst) {
      fixture.PutEpoch("e2");
    }
    fixture.duringWait = [&] {
      fixture.duringWait = {};
      if (!each.isEpochFirst) {
        fixture.PutEpoch("e2");
      }
      fixture.log.ReleaseLate();
    };
    fixture.log.PlanAppends(each.faults);
    const auto result = fixture.appender.Append(task);
    CHECK(result.has_value() == each.isCommitted);
    if (result.has_error()) {
      CHECK(result.error() == base::Error{ ErrorCode::StaleToken, "e2" });
    }
    fixture.Read(replay);
    const auto fate = replay.FateOf({ base::JobId("j"), base::Attempt(1) });
    CHECK(fate ==
          (each.isCommitted ? AttemptFate::Committed : AttemptFate::Voided));
  }
}

// Guards against a thread that asks without end for records that do not come.
TEST_CASE("a log that gives no records is not read in a loop")
{
  JournalFixture fixture;
  EmptyLog log;
  NoteReplay replay(fixture.codec);
  const auto read = ReadToEnd(log, kNotesStream, replay);
  REQUIRE(read.has_error());
  CHECK(read.error().code == ErrorCode::LogUnavailable);
  Appender appender(log, fixture.codec, fixture.clock, fixture.waiter);
  AppendTask task = fixture.Task(kNotesStream, Note(0, "a"));
  const auto result = appender.Append(task);
  REQUIRE(result.has_error());
  CHECK(result.error().code == ErrorCode::AppendUnconfirmed);
}
