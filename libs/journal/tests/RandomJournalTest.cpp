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
/** Records between two copies at most; retention leaves as many in front of the
 * newest checkpoint. */
constexpr std::uint64_t kLatestCopy = 60;
constexpr std::size_t kLatestRelease = 5;

struct Coordinator
{
  std::unique_ptr<CellReplay> cell;
  std::unique_ptr<NoteReplay> notes;
  std::optional<base::FencingToken> own;
};

/** Random writers and readers of one cell and of the notes. */
struct RandomRun : JournalFixture
{
  std::vector<Coordinator> coordinators{ kCoordinators };
  /** Read after every step, so that nothing ever expires before them. */
  CellReplay cellWitness{ codec };
  NoteReplay noteWitness{ codec };
  std::map<base::RecordId, Verdict> verdicts;
  std::map<base::RecordId, base::Result<base::LogOffset>> results;
  std::vector<std::pair<std::string, Record>> written;
  std::uint64_t nextJob = 0;
  std::size_t steps = 0;

  explicit RandomRun(std::uint64_t aSeed)
  {
    this->random.seed(aSeed);
    this->duringWait = [this] {
      if (this->Below(4) == 0) {
        this->log.ReleaseLate();
      }
    };
    for (Coordinator& each : this->coordinators) {
      this->Restart(each);
    }
  }

  std::uint64_t Below(std::uint64_t aLimit) { return this->random() % aLimit; }

  void Restart(Coordinator& aWho)
  {
    aWho.cell = std::make_unique<CellReplay>(this->codec);
    aWho.notes = std::make_unique<NoteReplay>(this->codec);
    aWho.own.reset();
  }

  void PlanFaults()
  {
    std::vector<AppendFault> faults;
    while (this->Below(2) == 0) {
      faults.push_back(static_cast<AppendFault>(this->Below(6)));
    }
    this->log.PlanAppends(faults);
    this->log.FailReads(static_cast<std::uint32_t>(this->Below(3)));
  }

  /** Empty if the append failed. */
  std::optional<base::LogOffset> Write(std::string_view aStream,
                                       Record aRecord,
                                       base::LogOffset aFrom,
                                       std::optional<Fence> aFence = {})
  {
    AppendTask task{
      std::string(aStream), std::move(aRecord), aFrom, std::move(aFence), false
    };
    this->PlanFaults();
    auto result = this->appender.Append(task);
    this->log.FailReads(0);
    this->written.emplace_back(task.stream, task.record);
    this->results.insert_or_assign(task.record.id, result);
    return result.has_value() ? std::optional(result.value()) : std::nullopt;
  }

  /** A record of a coordinator under aToken, about a job that it knows. */
  RecordBody RandomBody(const CellReplay& aCell, base::FencingToken aToken)
  {
    const auto live = aCell.LiveJobs();
    if (live.empty() || this->Below(4) == 0) {
      return Accepted(
        aToken, "j" + std::to_string(this->nextJob++), 1 + this->Below(3));
    }
    const JobState& job = *live[this->Below(live.size())];
    const std::string_view id = job.spec.id.View();
    if (this->Below(10) == 0) {
      return JobCancelledRecord{ aToken, job.spec.id };
    }
    if (this->Below(10) == 0) {
      return JobEndedRecord{ aToken, job.spec.id, JobOutcome::Failed, {} };
    }
    if (job.phase == JobPhase::Committed) {
      return AttemptEnded(aToken,
                          id,
                          job.lastAttempt.Get(),
                          static_cast<AttemptOutcome>(this->Below(4)));
    }
    return Decision(aToken, id, job.lastAttempt.Get() + 1, this->Below(3) > 0);
  }

  /** Acts as a coordinator does, by what aWho has read so far. */
  void Act(Coordinator& aWho)
  {
    CellReplay& cell = *aWho.cell;
    if (!aWho.own || this->Below(30) == 0) {
      const auto appended =
        this->Write(kCell,
                    this->Make(EpochRecord{ base::EntryId("e") }),
                    cell.NextOffset());
      if (appended) {
        aWho.own = base::FencingToken(appended->Get());
      }
    } else if (cell.IsComplete() && cell.Token() == aWho.own) {
      if (this->Below(20) == 0) {
        this->PlanFaults();
        const auto records =
          MakeCellCheckpoint(cell, this->random, kSmallChunk);
        static_cast<void>(WriteCheckpoint(
          this->appender, kCell, records, cell.NextOffset(), cell.MakeFence()));
        this->log.FailReads(0);
      } else {
        this->Write(kCell,
                    this->Make(this->RandomBody(cell, *aWho.own)),
                    cell.NextOffset(),
                    cell.MakeFence());
      }
    }
  }

  void Publish(const Coordinator& aWho)
  {
    const NoteReplay& notes = *aWho.notes;
    if (notes.IsComplete() && this->Below(10) == 0) {
      this->Write(kNotesStream,
                  MakePolicyCheckpoint(notes, this->random),
                  notes.NextOffset());
    } else {
      // Sometimes on a version that is not in force yet.
      const std::uint64_t base =
        notes.Current().version.Get() + (this->Below(4) == 0 ? 1 : 0);
      this->Write(kNotesStream,
                  this->Make(Note(base, "a" + std::to_string(this->Below(9)))),
                  notes.NextOffset());
    }
  }

  /** A second copy, a bad record, or one with a token of any epoch. */
  void PutStray()
  {
    const std::size_t recent = std::min<std::size_t>(this->written.size(), 5);
    if (recent > 0 && this->Below(2) == 0) {
      const auto& [stream, record] =
        this->written[this->written.size() - 1 - this->Below(recent)];
      static_cast<void>(this->log.Append(stream, this->codec.Encode(record)));
      return;
    }
    const std::string_view stream = this->Below(2) == 0 ? kCell : kNotesStream;
    const std::vector bad(this->Below(12), std::byte{ 0xFF });
    static_cast<void>(this->log.Append(stream, bad));
    const base::FencingToken token(this->Below(this->log.End(kCell).Get() + 1));
    const Record stray = this->Make(this->RandomBody(this->cellWitness, token));
    static_cast<void>(this->log.Append(kCell, this->codec.Encode(stray)));
  }

  void Remember(const std::vector<ReplayedRecord>& aReport)
  {
    for (const ReplayedRecord& each : aReport) {
      if (each.verdict != Verdict::Malformed) {
        this->verdicts.try_emplace(each.id, each.verdict);
      }
    }
  }

  void ReadWitness()
  {
    this->Remember(ReadToEnd(this->log, kCell, this->cellWitness).value());
    this->Remember(
      ReadToEnd(this->log, kNotesStream, this->noteWitness).value());
  }

  void Expire(std::string_view aStream, base::LogOffset aCovered)
  {
    if (aCovered.Get() > kLatestCopy) {
      this->log.ExpireBelow(
        aStream, base::LogOffset(this->Below(aCovered.Get() - kLatestCopy)));
    }
  }

  void Step()
  {
    Coordinator& who = this->coordinators[this->Below(kCoordinators)];
    switch (this->Below(8)) {
      case 0:
        this->PutStray();
        break;
      case 1:
        this->Publish(who);
        break;
      case 2:
      case 3:
        static_cast<void>(ReadToEnd(this->log, kCell, *who.cell));
        static_cast<void>(ReadToEnd(this->log, kNotesStream, *who.notes));
        break;
      case 4:
        if (this->Below(8) == 0) {
          this->Restart(who);
          if (this->Below(2) == 0) {
            std::vector<ReplayedRecord> report;
            who.notes->Adopt(this->noteWitness.Current(), report);
          }
        }
        break;
      default:
        this->Act(who);
    }
    if (++this->steps % kLatestRelease == 0) {
      this->log.ReleaseLate();
    }
    this->ReadWitness();
    this->Expire(kCell, this->cellWitness.NewestCheckpoint());
    this->Expire(kNotesStream, this->noteWitness.NewestCheckpoint());
  }

  void CheckReaders()
  {
    this->log.PlanAppends(std::vector{ AppendFault::None });
    this->log.ReleaseLate();
    this->ReadWitness();
    this->coordinators.emplace_back();
    this->Restart(this->coordinators.back());
    for (Coordinator& each : this->coordinators) {
      REQUIRE(ReadToEnd(this->log, kCell, *each.cell).has_value());
      REQUIRE(ReadToEnd(this->log, kNotesStream, *each.notes).has_value());
      REQUIRE(each.cell->IsComplete());
      REQUIRE(each.notes->IsComplete());
      CHECK(each.cell->State() == this->cellWitness.State());
      CHECK(each.notes->Current() == this->noteWitness.Current());
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

// Guards against readers of one log that come to different states, and against
// writers that were told another result than the readers see, whatever appends
// were lost, late or doubled and whatever has expired.
TEST_CASE("all readers of a random log agree with each other and the writers")
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
  // The runs reach what they are to check.
  CHECK(applied > 1000);
  CHECK(stale > 100);
}
