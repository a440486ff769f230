#include "amaranthwind/codec/JsonRecordCodec.h"
#include "amaranthwind/codec/LedgerCodec.h"
#include "amaranthwind/codec/NoteCodec.h"

#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>

using namespace amaranthwind;

namespace {

journal::Record
MakeJobRecord()
{
  journal::JobAcceptedRecord body;
  body.spec.id = base::JobId("order-7711");
  body.spec.account = base::AccountId("zhubei-optics");
  body.spec.caller = base::CallerId("clerk-4");
  body.spec.kind = base::WorkKindId("die-profile-simulation");
  body.spec.zone = base::ZoneId("tw-1");
  body.spec.shape = { 4, { 8, 32, 65536 }, fleet::Adjacency::SameRack };
  body.spec.payload = std::string(512, 'p');
  return { base::RecordId("0123456789abcdef0123456789abcdef"), body };
}

/** A policy of the expected size: 150 accounts with two guarantees each. */
policy::Policy
MakePolicy(std::int64_t aAccounts)
{
  policy::Policy policy;
  for (std::int64_t i = 0; i < aAccounts; ++i) {
    policy::Account& account = policy.accounts.emplace_back();
    account.id = base::AccountId("account-" + std::to_string(1000 + i));
    account.guarantees.assign(
      2, { base::ZoneId("zone-7"), 1, { 4, { 8, 32, 65536 }, {} } });
  }
  return policy;
}

void
EncodeJobRecord(benchmark::State& aState)
{
  const codec::JsonRecordCodec codec;
  const journal::Record record = MakeJobRecord();
  for (auto step : aState) {
    (void)step;
    benchmark::DoNotOptimize(codec.Encode(record));
  }
}
BENCHMARK(EncodeJobRecord);

void
DecodeJobRecord(benchmark::State& aState)
{
  const codec::JsonRecordCodec codec;
  const auto bytes = codec.Encode(MakeJobRecord());
  for (auto step : aState) {
    (void)step;
    benchmark::DoNotOptimize(codec.Decode(bytes));
  }
  aState.SetBytesProcessed(aState.iterations() *
                           static_cast<std::int64_t>(bytes.size()));
}
BENCHMARK(DecodeJobRecord);

void
DecodePolicy(benchmark::State& aState)
{
  const std::string text = codec::EncodePolicy(MakePolicy(aState.range(0)));
  for (auto step : aState) {
    (void)step;
    benchmark::DoNotOptimize(codec::DecodePolicy(text));
  }
  aState.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(DecodePolicy)->Arg(4)->Arg(150);

/** A step whose tasks have all been placed. */
ledger::StepRecord
MakeStepRecord(std::int64_t aTasks)
{
  ledger::StepRecord record;
  record.id = { base::JobId("80aad10c0de67265"), 0, 0 };
  for (std::int64_t i = 0; i < aTasks; ++i) {
    ledger::TaskRecord& task = record.tasks.emplace_back();
    task.index = static_cast<std::uint32_t>(i);
    task.phase = ledger::TaskPhase::Placed;
    task.run = 1;
    task.worker = { base::TargetId("worker-" + std::to_string(i)),
                    1'780'000'000'000 };
    task.agent = base::AgentId("side-palmira-" + std::to_string(i));
  }
  return record;
}

void
EncodeStep(benchmark::State& aState)
{
  const codec::LedgerCodec codec;
  const ledger::StepRecord record = MakeStepRecord(aState.range(0));
  for (auto step : aState) {
    (void)step;
    benchmark::DoNotOptimize(codec.EncodeStep(record));
  }
}
BENCHMARK(EncodeStep)->Arg(1)->Arg(39)->Arg(230);

void
DecodeStep(benchmark::State& aState)
{
  const codec::LedgerCodec codec;
  const std::string text = codec.EncodeStep(MakeStepRecord(aState.range(0)));
  for (auto step : aState) {
    (void)step;
    benchmark::DoNotOptimize(codec.DecodeStep(text));
  }
  aState.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(DecodeStep)->Arg(1)->Arg(39)->Arg(230);

} // namespace

BENCHMARK_MAIN();
