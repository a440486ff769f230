#include "amaranthwind/codec/JsonRecordCodec.h"

#include "JsonReader.h"
#include "JsonWriter.h"
#include "ModelJson.h"

#include <boost/json/serialize.hpp>

#include <array>
#include <string_view>
#include <type_traits>
#include <utility>

namespace amaranthwind::codec {

namespace {

namespace json = boost::json;
using namespace journal;

/** Type names, in the order of the alternatives of RecordBody. */
constexpr std::array<std::string_view, std::variant_size_v<RecordBody>>
  kTypeNames{ "note",          "policy-checkpoint", "epoch",
              "job-accepted",  "job-cancelled",     "gang-decision",
              "attempt-ended", "job-ended",         "checkpoint" };

json::value
BodyJson(const NoteRecord& aBody)
{
  return ToJson(aBody.note);
}

json::value
BodyJson(const PolicyCheckpointRecord& aBody)
{
  return ToJson(aBody.policy);
}

json::value
BodyJson(const EpochRecord& aBody)
{
  return { { "writer", ToText(aBody.writer) } };
}

json::value
BodyJson(const JobAcceptedRecord& aBody)
{
  return { { "token", aBody.token.Get() }, { "spec", ToJson(aBody.spec) } };
}

json::value
BodyJson(const JobCancelledRecord& aBody)
{
  return { { "token", aBody.token.Get() }, { "job", ToText(aBody.job) } };
}

json::value
BodyJson(const GangDecisionRecord& aBody)
{
  return { { "token", aBody.token.Get() },
           { "gang", ToJson(aBody.gang) },
           { "commit", aBody.isCommit },
           { "members", ToArray(aBody.members) } };
}

json::value
BodyJson(const AttemptEndedRecord& aBody)
{
  return { { "token", aBody.token.Get() },
           { "gang", ToJson(aBody.gang) },
           { "outcome",
             ToText<AttemptOutcome>(aBody.outcome, AttemptOutcomeNames()) } };
}

json::value
BodyJson(const JobEndedRecord& aBody)
{
  json::object object{ { "token", aBody.token.Get() },
                       { "job", ToText(aBody.job) },
                       { "outcome",
                         ToText(aBody.outcome, JobOutcomeNames()) } };
  if (aBody.error) {
    object["error"] = ToJson(*aBody.error);
  }
  return object;
}

json::value
BodyJson(const CheckpointRecord& aBody)
{
  return { { "token", aBody.token.Get() },
           { "coversBelow", aBody.coversBelow.Get() },
           { "index", aBody.index },
           { "count", aBody.count },
           { "jobs", ToArray(aBody.jobs) } };
}

} // namespace

// Not in the anonymous namespace, since argument-dependent lookup on
// ValueReader must find these overloads.

static void
Read(const ValueReader& aReader, NoteRecord& aOut)
{
  Read(aReader, aOut.note);
}

static void
Read(const ValueReader& aReader, PolicyCheckpointRecord& aOut)
{
  Read(aReader, aOut.policy);
}

static void
Read(const ValueReader& aReader, EpochRecord& aOut)
{
  ObjectReader object(aReader);
  object.Required("writer", aOut.writer);
  object.Finish();
}

static void
Read(const ValueReader& aReader, JobAcceptedRecord& aOut)
{
  ObjectReader object(aReader);
  object.Required("token", aOut.token);
  object.Required("spec", aOut.spec);
  object.Finish();
}

static void
Read(const ValueReader& aReader, JobCancelledRecord& aOut)
{
  ObjectReader object(aReader);
  object.Required("token", aOut.token);
  object.Required("job", aOut.job);
  object.Finish();
}

static void
Read(const ValueReader& aReader, GangDecisionRecord& aOut)
{
  ObjectReader object(aReader);
  object.Required("token", aOut.token);
  object.Required("gang", aOut.gang);
  object.Required("commit", aOut.isCommit);
  object.Required("members", aOut.members);
  object.Finish();
}

static void
Read(const ValueReader& aReader, AttemptEndedRecord& aOut)
{
  ObjectReader object(aReader);
  object.Required("token", aOut.token);
  object.Required("gang", aOut.gang);
  object.Required("outcome",
                  Enum<AttemptOutcome>{ aOut.outcome, AttemptOutcomeNames() });
  object.Finish();
}

static void
Read(const ValueReader& aReader, JobEndedRecord& aOut)
{
  ObjectReader object(aReader);
  object.Required("token", aOut.token);
  object.Required("job", aOut.job);
  object.Required("outcome",
                  Enum<JobOutcome>{ aOut.outcome, JobOutcomeNames() });
  if (object.Has("error")) {
    object.Required("error", aOut.error.emplace());
  }
  object.Finish();
}

static void
Read(const ValueReader& aReader, CheckpointRecord& aOut)
{
  ObjectReader object(aReader);
  object.Required("token", aOut.token);
  object.Required("coversBelow", aOut.coversBelow);
  object.Required("index", aOut.index);
  object.Required("count", Bounded<std::uint32_t>{ aOut.count, 1 });
  object.Required("jobs", aOut.jobs);
  object.Finish();
  if (aOut.index >= aOut.count) {
    aReader.FailAt(base::ErrorCode::OutOfRange, "index");
  }
}

namespace {

/** Default-constructs the RecordBody alternative with the given index. */
template<std::size_t I = 0>
RecordBody
MakeBody(std::size_t aIndex)
{
  if constexpr (I + 1 < std::variant_size_v<RecordBody>) {
    if (aIndex != I) {
      return MakeBody<I + 1>(aIndex);
    }
  }
  return RecordBody(std::in_place_index<I>);
}

std::span<const EnumName<std::size_t>>
TypeNames()
{
  static const auto kNames = [] {
    std::array<EnumName<std::size_t>, kTypeNames.size()> names;
    for (std::size_t i = 0; i < kTypeNames.size(); ++i) {
      names[i] = { i, kTypeNames[i] };
    }
    return names;
  }();
  return kNames;
}

} // namespace

static void
Read(const ValueReader& aReader, Record& aOut)
{
  ObjectReader object(aReader);
  object.Required("id", aOut.id);
  std::size_t type = kTypeNames.size();
  object.Required("type", Enum<std::size_t>{ type, TypeNames() });
  if (type == kTypeNames.size()) {
    return; // Unknown body type; the error is already reported.
  }
  aOut.body = MakeBody(type);
  std::visit([&](auto& aBody) { object.Required("body", aBody); }, aOut.body);
  object.Finish();
}

std::vector<std::byte>
JsonRecordCodec::Encode(const Record& aRecord) const
{
  const json::value document{
    { "id", ToText(aRecord.id) },
    { "type", ToText(kTypeNames[aRecord.body.index()]) },
    { "body",
      std::visit([](const auto& aBody) { return BodyJson(aBody); },
                 aRecord.body) }
  };
  const std::string text = json::serialize(document);
  const auto bytes = std::as_bytes(std::span(text));
  return { bytes.begin(), bytes.end() };
}

base::Result<Record>
JsonRecordCodec::Decode(std::span<const std::byte> aPayload) const
{
  return DecodeDocument<Record>(TextOf(aPayload), kMaxRecordBytes);
}

} // namespace amaranthwind::codec
