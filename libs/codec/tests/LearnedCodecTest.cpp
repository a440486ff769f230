#include "amaranthwind/codec/LearnedCodec.h"

#include "amaranthwind/estimation/LearnedRunTimes.h"
#include "amaranthwind/ledger/Records.h"

#include <doctest/doctest.h>

#include <cmath>
#include <limits>
#include <string>

using namespace amaranthwind;
using namespace amaranthwind::codec;
using namespace std::chrono_literals;
using base::ErrorCode;
using estimation::LearnedSummary;
using estimation::WorkloadSummary;

namespace {

LearnedSummary
SampleSummary()
{
  LearnedSummary summary;
  summary.hasUnevenWorkers = true;
  summary.workers = { { base::AgentId("vm-\"7\""), 2.2 },
                      { base::AgentId("vm-8"), 0.625 } };
  summary.workloads = {
    { { {}, base::WorkKindId("scan") }, 60, 2s, 2400ms, 0.25, 0.5, -0.5 },
    { { base::AccountId("lamps"), base::WorkKindId("scan") },
      1.5,
      1ms,
      20h,
      0,
      0,
      0 }
  };
  return summary;
}

/** More than fits a record. */
LearnedSummary
LargeSummary(std::size_t aIdBytes)
{
  const std::string padding(aIdBytes, 'x');
  LearnedSummary summary;
  for (std::size_t i = 0; i < estimation::kMaxSummaryWorkers; ++i) {
    summary.workers.push_back(
      { base::AgentId(padding + std::to_string(i)), 2.0 });
  }
  for (std::size_t i = 0; i < estimation::kMaxSummaryWorkloads; ++i) {
    summary.workloads.push_back(
      { { base::AccountId(padding + std::to_string(i)),
          base::WorkKindId("scan") },
        60,
        3s,
        3s,
        0.12345678,
        0.12345678,
        0.5 });
  }
  return summary;
}

} // namespace

TEST_CASE("what was learned round-trips")
{
  const auto decoded = DecodeLearned(EncodeLearned(SampleSummary()));
  REQUIRE(decoded.has_value());
  CHECK(decoded.value() == SampleSummary());
  const auto empty = DecodeLearned(EncodeLearned({}));
  REQUIRE(empty.has_value());
  CHECK(empty.value().IsEmpty());
}

// Guards against a record that the log refuses, and against a cut that drops
// the most important part.
TEST_CASE("a summary that is too large is cut at its end")
{
  for (const std::size_t idBytes : { 1, 24, 128, 20'000 }) {
    CAPTURE(idBytes);
    const LearnedSummary summary = LargeSummary(idBytes);
    const std::string text = EncodeLearned(summary);
    CHECK(text.size() <= kMaxLearnedBytes);
    const auto decoded = DecodeLearned(text);
    REQUIRE(decoded.has_value());
    const auto& [isUneven, workers, workloads] = decoded.value();
    CHECK(std::equal(workers.begin(), workers.end(), summary.workers.begin()));
    REQUIRE(workloads.size() <= summary.workloads.size());
    for (std::size_t i = 0; i < workloads.size(); ++i) {
      CHECK(workloads[i].workload == summary.workloads[i].workload);
    }
    if (idBytes <= 128) {
      CHECK(workers.size() >= 50);
      CHECK(workloads.size() >= 25);
    }
  }
}

// Guards against numbers that cannot be converted.
TEST_CASE("odd numbers are encoded as numbers in range")
{
  const double kInfinity = std::numeric_limits<double>::infinity();
  for (const double odd :
       { kInfinity, -kInfinity, std::nan(""), -1.0, 1e300 }) {
    CAPTURE(odd);
    LearnedSummary summary = SampleSummary();
    summary.workers[0].slowness = odd;
    WorkloadSummary& workload = summary.workloads[0];
    workload.weight = odd;
    workload.estimateVariance = odd;
    workload.runTimeVariance = odd;
    workload.correlation = odd;
    const auto decoded = DecodeLearned(EncodeLearned(summary));
    REQUIRE(decoded.has_value());
    estimation::LearnedRunTimes learned;
    learned.Restore(decoded.value(), base::TimePoint(1h));
    learned.OnTick(base::TimePoint(1h + 20s));
    const auto prediction =
      learned.Predict(summary.workloads[1].workload, 30 * 24h);
    REQUIRE(prediction.has_value());
    CHECK(prediction->Median() >= 1ms);
    CHECK(std::isfinite(prediction->Spread()));
    CHECK(std::isfinite(learned.SlownessOf(summary.workers[0].worker)));
  }
}

// Guards against a takeover that fails because of a record that is only a hint.
TEST_CASE("a record of another version or form is an error")
{
  const auto codeOf = [](std::string_view aText) {
    const auto decoded = DecodeLearned(aText);
    REQUIRE(decoded.has_error());
    return decoded.error().code;
  };
  CHECK(
    codeOf(
      R"({"version":2,"workers":[],"slowness":[],"workloads":[],"new":[]})") ==
    ErrorCode::OutOfRange);
  CHECK(codeOf(R"({"workers":[],"slowness":[],"workloads":[]})") ==
        ErrorCode::MissingField);
  CHECK(
    codeOf(R"({"version":1,"workers":["a"],"slowness":[],"workloads":[]})") ==
    ErrorCode::OutOfRange);
  CHECK(
    codeOf(R"({"version":1,"workers":["a"],"slowness":[0],"workloads":[]})") ==
    ErrorCode::OutOfRange);
  for (const auto* fit : { "[]",
                           "[1,2,3,4,5]",
                           "[1,2,3,4,5,6,7]",
                           "[1,2,3,4,5,-6]",
                           "[1,2,3,4,5,18446744073709551615]",
                           "{}" }) {
    CAPTURE(fit);
    (void)codeOf(std::string(R"({"version":1,"workers":[],"slowness":[],)") +
                 R"("workloads":[{"kind":"k","fit":)" + fit + "}]}");
  }
  for (const auto* text : { "", "{", "null", "[]", "\xff\xfe", "1" }) {
    CAPTURE(text);
    (void)codeOf(text);
  }
  std::string large = EncodeLearned(SampleSummary());
  large.append(kMaxLearnedBytes, ' ');
  CHECK(codeOf(large) == ErrorCode::TooLarge);
}

// Guards against a record that ends the process or restores something that the
// learner cannot handle.
TEST_CASE("a record with changed bytes gives a summary or an error")
{
  const std::string text = EncodeLearned(SampleSummary());
  for (std::size_t i = 0; i < text.size(); ++i) {
    for (const char changed : { '0', '9', '"', ',', ']', '-', '\0' }) {
      std::string mutant = text;
      mutant[i] = changed;
      const auto decoded = DecodeLearned(mutant);
      if (decoded.has_value()) {
        estimation::LearnedRunTimes learned;
        learned.Restore(decoded.value(), base::TimePoint(1h));
        for (const auto& each : decoded.value().workers) {
          CHECK(learned.SlownessOf(each.worker) > 0);
        }
      }
    }
  }
}

// Guards against a version that does not know the key and takes the record for
// one of a job.
TEST_CASE("the key of the summary is none of a job's")
{
  CHECK(ledger::ParseKey("learned").kind == ledger::RecordKind::Other);
}
