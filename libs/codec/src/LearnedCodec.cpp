#include "amaranthwind/codec/LearnedCodec.h"

#include "JsonReader.h"
#include "JsonWriter.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace amaranthwind::codec {

using estimation::LearnedSummary;
using estimation::WorkloadSummary;

namespace {

constexpr std::uint32_t kVersion = 1;
/** Ratios and weights are stored in thousandths, variances in millionths. */
constexpr double kScale = 1000;
constexpr double kVarianceScale = 1e6;
/** Part of the record that workers may take before workloads are written. */
constexpr std::size_t kMaxWorkerBytes = kMaxLearnedBytes * 5 / 8;
/** For the names of fields and brackets. */
constexpr std::size_t kFrameBytes = 128;
/** Limits of the numbers that are read. */
constexpr std::uint64_t kMaxNumber = std::uint64_t{ 1 } << 50U;
constexpr std::size_t kFitNumbers = 6;

std::uint64_t
ToNumber(double aValue, double aScale)
{
  const double scaled = std::round(aValue * aScale);
  // The comparison is false for a value that is not a number.
  return scaled > 0 ? static_cast<std::uint64_t>(
                        std::min(scaled, static_cast<double>(kMaxNumber)))
                    : 0;
}

std::uint64_t
ToMicroseconds(base::Duration aDuration)
{
  return ToNumber(std::chrono::duration<double>(aDuration).count(), 1e6);
}

std::string
EncodeWorkload(const WorkloadSummary& aWorkload)
{
  std::string text = R"({"kind":)";
  AppendText(text, aWorkload.workload.kind.View());
  if (!aWorkload.workload.account.IsEmpty()) {
    text += R"(,"account":)";
    AppendText(text, aWorkload.workload.account.View());
  }
  const std::array<std::uint64_t, kFitNumbers> numbers{
    ToNumber(aWorkload.weight, kScale),
    ToMicroseconds(aWorkload.estimate),
    ToMicroseconds(aWorkload.runTime),
    ToNumber(aWorkload.estimateVariance, kVarianceScale),
    ToNumber(aWorkload.runTimeVariance, kVarianceScale),
    // Shifted, since numbers in records have no sign.
    ToNumber(aWorkload.correlation + 1, kScale)
  };
  text += R"(,"fit":)";
  for (const std::uint64_t& number : numbers) {
    text += &number == numbers.data() ? '[' : ',';
    AppendNumber(text, number);
  }
  return text + "]}";
}

/** What was read of a workload. */
struct WorkloadFields
{
  base::AccountId account;
  base::WorkKindId kind;
  std::vector<std::uint64_t> fit;
};

WorkloadSummary
ToSummary(const WorkloadFields& aFields)
{
  const auto& fit = aFields.fit;
  return { { aFields.account, aFields.kind },
           static_cast<double>(fit[0]) / kScale,
           std::chrono::microseconds(fit[1]),
           std::chrono::microseconds(fit[2]),
           static_cast<double>(fit[3]) / kVarianceScale,
           static_cast<double>(fit[4]) / kVarianceScale,
           static_cast<double>(fit[5]) / kScale - 1 };
}

} // namespace

static void
Read(const ValueReader& aReader, WorkloadFields& aOut)
{
  ObjectReader object(aReader);
  object.Required("kind", aOut.kind);
  object.Optional("account", aOut.account);
  object.Required("fit", aOut.fit);
  object.Finish();
  if (aOut.fit.size() != kFitNumbers ||
      *std::max_element(aOut.fit.begin(), aOut.fit.end()) > kMaxNumber) {
    aReader.FailAt(base::ErrorCode::OutOfRange, "fit");
  }
}

static void
Read(const ValueReader& aReader, LearnedSummary& aOut)
{
  ObjectReader object(aReader);
  std::uint32_t version = 0;
  object.Required("version",
                  Bounded<std::uint32_t>{ version, kVersion, kVersion });
  object.Optional("isUneven", aOut.hasUnevenWorkers);
  std::vector<base::AgentId> workers;
  std::vector<std::uint32_t> slowness;
  std::vector<WorkloadFields> workloads;
  object.Required("workers", workers);
  object.Required("slowness", slowness);
  object.Required("workloads", workloads);
  object.Finish();
  if (workers.size() != slowness.size() ||
      std::find(slowness.begin(), slowness.end(), 0U) != slowness.end()) {
    aReader.FailAt(base::ErrorCode::OutOfRange, "slowness");
    return;
  }
  for (std::size_t i = 0; i < workers.size(); ++i) {
    aOut.workers.push_back({ workers[i], slowness[i] / kScale });
  }
  for (const WorkloadFields& fields : workloads) {
    if (fields.fit.size() != kFitNumbers) {
      return; // The error is already reported.
    }
    aOut.workloads.push_back(ToSummary(fields));
  }
}

std::string
EncodeLearned(const LearnedSummary& aSummary)
{
  std::string workers;
  std::string slowness;
  for (const auto& each : aSummary.workers) {
    std::string id = workers.empty() ? "" : ",";
    AppendText(id, each.worker.View());
    std::string number = slowness.empty() ? "" : ",";
    AppendNumber(number,
                 std::clamp<std::uint64_t>(
                   ToNumber(each.slowness, kScale), 1, UINT32_MAX));
    if (workers.size() + id.size() + slowness.size() + number.size() >
        kMaxWorkerBytes) {
      break;
    }
    workers += id;
    slowness += number;
  }
  std::string workloads;
  for (const auto& each : aSummary.workloads) {
    const std::string encoded = EncodeWorkload(each);
    if (workers.size() + slowness.size() + workloads.size() + encoded.size() +
          kFrameBytes >
        kMaxLearnedBytes) {
      break;
    }
    workloads += workloads.empty() ? "" : ",";
    workloads += encoded;
  }
  std::string text = R"({"version":)";
  AppendNumber(text, kVersion);
  text += aSummary.hasUnevenWorkers ? R"(,"isUneven":true)" : "";
  return text + R"(,"workers":[)" + workers + R"(],"slowness":[)" + slowness +
         R"(],"workloads":[)" + workloads + "]}";
}

base::Result<LearnedSummary>
DecodeLearned(std::string_view aText)
{
  return DecodeDocument<LearnedSummary>(aText, kMaxLearnedBytes);
}

} // namespace amaranthwind::codec
