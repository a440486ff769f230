#include "amaranthwind/codec/LedgerCodec.h"

#include "JsonReader.h"
#include "JsonWriter.h"

#include <boost/json/serialize.hpp>

#include <array>

namespace amaranthwind::codec {

namespace json = boost::json;
using ledger::TaskPhase;

namespace {

constexpr std::uint32_t kMaxTasksPerStep = 4096;
/** Stretch factors are stored in thousandths. */
constexpr double kStretchScale = 1000.0;

constexpr std::array<EnumName<TaskPhase>, 3> kTaskPhaseNames{
  { { TaskPhase::Idle, "idle" },
    { TaskPhase::Placed, "placed" },
    { TaskPhase::Done, "done" } }
};

std::uint64_t
ToUnixMs(base::WallTime aTime)
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      aTime.time_since_epoch())
      .count());
}

base::WallTime
FromUnixMs(std::uint64_t aMs)
{
  return base::WallTime(std::chrono::milliseconds(aMs));
}

json::object
ToJson(const job::StepSpec& aStep)
{
  json::object object{
    { "count", aStep.count },
    { "milliCores", aStep.need.milliCores },
    { "memoryMiB", aStep.need.memoryMiB },
    { "accelerators", aStep.need.accelerators },
    { "estimateMs", ToMs(aStep.estimate) },
  };
  if (!aStep.dependsOn.empty()) {
    object["dependsOn"] =
      json::array(aStep.dependsOn.begin(), aStep.dependsOn.end());
  }
  const std::pair<const char*, bool> flags[] = {
    { "isGang", aStep.isGang },
    { "prefersOneRack", aStep.prefersOneRack },
    { "isCheckpointing", aStep.isCheckpointing },
    { "isLongRunning", aStep.isLongRunning },
    { "isFiller", aStep.isFiller },
  };
  for (const auto& [name, value] : flags) {
    if (value) {
      object[name] = true;
    }
  }
  if (!aStep.requiredLabel.empty()) {
    object["requiredLabel"] = ToText(aStep.requiredLabel);
  }
  if (!aStep.dataRack.IsEmpty()) {
    object["dataRack"] = ToText(aStep.dataRack);
  }
  if (aStep.maxPerWorker > 0) {
    object["maxPerWorker"] = aStep.maxPerWorker;
  }
  return object;
}

} // namespace

static void
Read(const ValueReader& aReader, job::StepSpec& aOut)
{
  ObjectReader object(aReader);
  object.Required("count",
                  Bounded<std::uint32_t>{ aOut.count, 1, kMaxTasksPerStep });
  object.Required("milliCores", aOut.need.milliCores);
  object.Required("memoryMiB", aOut.need.memoryMiB);
  object.Required("accelerators", aOut.need.accelerators);
  object.Required("estimateMs", Millis{ aOut.estimate });
  object.Optional("dependsOn", aOut.dependsOn);
  object.Optional("isGang", aOut.isGang);
  object.Optional("prefersOneRack", aOut.prefersOneRack);
  object.Optional("isCheckpointing", aOut.isCheckpointing);
  object.Optional("isLongRunning", aOut.isLongRunning);
  object.Optional("isFiller", aOut.isFiller);
  object.Optional("requiredLabel", aOut.requiredLabel);
  object.Optional("dataRack", aOut.dataRack);
  object.Optional("maxPerWorker", aOut.maxPerWorker);
  object.Finish();
}

static void
Read(const ValueReader& aReader, job::WorkflowSpec& aOut)
{
  ObjectReader object(aReader);
  object.Optional("account", aOut.account);
  object.Required("kind", aOut.kind);
  object.Required("pool", aOut.pool);
  object.Required("urgency", aOut.urgency);
  object.Required("maxAttempts", aOut.maxAttempts);
  std::uint32_t stretch = 0;
  object.Required("stretch", stretch);
  aOut.stretch = stretch / kStretchScale;
  object.Required("slackMs", Millis{ aOut.slack });
  std::uint64_t accepted = 0;
  object.Required("acceptedMs",
                  Bounded<std::uint64_t>{ accepted, 0, kMaxDurationMs });
  aOut.acceptedAt = FromUnixMs(accepted);
  if (object.Optional("repeats", aOut.repeats)) {
    std::uint64_t first = 0;
    object.Required("firstStartMs",
                    Bounded<std::uint64_t>{ first, 0, kMaxDurationMs });
    aOut.firstStart = FromUnixMs(first);
    object.Required("intervalMs", Millis{ aOut.interval });
  }
  object.Required("steps", aOut.steps);
  object.Required("payload", aOut.payload);
  object.Finish();
}

static void
Read(const ValueReader& aReader, ledger::TaskRecord& aOut)
{
  ObjectReader object(aReader);
  object.Required("index", aOut.index);
  object.Required("phase", Enum<TaskPhase>{ aOut.phase, kTaskPhaseNames });
  object.Required("run", aOut.run);
  object.Optional("failures", aOut.failures);
  object.Required("worker", aOut.worker.id);
  object.Required("born", aOut.worker.born);
  object.Optional("agent", aOut.agent);
  object.Optional("checkpoint", aOut.checkpoint);
  object.Finish();
}

static void
Read(const ValueReader& aReader, ledger::StepRecord& aOut)
{
  ObjectReader object(aReader);
  object.Optional("hasFailed", aOut.hasFailed);
  object.Required("tasks", aOut.tasks);
  object.Finish();
}

std::string
LedgerCodec::EncodeWorkflow(const job::WorkflowSpec& aSpec) const
{
  json::array steps;
  for (const auto& step : aSpec.steps) {
    steps.push_back(ToJson(step));
  }
  json::object object{
    { "account", ToText(aSpec.account) },
    { "kind", ToText(aSpec.kind) },
    { "pool", ToText(aSpec.pool) },
    { "urgency", aSpec.urgency },
    { "maxAttempts", aSpec.maxAttempts },
    { "stretch", static_cast<std::uint32_t>(aSpec.stretch * kStretchScale) },
    { "slackMs", ToMs(aSpec.slack) },
    { "acceptedMs", ToUnixMs(aSpec.acceptedAt) },
    { "steps", std::move(steps) },
    { "payload", ToText(aSpec.payload) },
  };
  if (aSpec.repeats > 0) {
    object["repeats"] = aSpec.repeats;
    object["firstStartMs"] = ToUnixMs(aSpec.firstStart);
    object["intervalMs"] = ToMs(aSpec.interval);
  }
  return json::serialize(object);
}

base::Result<job::WorkflowSpec>
LedgerCodec::DecodeWorkflow(std::string_view aValue) const
{
  return DecodeDocument<job::WorkflowSpec>(aValue, kMaxRecordBytes);
}

// Written without a tree of values: the record of a wide step is written again
// for each change of one task.
std::string
LedgerCodec::EncodeStep(const ledger::StepRecord& aStep) const
{
  constexpr std::size_t kUsualTaskBytes = 128;
  std::string text;
  text.reserve((aStep.tasks.size() + 1) * kUsualTaskBytes);
  text += R"({"tasks":[)";
  for (const auto& task : aStep.tasks) {
    text += &task == aStep.tasks.data() ? R"({"index":)" : R"(,{"index":)";
    AppendNumber(text, task.index);
    text += R"(,"phase":)";
    AppendText(text, NameOf<TaskPhase>(task.phase, std::span(kTaskPhaseNames)));
    text += R"(,"run":)";
    AppendNumber(text, task.run);
    text += R"(,"worker":)";
    AppendText(text, task.worker.id.View());
    text += R"(,"born":)";
    AppendNumber(text, task.worker.born);
    if (!task.agent.IsEmpty()) {
      text += R"(,"agent":)";
      AppendText(text, task.agent.View());
    }
    if (task.failures > 0) {
      text += R"(,"failures":)";
      AppendNumber(text, task.failures);
    }
    if (!task.checkpoint.empty()) {
      text += R"(,"checkpoint":)";
      AppendText(text, task.checkpoint);
    }
    text += '}';
  }
  text += aStep.hasFailed ? R"(],"hasFailed":true})" : "]}";
  return text;
}

base::Result<ledger::StepRecord>
LedgerCodec::DecodeStep(std::string_view aValue) const
{
  return DecodeDocument<ledger::StepRecord>(aValue, kMaxRecordBytes);
}

} // namespace amaranthwind::codec
