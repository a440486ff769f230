#include "amaranthwind/base/Random.h"
#include "amaranthwind/journal/CellReplay.h"
#include "amaranthwind/journal/CheckpointWriter.h"
#include "amaranthwind/journal/NoteReplay.h"
#include "amaranthwind/journal/testing/FakeCodec.h"
#include "amaranthwind/policy/ApplyNote.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace amaranthwind;
using namespace amaranthwind::journal;

namespace {

/** Tasks per gang. 170,000 tasks correspond to 5,313 running jobs. */
constexpr std::int64_t kTasksPerJob = 32;
constexpr std::size_t kPayloadBytes = 256;

/**
 * Records of a cell with as many ended as running jobs. The cost of the
 * encoding is negligible.
 */
class CellRecords
{
public:
  explicit CellRecords(std::int64_t aRunningTasks)
  {
    this->Add(EpochRecord{ base::EntryId("entry-1") });
    const std::int64_t jobs = aRunningTasks / kTasksPerJob;
    for (std::int64_t i = 0; i < jobs; ++i) {
      this->AddRun("running-" + std::to_string(i));
      const job::GangId ended = this->AddRun("ended-" + std::to_string(i));
      this->Add(AttemptEndedRecord{ {}, ended, AttemptOutcome::Succeeded });
    }
    this->batch.end = base::LogOffset(this->batch.records.size());
  }

  const FakeCodec& Codec() const { return this->codec; }
  const ReadBatch& Batch() const { return this->batch; }

private:
  void Add(RecordBody aBody)
  {
    const Record record{ base::MakeRecordId(this->random), std::move(aBody) };
    this->batch.records.push_back({ base::LogOffset(this->batch.records.size()),
                                    this->codec.Encode(record) });
  }

  job::GangId AddRun(const std::string& aId)
  {
    JobAcceptedRecord accepted;
    accepted.spec.id = base::JobId(aId);
    accepted.spec.account = base::AccountId("account-1");
    accepted.spec.caller = base::CallerId("caller-1");
    accepted.spec.kind = base::WorkKindId("die-profile");
    accepted.spec.zone = base::ZoneId("zone-1");
    accepted.spec.payload.assign(kPayloadBytes, 'x');
    job::GangId gang{ accepted.spec.id, base::Attempt(1) };
    this->Add(std::move(accepted));
    GangDecisionRecord decision{ {}, gang, true, {} };
    for (std::int64_t i = 0; i < kTasksPerJob; ++i) {
      decision.members.emplace_back("worker-" + std::to_string(i));
    }
    this->Add(std::move(decision));
    return gang;
  }

  FakeCodec codec;
  base::RandomEngine random{ 1 };
  ReadBatch batch;
};

/** Returns the number of allocated heap bytes. */
std::size_t
HeapBytes()
{
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

void
ReplayCell(benchmark::State& aState)
{
  const CellRecords records(aState.range(0));
  const std::int64_t jobs = aState.range(0) / kTasksPerJob;
  std::size_t bytes = 0;
  for (auto _ : aState) {
    const std::size_t before = HeapBytes();
    auto replay = std::make_unique<CellReplay>(records.Codec());
    benchmark::DoNotOptimize(replay->Consume(records.Batch()));
    aState.PauseTiming();
    bytes = HeapBytes() - before;
    replay.reset();
    aState.ResumeTiming();
  }
  const auto count = static_cast<double>(records.Batch().records.size());
  aState.counters["us_per_record"] =
    benchmark::Counter(count * 1e-6,
                       benchmark::Counter::kIsIterationInvariantRate |
                         benchmark::Counter::kInvert);
  aState.counters["records"] = count;
  aState.counters["bytes"] = static_cast<double>(bytes);
  aState.counters["bytes_per_running_job"] =
    static_cast<double>(bytes) / static_cast<double>(jobs);
}

void
MakeCheckpoint(benchmark::State& aState)
{
  const CellRecords records(aState.range(0));
  CellReplay replay(records.Codec());
  replay.Consume(records.Batch());
  base::RandomEngine random(1);
  std::size_t chunks = 0;
  for (auto _ : aState) {
    auto made = MakeCellCheckpoint(replay, random);
    chunks = made.size();
    benchmark::DoNotOptimize(made);
  }
  aState.counters["chunks"] = static_cast<double>(chunks);
}

/** Applies a note that changes one of aState.range(0) accounts. */
void
ApplyNoteCost(benchmark::State& aState)
{
  policy::Policy policy;
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    policy::ReleaseNote note{ base::RecordId(std::to_string(i)),
                              policy.version,
                              {} };
    policy::Account account;
    account.id = base::AccountId("account-" + std::to_string(i));
    account.guarantees.resize(3);
    for (policy::Guarantee& guarantee : account.guarantees) {
      guarantee.zone = base::ZoneId("zone-1");
      guarantee.shape.perMember.accelerators = 1;
    }
    note.changes.emplace_back(policy::PutAccount{ account });
    policy = policy::ApplyNote(policy, note).value();
  }
  FakeCodec codec;
  base::RandomEngine random(1);
  NoteReplay replay(codec);
  std::vector<ReplayedRecord> report;
  policy.nextOffset = base::LogOffset(1);
  replay.Adopt(policy, report);
  std::uint64_t offset = 1;
  std::int64_t rejected = 0;
  for (auto _ : aState) {
    aState.PauseTiming();
    policy::Account account = replay.Current().accounts.front();
    account.weight = 1 + offset % 2;
    NoteRecord note;
    note.note.base = replay.Current().version;
    note.note.changes.emplace_back(policy::PutAccount{ account });
    const ReadBatch batch{
      { { base::LogOffset(offset),
          codec.Encode({ base::MakeRecordId(random), note }) } },
      {},
      base::LogOffset(offset + 1)
    };
    ++offset;
    aState.ResumeTiming();
    const auto applied = replay.Consume(batch);
    rejected += applied.front().verdict == Verdict::Applied ? 0 : 1;
  }
  aState.counters["rejected"] = static_cast<double>(rejected);
}

BENCHMARK(ReplayCell)
  ->Arg(1'000)
  ->Arg(10'000)
  ->Arg(50'000)
  ->Arg(170'000)
  ->Unit(benchmark::kMillisecond);
BENCHMARK(MakeCheckpoint)
  ->Arg(1'000)
  ->Arg(10'000)
  ->Arg(50'000)
  ->Arg(170'000)
  ->Unit(benchmark::kMillisecond);
BENCHMARK(ApplyNoteCost)
  ->Arg(4)
  ->Arg(20)
  ->Arg(75)
  ->Arg(150)
  ->Iterations(2'000)
  ->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
