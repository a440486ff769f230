#include "amaranthwind/journal/Appender.h"

#include "JournalFixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace amaranthwind;
using namespace amaranthwind::journal;
using base::ErrorCode;

namespace {

/** Confirms no append and returns no records, although its end is not 0. */
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

/** Returns the number of copies of a note in the log. */
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

// Guards against reporting success for a record that is not in the log, or
// failure for one that is.
TEST_CASE(
  "an append returns the correct result after a lost response or an outage")
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
    { "response lost", { Fault::ResponseLost }, 0, 1, 1 },
    { "request lost", { Fault::RequestLost }, 0, 1, 1 },
    { "request lost, then response lost",
      { Fault::RequestLost, Fault::ResponseLost },
      0,
      1,
      1 },
    { "request lost, then log down",
      { Fault::RequestLost, Fault::Refused },
      0,
      1,
      1 },
    { "response lost, reading back fails", { Fault::ResponseLost }, 3, 1, 1 },
    { "earlier copy appended late", { Fault::DelayedUntilNext }, 0, 2, 1 },
    { "appended late twice",
      { Fault::DelayedUntilNext, Fault::DelayedUntilNext },
      0,
      1,
      1 },
  };
  for (const Case& each : cases) {
    CAPTURE(each.name);
    JournalFixture fixture;
    fixture.Put(kNotesStream, Note(0, "a"));
    AppendTask task =
      fixture.Task(kNotesStream, Note(1, "b"), base::LogOffset(1));
    fixture.log.InjectAppendFaults(each.faults);
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

// Guards against reporting "not appended" while the append may still take
// effect.
TEST_CASE(
  "an append that gives up reports whether the record may be in the log")
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
  fixture.log.InjectAppendFaults(std::vector{ AppendFault::Delayed });
  fixture.duringWait = [&] { fixture.log.SetDown(true); };
  result = fixture.appender.Append(task);
  REQUIRE(result.has_error());
  CHECK(result.error().code == ErrorCode::AppendUnconfirmed);

  // The log recovers after hours and performs the delayed append.
  fixture.duringWait = {};
  fixture.clock.Advance(std::chrono::hours(5));
  fixture.log.SetDown(false);
  fixture.log.ReleaseDelayed();
  result = fixture.appender.Append(task);
  REQUIRE(result.has_value());
  CHECK(CountCopies(fixture, task.record.id) == 1);
}

// Guards against appending a record again after its first copy expired, which
// readers may already have applied.
TEST_CASE(
  "a record that may have expired is neither confirmed nor appended again")
{
  JournalFixture fixture;
  AppendTask task = fixture.Task(kNotesStream, Note(0, "a"));
  fixture.log.InjectAppendFaults(std::vector{ AppendFault::ResponseLost });
  fixture.duringWait = [&] {
    fixture.log.ExpireBelow(kNotesStream, base::LogOffset(1));
  };
  const auto result = fixture.appender.Append(task);
  REQUIRE(result.has_error());
  CHECK(result.error() ==
        base::Error{ ErrorCode::AppendUnconfirmed, "expired" });
  CHECK(fixture.log.AppendCalls() == 1);
}

// Guards against a gang started by the decision of a former coordinator, and
// against a result that differs from what the readers of the log compute.
TEST_CASE("a decision is rejected if a newer epoch precedes it")
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
    { "epoch before, response lost", { Fault::ResponseLost }, true, false },
    { "epoch before, request lost", { Fault::RequestLost }, true, false },
    { "epoch after, response lost", { Fault::ResponseLost }, false, true },
    { "epoch after, request lost", { Fault::RequestLost }, false, false },
    { "epoch after the delayed record",
      { Fault::DelayedUntilNext },
      false,
      true },
    { "epoch before the delayed record", { Fault::Delayed }, false, false },
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
    // A duplicate of the writer's epoch record is not a newer epoch.
    fixture.Put(kCell, ownEpoch);
    if (each.isEpochFirst) {
      fixture.PutEpoch("e2");
    }
    fixture.duringWait = [&] {
      fixture.duringWait = {};
      if (!each.isEpochFirst) {
        fixture.PutEpoch("e2");
      }
      fixture.log.ReleaseDelayed();
    };
    fixture.log.InjectAppendFaults(each.faults);
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

// Guards against an endless loop when reads return no records.
TEST_CASE("an empty read before the end of the log is an error")
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
