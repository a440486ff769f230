#include "JournalFixture.h"

#include "amaranthwind/journal/CheckpointWriter.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>

using namespace amaranthwind;
using namespace amaranthwind::journal;
using base::ErrorCode;

namespace {

constexpr std::size_t kSteps = 600;
constexpr std::size_t kCoordinators = 3;
constexpr std::size_t kSmallChunk = 2000;
/**
 * Maximum distance between two copies of a record. At least as many records are
 * retained before the newest checkpoint.
 */
constexpr std::uint64_t kMaxCopyDistance = 60;
constexpr std::size_t kReleaseInterval = 5;

struct Coordinator
{
  std::unique_ptr<CellReplay> cell;
  std::unique_ptr<NoteReplay> notes;
  std::optional<base::FencingToken> ownToken;
};

/** Runs random writers and readers of one cell and of the notes. */
struct RandomRun : JournalFixture
{
  std::vector<Coordinator> coordinators{ kCoordinators };
  /** Reads after every step, so that no record expires unread. */
  CellReplay referenceCell{ codec };
  NoteReplay referenceNotes{ codec };
  std::map<base::RecordId, Verdict> verdicts;
  std::map<base::RecordId, base::Result<base::LogOffset>> results;
  std::vector<std::pair<std::string, Record>> written;
  std::uint64_t nextJob = 0;
  std::size_t steps = 0;

  explicit RandomRun(std::uint64_t aSeed)
  {
    this->random.seed(aSeed);
    this->duringWait = [this] {
      if (this->RandomBelow(4) == 0) {
        this->log.ReleaseDelayed();
      }
    };
    for (Coordinator& each : this->coordinators) {
      this->Restart(each);
    }
  }

  std::uint64_t RandomBelow(std::uint64_t aLimit)
  {
    return this->random() % aLimit;
  }

  void Restart(Coordinator& aCoordinator)
  {
    aCoordinator.cell = std::make_unique<CellReplay>(this->codec);
    aCoordinator.notes = std::make_unique<NoteReplay>(this->codec);
    aCoordinator.ownToken.reset();
  }

  void InjectFaults()
  {
    std::vector<AppendFault> faults;
    while (this->RandomBelow(2) == 0) {
      faults.push_back(static_cast<AppendFault>(this->RandomBelow(6)));
    }
    this->log.InjectAppendFaults(faults);
    this->log.FailReads(static_cast<std::uint32_t>(this->RandomBelow(3)));
  }

  /** Appends through injected faults; returns nothing if the append failed. */
  std::optional<base::LogOffset> Write(std::string_view aStream,
                                       Record aRecord,
                                       base::LogOffset aFrom,
                                       std::optional<Fence> aFence = {})
  {
    AppendTask task{
      std::string(aStream), std::move(aRecord), aFrom, std::move(aFence), false
    };
    this->InjectFaults();
    auto result = this->appender.Append(task);
    this->log.FailReads(0);
    this->written.emplace_back(task.stream, task.record);
    this->results.insert_or_assign(task.record.id, result);
    return result.has_value() ? std::optional(result.value()) : std::nullopt;
  }

  /** Returns a random record with aToken for a new or live job of aCell. */
  RecordBody RandomBody(const CellReplay& aCell, base::FencingToken aToken)
  {
    const auto live = aCell.LiveJobs();
    if (live.empty() || this->RandomBelow(4) == 0) {
      return Accepted(aToken,
                      "j" + std::to_string(this->nextJob++),
                      1 + this->RandomBelow(3));
    }
    const JobState& job = *live[this->RandomBelow(live.size())];
    const std::string_view id = job.spec.id.View();
    if (this->RandomBelow(10) == 0) {
      return JobCancelledRecord{ aToken, job.spec.id };
    }
    if (this->RandomBelow(10) == 0) {
      return JobEndedRecord{ aToken, job.spec.id, JobOutcome::Failed, {} };
    }
    if (job.phase == JobPhase::Committed) {
      return AttemptEnded(aToken,
                          id,
                          job.lastAttempt.Get(),
                          static_cast<AttemptOutcome>(this->RandomBelow(4)));
    }
    return Decision(
      aToken, id, job.lastAttempt.Get() + 1, this->RandomBelow(3) > 0);
  }

  /** Performs one action of a coordinator, based on what it has read so far. */
  void ActAsCoordinator(Coordinator& aCoordinator)
  {
    CellReplay& cell = *aCoordinator.cell;
    if (!aCoordinator.ownToken || this->RandomBelow(30) == 0) {
      const auto appended =
        this->Write(kCell,
                    this->Make(EpochRecord{ base::EntryId("e") }),
                    cell.NextOffset());
      if (appended) {
        aCoordinator.ownToken = base::FencingToken(appended->Get());
      }
    } else if (cell.IsComplete() && cell.Token() == aCoordinator.ownToken) {
      if (this->RandomBelow(20) == 0) {
        this->InjectFaults();
        const auto records =
          MakeCellCheckpoint(cell, this->random, kSmallChunk);
        static_cast<void>(WriteCheckpoint(
          this->appender, kCell, records, cell.NextOffset(), cell.MakeFence()));
        this->log.FailReads(0);
      } else {
        this->Write(kCell,
                    this->Make(this->RandomBody(cell, *aCoordinator.ownToken)),
                    cell.NextOffset(),
                    cell.MakeFence());
      }
    }
  }

  void PublishNote(const Coordinator& aCoordinator)
  {
    const NoteReplay& notes = *aCoordinator.notes;
    if (notes.IsComplete() && this->RandomBelow(10) == 0) {
      this->Write(kNotesStream,
                  MakePolicyCheckpoint(notes, this->random),
                  notes.NextOffset());
    } else {
      // Sometimes uses a base version that does not exist yet.
      const std::uint64_t base =
        notes.Current().version.Get() + (this->RandomBelow(4) == 0 ? 1 : 0);
      this->Write(
        kNotesStream,
        this->Make(Note(base, "a" + std::to_string(this->RandomBelow(9)))),
        notes.NextOffset());
    }
  }

  /**
   * Appends a duplicate, or an invalid record and one with an arbitrary token.
   */
  void AppendStrayRecords()
  {
    const std::size_t recent = std::min<std::size_t>(this->written.size(), 5);
    if (recent > 0 && this->RandomBelow(2) == 0) {
      const auto& [stream, record] =
        this->written[this->written.size() - 1 - this->RandomBelow(recent)];
      static_cast<void>(this->log.Append(stream, this->codec.Encode(record)));
      return;
    }
    const std::string_view stream =
      this->RandomBelow(2) == 0 ? kCell : kNotesStream;
    const std::vector invalid(this->RandomBelow(12), std::byte{ 0xFF });
    static_cast<void>(this->log.Append(stream, invalid));
    const base::FencingToken token(
      this->RandomBelow(this->log.End(kCell).Get() + 1));
    const Record stray =
      this->Make(this->RandomBody(this->referenceCell, token));
    static_cast<void>(this->log.Append(kCell, this->codec.Encode(stray)));
  }

  void RecordVerdicts(const std::vector<ReplayedRecord>& aReport)
  {
    for (const ReplayedRecord& each : aReport) {
      if (each.verdict != Verdict::Malformed) {
        this->verdicts.try_emplace(each.id, each.verdict);
      }
    }
  }

  void ReadReferences()
  {
    this->RecordVerdicts(
      ReadToEnd(this->log, kCell, this->referenceCell).value());
    this->RecordVerdicts(
      ReadToEnd(this->log, kNotesStream, this->referenceNotes).value());
  }

  void Expire(std::string_view aStream, base::LogOffset aCovered)
  {
    if (aCovered.Get() > kMaxCopyDistance) {
      this->log.ExpireBelow(
        aStream,
        base::LogOffset(this->RandomBelow(aCovered.Get() - kMaxCopyDistance)));
    }
  }

  void Step()
  {
    Coordinator& coordinator =
      this->coordinators[this->RandomBelow(kCoordinators)];
    switch (this->RandomBelow(8)) {
      case 0:
        this->AppendStrayRecords();
        break;
      case 1:
        this->PublishNote(coordinator);
        break;
      case 2:
      case 3:
        static_cast<void>(ReadToEnd(this->log, kCell, *coordinator.cell));
        static_cast<void>(
          ReadToEnd(this->log, kNotesStream, *coordinator.notes));
        break;
      case 4:
        if (this->RandomBelow(8) == 0) {
          this->Restart(coordinator);
          if (this->RandomBelow(2) == 0) {
            std::vector<ReplayedRecord> report;
            coordinator.notes->Adopt(this->referenceNotes.Current(), report);
          }
        }
        break;
      default:
        this->ActAsCoordinator(coordinator);
    }
    if (++this->steps % kReleaseInterval == 0) {
      this->log.ReleaseDelayed();
    }
    this->ReadReferences();
    this->Expire(kCell, this->referenceCell.NewestCheckpoint());
    this->Expire(kNotesStream, this->referenceNotes.NewestCheckpoint());
  }

  void CheckReaders()
  {
    this->log.InjectAppendFaults(std::vector{ AppendFault::None });
    this->log.ReleaseDelayed();
    this->ReadReferences();
    this->coordinators.emplace_back();
    this->Restart(this->coordinators.back());
    for (Coordinator& each : this->coordinators) {
      REQUIRE(ReadToEnd(this->log, kCell, *each.cell).has_value());
      REQUIRE(ReadToEnd(this->log, kNotesStream, *each.notes).has_value());
      REQUIRE(each.cell->IsComplete());
      REQUIRE(each.notes->IsComplete());
      CHECK(each.cell->State() == this->referenceCell.State());
      CHECK(each.notes->Current() == this->referenceNotes.Current());
    }
  }

  void CheckResults()
  {
    for (const auto& [id, result] : this->results) {
      const auto verdict = this->verdicts.find(id);
      const bool isInLog = verdict != this->verdicts.end();
      const bool isStale = isInLog && verdict->second == Verdict::StaleToken;
      if (result.has_value()) {
        CHECK((isInLog && !isStale));
      } else if (result.error().code == ErrorCode::StaleToken) {
        CHECK((!isInLog || isStale));
      } else if (result.error().code == ErrorCode::LogUnavailable) {
        CHECK(!isInLog);
      }
    }
  }
};

} // namespace

// Guards against readers of one log computing different states, and against
// append results that contradict what the readers see, with lost, delayed and
// duplicate appends and expired records.
TEST_CASE(
  "all readers of a random log agree with each other and with the writers")
{
  std::size_t applied = 0;
  std::size_t stale = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    CAPTURE(seed);
    RandomRun run(seed);
    for (std::size_t i = 0; i < kSteps; ++i) {
      run.Step();
    }
    run.CheckReaders();
    run.CheckResults();
    for (const auto& [id, verdict] : run.verdicts) {
      applied += verdict == Verdict::Applied ? 1 : 0;
      stale += verdict == Verdict::StaleToken ? 1 : 0;
    }
  }
  // Ensures that the runs exercise both outcomes.
  CHECK(applied > 1000);
  CHECK(stale > 100);
}
