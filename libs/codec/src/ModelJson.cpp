#include "ModelJson.h"

#include "JsonWriter.h"
#include "amaranthwind/codec/Base64.h"

#include "amaranthwind/base/Utf8.h"

#include <algorithm>
#include <array>
#include <utility>

namespace amaranthwind::codec {

namespace {

namespace json = boost::json;
using base::ErrorCode;
using fleet::Adjacency;
using journal::AttemptOutcome;
using journal::JobOutcome;
using journal::JobPhase;
using policy::WorkClass;

constexpr std::array<EnumName<Adjacency>, 3> kAdjacencyNames{
  { { Adjacency::SameWorker, "same-worker" },
    { Adjacency::SameRack, "same-rack" },
    { Adjacency::SameZone, "same-zone" } }
};

constexpr std::array<EnumName<WorkClass>, 2> kWorkClassNames{
  { { WorkClass::Request, "request" }, { WorkClass::Gang, "gang" } }
};

constexpr std::array<EnumName<JobPhase>, 3> kJobPhaseNames{
  { { JobPhase::Queued, "queued" },
    { JobPhase::Committed, "committed" },
    { JobPhase::Ended, "ended" } }
};

constexpr std::array<EnumName<JobOutcome>, 4> kJobOutcomeNames{
  { { JobOutcome::Succeeded, "succeeded" },
    { JobOutcome::Failed, "failed" },
    { JobOutcome::Cancelled, "cancelled" },
    { JobOutcome::Refused, "refused" } }
};

constexpr std::array<EnumName<journal::AttemptFate>, 6> kAttemptFateNames{
  { { journal::AttemptFate::Unknown, "unknown" },
    { journal::AttemptFate::Undecided, "undecided" },
    { journal::AttemptFate::Aborted, "aborted" },
    { journal::AttemptFate::Voided, "voided" },
    { journal::AttemptFate::Committed, "committed" },
    { journal::AttemptFate::Ended, "ended" } }
};

constexpr std::array<EnumName<AttemptOutcome>, 4> kAttemptOutcomeNames{
  { { AttemptOutcome::Succeeded, "succeeded" },
    { AttemptOutcome::Failed, "failed" },
    { AttemptOutcome::Preempted, "preempted" },
    { AttemptOutcome::NotRun, "not-run" } }
};

/** Omits an empty id, for objects that are valid without one. */
template<typename Id>
void
PutUnlessEmpty(json::object& aObject, json::string_view aName, const Id& aId)
{
  if (!aId.IsEmpty()) {
    aObject[aName] = ToText(aId);
  }
}

/** Sorts aItems by id, as Policy requires, and reports duplicate ids. */
template<typename Item>
void
SortById(const ValueReader& aReader,
         std::string_view aName,
         std::vector<Item>& aItems)
{
  const auto isLess = [](const Item& aLeft, const Item& aRight) {
    return aLeft.id < aRight.id;
  };
  std::stable_sort(aItems.begin(), aItems.end(), isLess);
  const auto equal = std::adjacent_find(
    aItems.begin(), aItems.end(), [](const Item& aLeft, const Item& aRight) {
      return aLeft.id == aRight.id;
    });
  if (equal != aItems.end()) {
    const Path list{ &aReader.path, aName };
    ValueReader{ aReader.value, list, aReader.errors }.FailAt(
      ErrorCode::DuplicateKey, equal->id.View());
  }
}

void
ReadPayload(ObjectReader& aObject,
            const ValueReader& aReader,
            std::string& aOut)
{
  std::string base64;
  const bool isText = aObject.Optional("payload", aOut);
  if (!aObject.Optional("payloadBase64", base64)) {
    return;
  }
  if (isText) {
    aReader.FailAt(ErrorCode::DuplicateKey, "payloadBase64");
  } else if (auto bytes = FromBase64(base64)) {
    aOut = std::move(*bytes);
  } else {
    aReader.FailAt(ErrorCode::Malformed, "payloadBase64");
  }
}

} // namespace

std::span<const EnumName<JobPhase>>
JobPhaseNames() noexcept
{
  return kJobPhaseNames;
}

std::span<const EnumName<JobOutcome>>
JobOutcomeNames() noexcept
{
  return kJobOutcomeNames;
}

std::span<const EnumName<AttemptOutcome>>
AttemptOutcomeNames() noexcept
{
  return kAttemptOutcomeNames;
}

std::span<const EnumName<ErrorCode>>
ErrorCodeNames()
{
  static const std::vector<EnumName<ErrorCode>> kNames = [] {
    std::vector<EnumName<ErrorCode>> names;
    // Internal is the last enumerator.
    for (unsigned i = 0; i <= static_cast<unsigned>(ErrorCode::Internal); ++i) {
      const auto code = static_cast<ErrorCode>(i);
      names.emplace_back(code, base::ToString(code));
    }
    return names;
  }();
  return kNames;
}

void
Read(const ValueReader& aReader, fleet::Resources& aOut)
{
  ObjectReader object(aReader);
  object.Required("accelerators", aOut.accelerators);
  object.Optional("cores", aOut.cores);
  object.Optional("memoryMiB", aOut.memoryMiB);
  object.Finish();
}

json::value
ToJson(const fleet::Resources& aResources)
{
  return { { "accelerators", aResources.accelerators },
           { "cores", aResources.cores },
           { "memoryMiB", aResources.memoryMiB } };
}

void
Read(const ValueReader& aReader, fleet::Shape& aOut)
{
  ObjectReader object(aReader);
  object.Required("members", aOut.members);
  object.Required("perMember", aOut.perMember);
  object.Optional("adjacency",
                  Enum<Adjacency>{ aOut.adjacency, kAdjacencyNames });
  object.Finish();
}

json::value
ToJson(const fleet::Shape& aShape)
{
  return { { "members", aShape.members },
           { "perMember", ToJson(aShape.perMember) },
           { "adjacency",
             ToText<Adjacency>(aShape.adjacency, kAdjacencyNames) } };
}

void
Read(const ValueReader& aReader, policy::Guarantee& aOut)
{
  ObjectReader object(aReader);
  object.Required("zone", BoundedId<base::ZoneTag>{ aOut.zone });
  object.Optional("count", aOut.count);
  object.Required("shape", aOut.shape);
  object.Finish();
}

json::value
ToJson(const policy::Guarantee& aGuarantee)
{
  return { { "zone", ToText(aGuarantee.zone) },
           { "count", aGuarantee.count },
           { "shape", ToJson(aGuarantee.shape) } };
}

void
Read(const ValueReader& aReader, policy::Account& aOut)
{
  ObjectReader object(aReader);
  object.Required("id", BoundedId<base::AccountTag>{ aOut.id });
  object.Optional("weight", aOut.weight);
  object.Optional("floorPercent", aOut.floorPercent);
  object.Optional("guarantees", aOut.guarantees);
  object.Finish();
}

json::value
ToJson(const policy::Account& aAccount)
{
  return { { "id", ToText(aAccount.id) },
           { "weight", aAccount.weight },
           { "floorPercent", aAccount.floorPercent },
           { "guarantees", ToArray(aAccount.guarantees) } };
}

void
Read(const ValueReader& aReader, policy::WorkKind& aOut)
{
  ObjectReader object(aReader);
  object.Required("id", BoundedId<base::WorkKindTag>{ aOut.id });
  object.Required("class", Enum<WorkClass>{ aOut.workClass, kWorkClassNames });
  object.Optional("urgency", aOut.urgency);
  object.Optional("floorPercent", aOut.floorPercent);
  object.Optional("idempotent", aOut.isIdempotent);
  object.Optional("queueLimitMs", Millis{ aOut.queueLimit });
  object.Optional("maxRuns", aOut.maxRuns);
  object.Optional("preemptible", aOut.isPreemptible);
  object.Finish();
}

json::value
ToJson(const policy::WorkKind& aKind)
{
  return { { "id", ToText(aKind.id) },
           { "class", ToText<WorkClass>(aKind.workClass, kWorkClassNames) },
           { "urgency", aKind.urgency },
           { "floorPercent", aKind.floorPercent },
           { "idempotent", aKind.isIdempotent },
           { "queueLimitMs", ToMs(aKind.queueLimit) },
           { "maxRuns", aKind.maxRuns },
           { "preemptible", aKind.isPreemptible } };
}

void
Read(const ValueReader& aReader, policy::Policy& aOut)
{
  ObjectReader object(aReader);
  object.Required("version", aOut.version);
  object.Required("nextOffset", aOut.nextOffset);
  object.Optional("noteId", aOut.noteId);
  object.Required("accounts", aOut.accounts);
  object.Required("kinds", aOut.kinds);
  object.Finish();
  SortById(aReader, "accounts", aOut.accounts);
  SortById(aReader, "kinds", aOut.kinds);
}

json::value
ToJson(const policy::Policy& aPolicy)
{
  json::object object{ { "version", aPolicy.version.Get() },
                       { "nextOffset", aPolicy.nextOffset.Get() },
                       { "accounts", ToArray(aPolicy.accounts) },
                       { "kinds", ToArray(aPolicy.kinds) } };
  PutUnlessEmpty(object, "noteId", aPolicy.noteId);
  return object;
}

void
Read(const ValueReader& aReader, policy::Change& aOut)
{
  ObjectReader object(aReader);
  policy::PutAccount putAccount;
  policy::WithdrawAccount withdrawAccount;
  policy::PutKind putKind;
  policy::WithdrawKind withdrawKind;
  std::size_t found = 0;
  if (object.Optional("putAccount", putAccount.account)) {
    aOut = std::move(putAccount);
    ++found;
  }
  if (object.Optional("withdrawAccount",
                      BoundedId<base::AccountTag>{ withdrawAccount.id })) {
    aOut = std::move(withdrawAccount);
    ++found;
  }
  if (object.Optional("putKind", putKind.kind)) {
    aOut = std::move(putKind);
    ++found;
  }
  if (object.Optional("withdrawKind",
                      BoundedId<base::WorkKindTag>{ withdrawKind.id })) {
    aOut = std::move(withdrawKind);
    ++found;
  }
  object.Finish();
  if (found == 0 && aReader.value.is_object()) {
    aReader.Fail(ErrorCode::MissingField);
  } else if (found > 1) {
    aReader.Fail(ErrorCode::DuplicateKey);
  }
}

json::value
ToJson(const policy::Change& aChange)
{
  struct Visitor
  {
    json::value operator()(const policy::PutAccount& aPut) const
    {
      return { { "putAccount", ToJson(aPut.account) } };
    }
    json::value operator()(const policy::WithdrawAccount& aWithdraw) const
    {
      return { { "withdrawAccount", ToText(aWithdraw.id) } };
    }
    json::value operator()(const policy::PutKind& aPut) const
    {
      return { { "putKind", ToJson(aPut.kind) } };
    }
    json::value operator()(const policy::WithdrawKind& aWithdraw) const
    {
      return { { "withdrawKind", ToText(aWithdraw.id) } };
    }
  };
  return std::visit(Visitor{}, aChange);
}

void
Read(const ValueReader& aReader, policy::ReleaseNote& aOut)
{
  ObjectReader object(aReader);
  object.Optional("id", aOut.id);
  object.Required("base", aOut.base);
  object.Required("changes", aOut.changes);
  object.Finish();
}

json::value
ToJson(const policy::ReleaseNote& aNote)
{
  json::object object{ { "base", aNote.base.Get() },
                       { "changes", ToArray(aNote.changes) } };
  PutUnlessEmpty(object, "id", aNote.id);
  return object;
}

void
Read(const ValueReader& aReader, job::JobSpec& aOut)
{
  ObjectReader object(aReader);
  object.Optional("id", aOut.id);
  object.Optional("account", aOut.account);
  object.Optional("caller", aOut.caller);
  object.Required("kind", aOut.kind);
  object.Optional("zone", aOut.zone);
  object.Required("shape", aOut.shape);
  object.Optional("declaredRunTimeMs", Millis{ aOut.declaredRunTime });
  object.Optional("maxRuns", aOut.maxRuns);
  object.Optional("preemptible", aOut.isPreemptible);
  ReadPayload(object, aReader, aOut.payload);
  object.Finish();
}

json::value
ToJson(const job::JobSpec& aSpec)
{
  json::object object{ { "kind", ToText(aSpec.kind) },
                       { "shape", ToJson(aSpec.shape) },
                       { "declaredRunTimeMs", ToMs(aSpec.declaredRunTime) },
                       { "maxRuns", aSpec.maxRuns },
                       { "preemptible", aSpec.isPreemptible } };
  PutUnlessEmpty(object, "id", aSpec.id);
  PutUnlessEmpty(object, "account", aSpec.account);
  PutUnlessEmpty(object, "caller", aSpec.caller);
  PutUnlessEmpty(object, "zone", aSpec.zone);
  if (!base::IsUtf8(aSpec.payload)) {
    object["payloadBase64"] = ToBase64(aSpec.payload);
  } else if (!aSpec.payload.empty()) {
    object["payload"] = ToText(aSpec.payload);
  }
  return object;
}

void
Read(const ValueReader& aReader, job::GangId& aOut)
{
  ObjectReader object(aReader);
  object.Required("job", aOut.job);
  object.Required("attempt", aOut.attempt);
  object.Finish();
}

json::value
ToJson(const job::GangId& aGang)
{
  return { { "job", ToText(aGang.job) }, { "attempt", aGang.attempt.Get() } };
}

void
Read(const ValueReader& aReader, base::Error& aOut)
{
  ObjectReader object(aReader);
  object.Required("code", Enum<ErrorCode>{ aOut.code, ErrorCodeNames() });
  object.Optional("subject", aOut.subject);
  object.Finish();
}

json::value
ToJson(const base::Error& aError)
{
  return { { "code", ToText(base::ToString(aError.code)) },
           { "subject", ToText(aError.subject) } };
}

void
Read(const ValueReader& aReader, journal::JobState& aOut)
{
  ObjectReader object(aReader);
  object.Required("spec", aOut.spec);
  object.Required("phase", Enum<JobPhase>{ aOut.phase, kJobPhaseNames });
  object.Required("lastAttempt", aOut.lastAttempt);
  object.Required(
    "lastFate", Enum<journal::AttemptFate>{ aOut.lastFate, kAttemptFateNames });
  object.Required("runs", aOut.runs);
  object.Optional("cancelRequested", aOut.isCancelRequested);
  object.Optional("members", aOut.members);
  if (object.Has("outcome")) {
    object.Required(
      "outcome", Enum<JobOutcome>{ aOut.outcome.emplace(), kJobOutcomeNames });
  }
  if (object.Has("error")) {
    object.Required("error", aOut.error.emplace());
  }
  object.Finish();
}

json::value
ToJson(const journal::JobState& aState)
{
  json::object object{
    { "spec", ToJson(aState.spec) },
    { "phase", ToText<JobPhase>(aState.phase, kJobPhaseNames) },
    { "lastAttempt", aState.lastAttempt.Get() },
    { "lastFate",
      ToText<journal::AttemptFate>(aState.lastFate, kAttemptFateNames) },
    { "runs", aState.runs },
    { "cancelRequested", aState.isCancelRequested },
    { "members", ToArray(aState.members) }
  };
  if (aState.outcome) {
    object["outcome"] = ToText<JobOutcome>(*aState.outcome, kJobOutcomeNames);
  }
  if (aState.error) {
    object["error"] = ToJson(*aState.error);
  }
  return object;
}

json::value
ToJson(const base::TargetId& aId)
{
  return ToText(aId);
}

} // namespace amaranthwind::codec
