#include "amaranthwind/journal/CheckpointWriter.h"

#include "JournalFixture.h"

#include <doctest/doctest.h>

using namespace amaranthwind;
using namespace amaranthwind::journal;
using namespace std::chrono_literals;
using base::ErrorCode;

namespace {

constexpr std::size_t kSmallChunk = 1500;
constexpr base::LogOffset kCoveredOffset(4);

/** A cell with enough jobs for several small chunks, and a replay of it. */
struct CellWithJobs : JournalFixture
{
  base::FencingToken token = this->PutEpoch("e1");
  CellReplay replay{ codec };

  CellWithJobs()
  {
    for (const char* const job : { "a", "b", "c", "d", "e" }) {
      this->Put(kCell, Accepted(this->token, job, 2));
    }
    this->Put(kCell, Decision(this->token, "b", 1));
    this->Put(kCell, JobEndedRecord{ this->token, base::JobId("a"), {}, {} });
    this->Read(this->replay);
  }

  base::Result<void> Write()
  {
    const auto records =
      MakeCellCheckpoint(this->replay, this->random, kSmallChunk);
    REQUIRE(records.size() == 3);
    const Fence fence = this->replay.MakeFence();
    return WriteCheckpoint(
      this->appender, kCell, records, fence.checkedBelow, fence);
  }
};

} // namespace

// Guards against a replacement process that computes another state because the
// append of one chunk had a fault.
TEST_CASE("a checkpoint written despite append faults restores the state")
{
  using enum AppendFault;
  for (const AppendFault fault :
       { Refused, RequestLost, ResponseLost, DelayedUntilNext }) {
    for (std::size_t chunk = 0; chunk < 3; ++chunk) {
      CAPTURE(chunk);
      CAPTURE(static_cast<int>(fault));
      CellWithJobs cell;
      std::vector<AppendFault> faults(chunk, None);
      faults.push_back(fault);
      cell.log.InjectAppendFaults(faults);
      const auto covered = cell.replay.NextOffset();
      REQUIRE(cell.Write().has_value());
      cell.Put(kCell, Decision(cell.token, "c", 1));
      cell.Read(cell.replay);
      CHECK(cell.replay.NewestCheckpoint() == covered);

      cell.log.ExpireBelow(kCell, covered);
      CellReplay fresh(cell.codec);
      cell.Read(fresh);
      CHECK(fresh.IsComplete());
      CHECK(fresh.State() == cell.replay.State());
    }
  }
}

// Guards against restoring the state from an incomplete checkpoint.
TEST_CASE("a checkpoint interrupted by an outage or a newer epoch is ignored")
{
  for (const bool isOutage : { true, false }) {
    CAPTURE(isOutage);
    CellWithJobs cell;
    REQUIRE(cell.Write().has_value());
    const auto covered = cell.replay.NextOffset();
    cell.Put(kCell, Accepted(cell.token, "f"));
    cell.Read(cell.replay);
    cell.duringWait = [&] {
      if (isOutage) {
        cell.log.SetDown(true);
      } else if (cell.replay.Token() == cell.token) {
        cell.PutEpoch("e2");
        cell.Read(cell.replay);
      }
    };
    cell.log.InjectAppendFaults(
      std::vector{ AppendFault::None, AppendFault::Refused });
    const auto written = cell.Write();
    REQUIRE(written.has_error());
    CHECK(written.error().code ==
          (isOutage ? ErrorCode::LogUnavailable : ErrorCode::StaleToken));
    cell.log.SetDown(false);
    cell.Read(cell.replay);
    CHECK(cell.replay.NewestCheckpoint() == covered);

    cell.log.ExpireBelow(kCell, covered);
    CellReplay fresh(cell.codec);
    cell.Read(fresh);
    CHECK(fresh.IsComplete());
    CHECK(fresh.State() == cell.replay.State());
  }
}

// Guards against a reader that was paused beyond the retention time and keeps
// the state of an earlier epoch.
TEST_CASE("a reader with a gap continues from the next checkpoint")
{
  CellWithJobs cell;
  CellReplay paused(cell.codec);
  cell.Read(paused);
  const CellState before = paused.State();
  const auto second = cell.PutEpoch("e2");
  cell.Put(kCell, Decision(second, "c", 2));
  cell.Read(cell.replay);
  cell.log.ExpireBelow(kCell, cell.log.End(kCell));
  cell.Read(paused);
  CHECK(!paused.IsComplete());
  CHECK(paused.State() == before);

  cell.Put(kCell, Decision(second, "d", 2));
  REQUIRE(cell.Write().has_value());
  cell.Read(cell.replay);
  cell.Read(paused);
  CHECK(paused.IsComplete());
  CHECK(paused.State() == cell.replay.State());
}

// Guards against losing the policy when the notes it was built from expire.
TEST_CASE(
  "a policy checkpoint written despite a delayed append restores the policy")
{
  JournalFixture fixture;
  fixture.Put(kNotesStream, Note(0, "a"));
  fixture.Put(kNotesStream, Note(1, "b"));
  NoteReplay replay(fixture.codec);
  fixture.Read(replay);
  const std::vector records{ MakePolicyCheckpoint(replay, fixture.random) };
  fixture.log.InjectAppendFaults(std::vector{ AppendFault::DelayedUntilNext });
  REQUIRE(WriteCheckpoint(
            fixture.appender, kNotesStream, records, replay.NextOffset(), {})
            .has_value());
  fixture.log.ExpireBelow(kNotesStream, base::LogOffset(2));
  NoteReplay fresh(fixture.codec);
  fixture.Read(fresh);
  fixture.Read(replay);
  CHECK(fresh.IsComplete());
  CHECK(fresh.Current() == replay.Current());
  CHECK(fresh.Current().version.Get() == 2);
}

// Guards against a checkpoint that expires before the next one, a process that
// restarts too often to write any, and all writers writing at once.
TEST_CASE("a checkpoint is due at the start and every quarter of the retention")
{
  base::ManualClock clock;
  CheckpointSchedule first(24h, kCoveredOffset, clock.Now());
  CheckpointSchedule second(24h, kCoveredOffset, clock.Now(), 1min);
  CHECK(first.IsDue(clock.Now()));
  CHECK(!second.IsDue(clock.Now()));
  first.OnWriteFailed(clock.Now());
  CHECK(!first.IsDue(clock.Now()));
  clock.Advance(1min);
  CHECK(first.IsDue(clock.Now()));
  first.OnCheckpointRead(base::LogOffset(5), clock.Now());
  second.OnCheckpointRead(base::LogOffset(5), clock.Now());
  clock.Advance(6h);
  // Reading the same checkpoint again does not postpone the next one.
  first.OnCheckpointRead(base::LogOffset(5), clock.Now());
  CHECK(first.IsDue(clock.Now()));
  CHECK(!second.IsDue(clock.Now()));
}
