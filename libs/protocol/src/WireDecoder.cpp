#include "WireDecoder.h"

#include <string>

namespace amaranthwind::protocol {

namespace {

using base::ErrorCode;
using base::Fail;
using base::Result;

std::string_view
View(const flatbuffers::String* aString)
{
  return aString == nullptr ? std::string_view{} : aString->string_view();
}

std::vector<std::byte>
Bytes(const flatbuffers::Vector<std::uint8_t>* aBytes)
{
  if (aBytes == nullptr) {
    return {};
  }
  const auto* first = reinterpret_cast<const std::byte*>(aBytes->data());
  return { first, first + aBytes->size() };
}

/** Checks that an enumerator read from the wire is one that exists. */
template<typename Enum>
Result<Enum>
ToEnum(std::uint8_t aValue, Enum aLast, std::string_view aField)
{
  if (aValue > static_cast<std::uint8_t>(aLast)) {
    return Fail(ErrorCode::OutOfRange, aField);
  }
  return static_cast<Enum>(aValue);
}

Result<std::string_view>
Required(const flatbuffers::String* aString, std::string_view aField)
{
  const std::string_view text = View(aString);
  if (text.empty()) {
    return Fail(ErrorCode::MissingField, aField);
  }
  return text;
}

Result<ErrorCode>
ToErrorCode(std::uint8_t aCode)
{
  return ToEnum(aCode, ErrorCode::Internal, "error_code");
}

base::Error
ToError(ErrorCode aCode, const flatbuffers::String* aSubject)
{
  return { aCode, std::string(View(aSubject)) };
}

fleet::Resources
ToResources(const wire::Resources* aResources)
{
  if (aResources == nullptr) {
    return {};
  }
  return { aResources->accelerators(),
           aResources->cores(),
           aResources->memory_mib() };
}

EntryInfo
ToEntry(const wire::EntryInfo& aEntry)
{
  return { base::EntryId(View(aEntry.id())),
           std::string(View(aEntry.address())) };
}

using WireMembers = flatbuffers::Vector<flatbuffers::Offset<wire::GangMember>>;

std::vector<job::GangMemberPlan>
ToMembers(const WireMembers* aMembers)
{
  std::vector<job::GangMemberPlan> members;
  if (aMembers == nullptr) {
    return members;
  }
  members.reserve(aMembers->size());
  for (const auto* member : *aMembers) {
    members.push_back({ base::TargetId(View(member->worker())),
                        std::string(View(member->address())),
                        ToResources(member->resources()) });
  }
  return members;
}

Result<job::GangId>
ToGang(const flatbuffers::String* aJob,
       std::uint32_t aAttempt,
       std::string_view aField)
{
  BOOST_OUTCOME_TRY(const auto job, Required(aJob, aField));
  return job::GangId{ base::JobId(job), base::Attempt(aAttempt) };
}

Result<Message>
Decode(const wire::TargetHello& aHello)
{
  const auto* wireTarget = aHello.target();
  if (wireTarget == nullptr) {
    return Fail(ErrorCode::MissingField, "TargetHello.target");
  }
  BOOST_OUTCOME_TRY(const auto id,
                    Required(wireTarget->id(), "TargetHello.target.id"));
  BOOST_OUTCOME_TRY(const auto zone,
                    Required(wireTarget->zone(), "TargetHello.target.zone"));
  BOOST_OUTCOME_TRY(const auto kind,
                    ToEnum(wireTarget->kind(),
                           fleet::TargetKind::Worker,
                           "TargetHello.target.kind"));
  TargetHello hello;
  hello.target.id = base::TargetId(id);
  hello.target.kind = kind;
  hello.target.region = base::RegionId(View(wireTarget->region()));
  hello.target.zone = base::ZoneId(zone);
  hello.target.rack = base::RackId(View(wireTarget->rack()));
  hello.target.resources = ToResources(wireTarget->resources());
  hello.target.slots = wireTarget->slots();
  hello.target.address = View(wireTarget->address());
  hello.target.incarnation = base::Incarnation(wireTarget->incarnation());
  hello.policyVersion = base::PolicyVersion(aHello.policy_version());
  return hello;
}

Result<Message>
Decode(const wire::EntryHello& aHello)
{
  if (aHello.entry() == nullptr) {
    return Fail(ErrorCode::MissingField, "EntryHello.entry");
  }
  BOOST_OUTCOME_TRY(Required(aHello.entry()->id(), "EntryHello.entry.id"));
  return EntryHello{ ToEntry(*aHello.entry()),
                     base::Incarnation(aHello.incarnation()),
                     base::PolicyVersion(aHello.policy_version()),
                     aHello.is_draining() };
}

Result<Message>
Decode(const wire::Topology& aTopology)
{
  Topology topology;
  topology.sender = base::EntryId(View(aTopology.sender()));
  topology.policyVersion = base::PolicyVersion(aTopology.policy_version());
  topology.heartbeatInterval =
    std::chrono::milliseconds(aTopology.heartbeat_interval_ms());
  if (aTopology.entries() != nullptr) {
    for (const auto* entry : *aTopology.entries()) {
      topology.entries.push_back(ToEntry(*entry));
    }
  }
  if (aTopology.cells() != nullptr) {
    for (const auto* cell : *aTopology.cells()) {
      BOOST_OUTCOME_TRY(const auto zone,
                        Required(cell->zone(), "Topology.cells.zone"));
      topology.cells.push_back({ base::ZoneId(zone),
                                 { base::EntryId(View(cell->coordinator())),
                                   std::string(View(cell->address())) },
                                 base::FencingToken(cell->token()) });
    }
  }
  return topology;
}

Result<Message>
Decode(const wire::Heartbeat& aBeat)
{
  return Heartbeat{ base::PolicyVersion(aBeat.policy_version()),
                    aBeat.in_flight(),
                    aBeat.queued(),
                    aBeat.is_draining() };
}

Result<Message>
Decode(const wire::HeartbeatAck& aAck)
{
  return HeartbeatAck{ base::PolicyVersion(aAck.policy_version()),
                       std::chrono::milliseconds(
                         aAck.heartbeat_interval_ms()) };
}

Result<Message>
Decode(const wire::Ping&)
{
  return Ping{};
}

Result<Message>
Decode(const wire::Execute& aExecute)
{
  BOOST_OUTCOME_TRY(const auto account,
                    Required(aExecute.account(), "Execute.account"));
  BOOST_OUTCOME_TRY(const auto kind, Required(aExecute.kind(), "Execute.kind"));
  Execute execute;
  execute.account = base::AccountId(account);
  execute.caller = base::CallerId(View(aExecute.caller()));
  execute.kind = base::WorkKindId(kind);
  execute.key = base::IdempotencyKey(View(aExecute.key()));
  execute.retryAttempt = aExecute.retry_attempt();
  execute.isIdempotent = aExecute.is_idempotent();
  execute.deadline = std::chrono::milliseconds(aExecute.deadline_ms());
  execute.body = Bytes(aExecute.body());
  return execute;
}

Result<Message>
Decode(const wire::ExecuteReply& aReply)
{
  BOOST_OUTCOME_TRY(
    const auto outcome,
    ToEnum(aReply.outcome(), ExecuteOutcome::Unknown, "ExecuteReply.outcome"));
  BOOST_OUTCOME_TRY(const auto code, ToErrorCode(aReply.error_code()));
  return ExecuteReply{ outcome,
                       aReply.status(),
                       ToError(code, aReply.error_subject()),
                       std::chrono::milliseconds(aReply.retry_after_ms()),
                       Bytes(aReply.body()) };
}

Result<Message>
Decode(const wire::Claim& aClaim)
{
  BOOST_OUTCOME_TRY(const auto key, Required(aClaim.key(), "Claim.key"));
  return Claim{ base::IdempotencyKey(key),
                base::TargetId(View(aClaim.owner())),
                aClaim.fingerprint(),
                aClaim.retry_attempt() };
}

Result<Message>
Decode(const wire::ClaimReply& aReply)
{
  BOOST_OUTCOME_TRY(
    const auto verdict,
    ToEnum(aReply.verdict(), ClaimVerdict::Refused, "ClaimReply.verdict"));
  return ClaimReply{ verdict };
}

Result<Message>
Decode(const wire::Prepare& aPrepare)
{
  BOOST_OUTCOME_TRY(auto gang,
                    ToGang(aPrepare.job(), aPrepare.attempt(), "Prepare.job"));
  Prepare prepare;
  prepare.zone = base::ZoneId(View(aPrepare.zone()));
  prepare.plan.gang = std::move(gang);
  prepare.plan.token = base::FencingToken(aPrepare.token());
  prepare.plan.members = ToMembers(aPrepare.members());
  prepare.plan.payload = View(aPrepare.payload());
  prepare.rank = aPrepare.rank();
  if (prepare.rank >= prepare.plan.members.size()) {
    return Fail(ErrorCode::OutOfRange, "Prepare.rank");
  }
  return prepare;
}

Result<Message>
Decode(const wire::GangSignal& aSignal)
{
  BOOST_OUTCOME_TRY(
    const auto kind,
    ToEnum(aSignal.kind(), GangSignalKind::Outcome, "GangSignal.kind"));
  BOOST_OUTCOME_TRY(
    const auto outcome,
    ToEnum(aSignal.outcome(), AttemptStatus::Aborted, "GangSignal.outcome"));
  BOOST_OUTCOME_TRY(const auto code, ToErrorCode(aSignal.error_code()));
  BOOST_OUTCOME_TRY(auto gang,
                    ToGang(aSignal.job(), aSignal.attempt(), "GangSignal.job"));
  return GangSignal{ kind,
                     base::ZoneId(View(aSignal.zone())),
                     std::move(gang),
                     base::FencingToken(aSignal.token()),
                     aSignal.rank(),
                     aSignal.flag(),
                     ToError(code, aSignal.error_subject()),
                     outcome };
}

Result<Message>
Decode(const wire::GangEnded& aEnded)
{
  BOOST_OUTCOME_TRY(
    const auto outcome,
    ToEnum(aEnded.outcome(), GangEndOutcome::NotRun, "GangEnded.outcome"));
  BOOST_OUTCOME_TRY(auto gang,
                    ToGang(aEnded.job(), aEnded.attempt(), "GangEnded.job"));
  GangEnded ended;
  ended.zone = base::ZoneId(View(aEnded.zone()));
  ended.gang = std::move(gang);
  ended.outcome = outcome;
  if (aEnded.members() != nullptr) {
    for (const auto* member : *aEnded.members()) {
      BOOST_OUTCOME_TRY(const auto code, ToErrorCode(member->error_code()));
      ended.members.push_back({ member->rank(),
                                member->is_success(),
                                ToError(code, member->error_subject()) });
    }
  }
  return ended;
}

Result<Message>
Decode(const wire::GangReport& aReport)
{
  GangReport report;
  report.zone = base::ZoneId(View(aReport.zone()));
  if (aReport.gangs() == nullptr) {
    return report;
  }
  for (const auto* held : *aReport.gangs()) {
    BOOST_OUTCOME_TRY(
      auto gang, ToGang(held->job(), held->attempt(), "GangReport.gangs.job"));
    BOOST_OUTCOME_TRY(
      const auto phase,
      ToEnum(held->phase(), HeldPhase::Ended, "GangReport.gangs.phase"));
    HeldGang decoded;
    decoded.plan.gang = std::move(gang);
    decoded.plan.token = base::FencingToken(held->token());
    decoded.plan.members = ToMembers(held->members());
    decoded.rank = held->rank();
    decoded.phase = phase;
    report.gangs.push_back(std::move(decoded));
  }
  return report;
}

Result<Message>
Decode(const wire::ForwardJob& aForward)
{
  BOOST_OUTCOME_TRY(const auto path,
                    Required(aForward.path(), "ForwardJob.path"));
  return ForwardJob{ std::string(View(aForward.method())),
                     std::string(path),
                     base::AccountId(View(aForward.account())),
                     base::CallerId(View(aForward.caller())),
                     std::string(View(aForward.body())) };
}

Result<Message>
Decode(const wire::ForwardJobReply& aReply)
{
  return ForwardJobReply{ aReply.status(),
                          std::chrono::milliseconds(aReply.retry_after_ms()),
                          std::string(View(aReply.body())) };
}

Result<Message>
Decode(const wire::FetchPolicy&)
{
  return FetchPolicy{};
}

Result<Message>
Decode(const wire::PolicyReply& aReply)
{
  return PolicyReply{ base::PolicyVersion(aReply.policy_version()),
                      std::string(View(aReply.document())) };
}

Result<Message>
Decode(const wire::FetchTopology&)
{
  return FetchTopology{};
}

} // namespace

Result<Message>
DecodeBody(const wire::Envelope& aEnvelope)
{
  if (aEnvelope.body() == nullptr) {
    return Fail(ErrorCode::MissingField, "Envelope.body");
  }
  switch (aEnvelope.body_type()) {
    case wire::Body::TargetHello:
      return Decode(*aEnvelope.body_as_TargetHello());
    case wire::Body::EntryHello:
      return Decode(*aEnvelope.body_as_EntryHello());
    case wire::Body::Topology:
      return Decode(*aEnvelope.body_as_Topology());
    case wire::Body::Heartbeat:
      return Decode(*aEnvelope.body_as_Heartbeat());
    case wire::Body::HeartbeatAck:
      return Decode(*aEnvelope.body_as_HeartbeatAck());
    case wire::Body::Ping:
      return Decode(*aEnvelope.body_as_Ping());
    case wire::Body::Execute:
      return Decode(*aEnvelope.body_as_Execute());
    case wire::Body::ExecuteReply:
      return Decode(*aEnvelope.body_as_ExecuteReply());
    case wire::Body::Claim:
      return Decode(*aEnvelope.body_as_Claim());
    case wire::Body::ClaimReply:
      return Decode(*aEnvelope.body_as_ClaimReply());
    case wire::Body::Prepare:
      return Decode(*aEnvelope.body_as_Prepare());
    case wire::Body::GangSignal:
      return Decode(*aEnvelope.body_as_GangSignal());
    case wire::Body::GangEnded:
      return Decode(*aEnvelope.body_as_GangEnded());
    case wire::Body::GangReport:
      return Decode(*aEnvelope.body_as_GangReport());
    case wire::Body::ForwardJob:
      return Decode(*aEnvelope.body_as_ForwardJob());
    case wire::Body::ForwardJobReply:
      return Decode(*aEnvelope.body_as_ForwardJobReply());
    case wire::Body::FetchPolicy:
      return Decode(*aEnvelope.body_as_FetchPolicy());
    case wire::Body::PolicyReply:
      return Decode(*aEnvelope.body_as_PolicyReply());
    case wire::Body::FetchTopology:
      return Decode(*aEnvelope.body_as_FetchTopology());
    case wire::Body::NONE:
      break;
  }
  return Fail(ErrorCode::UnknownMessage, "Envelope.body");
}

} // namespace amaranthwind::protocol
