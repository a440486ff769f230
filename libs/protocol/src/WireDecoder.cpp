#include "WireDecoder.h"

#include "AgentDecoder.h"
#include "GangStepKind.h"

#include <memory>
#include <optional>
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

/** Rejects values from the wire that are beyond the last enumerator. */
template<typename Enum>
Result<Enum>
ToEnum(std::uint8_t aValue, Enum aLast, std::string_view aField)
{
  if (aValue > static_cast<std::uint8_t>(aLast)) {
    return Fail(ErrorCode::OutOfRange, aField);
  }
  return static_cast<Enum>(aValue);
}

Result<gang::MemberResult>
ToMemberResult(std::uint8_t aValue)
{
  return ToEnum(aValue, gang::MemberResult::Lost, "GangStep.result");
}

Result<gang::MemberPhase>
ToPhase(std::uint8_t aValue)
{
  return ToEnum(aValue, gang::MemberPhase::Aborted, "GangStep.phase");
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

Result<gang::AttemptKey>
ToKey(const wire::AttemptKey* aKey, std::string_view aField)
{
  if (aKey == nullptr) {
    return Fail(ErrorCode::MissingField, aField);
  }
  BOOST_OUTCOME_TRY(const auto job, Required(aKey->job(), aField));
  return gang::AttemptKey{ { base::JobId(job), base::Attempt(aKey->attempt()) },
                           base::FencingToken(aKey->plan_token()) };
}

Result<gang::Fence>
ToFence(const wire::Fence* aFence, std::string_view aField)
{
  if (aFence == nullptr) {
    return Fail(ErrorCode::MissingField, aField);
  }
  return gang::Fence{ base::ZoneId(View(aFence->cell())),
                      base::FencingToken(aFence->token()) };
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
  hello.noteOffset = base::LogOffset(aHello.note_offset());
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
                     base::LogOffset(aHello.note_offset()),
                     aHello.is_draining() };
}

Result<Message>
Decode(const wire::Topology& aTopology)
{
  Topology topology;
  topology.sender = base::EntryId(View(aTopology.sender()));
  topology.noteOffset = base::LogOffset(aTopology.note_offset());
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
  return Heartbeat{ base::LogOffset(aBeat.note_offset()),
                    aBeat.in_flight(),
                    aBeat.queued(),
                    aBeat.is_draining() };
}

Result<Message>
Decode(const wire::HeartbeatAck& aAck)
{
  return HeartbeatAck{ base::LogOffset(aAck.note_offset()),
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
  execute.witnessAddress = View(aExecute.witness_address());
  execute.lostTargets = aExecute.lost_targets();
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
  BOOST_OUTCOME_TRY(const auto holder,
                    Required(aClaim.holder(), "Claim.holder"));
  requests::Claim claim;
  claim.key.account = base::AccountId(View(aClaim.account()));
  claim.key.key = base::IdempotencyKey(key);
  claim.fingerprint = aClaim.fingerprint();
  claim.attempt = aClaim.retry_attempt();
  claim.holder = base::TargetId(holder);
  claim.incarnation = base::Incarnation(aClaim.incarnation());
  return Claim{ std::move(claim) };
}

Result<Message>
Decode(const wire::ClaimReply& aReply)
{
  BOOST_OUTCOME_TRY(const auto result,
                    ToEnum(aReply.result(),
                           requests::ClaimResult::Unreachable,
                           "ClaimReply.result"));
  requests::ClaimReply reply;
  reply.result = result;
  reply.hasCompleteHistory = aReply.does_vouch();
  if (aReply.has_answer()) {
    reply.answer = std::make_shared<requests::StoredResponse>(
      requests::StoredResponse{ aReply.status(), Bytes(aReply.body()) });
  }
  return ClaimReply{ std::move(reply) };
}

Result<Message>
Decode(const wire::ClaimEnded& aEnded)
{
  BOOST_OUTCOME_TRY(const auto key, Required(aEnded.key(), "ClaimEnded.key"));
  return ClaimEnded{ { base::AccountId(View(aEnded.account())),
                       base::IdempotencyKey(key) },
                     aEnded.has_run(),
                     { aEnded.status(), Bytes(aEnded.body()) } };
}

Result<Message>
Decode(const wire::Prepare& aPrepare)
{
  BOOST_OUTCOME_TRY(auto key, ToKey(aPrepare.key(), "Prepare.key"));
  BOOST_OUTCOME_TRY(auto fence, ToFence(aPrepare.fence(), "Prepare.fence"));
  auto plan = std::make_shared<job::GangPlan>();
  plan->gang = std::move(key.gang);
  plan->token = key.planToken;
  plan->members = ToMembers(aPrepare.members());
  plan->payload = View(aPrepare.payload());
  if (aPrepare.rank() >= plan->members.size()) {
    return Fail(ErrorCode::OutOfRange, "Prepare.rank");
  }
  return gang::Prepare{ std::move(fence), std::move(plan), aPrepare.rank() };
}

/** Decodes each kind of GangStep from the fields that it uses. */
class GangStepDecoder
{
public:
  GangStepDecoder(const wire::GangStep& aStep, gang::AttemptKey aKey)
    : step(aStep)
    , key(std::move(aKey))
  {
  }

  Result<Message> Read(GangStepKind aKind) const
  {
    switch (aKind) {
      case GangStepKind::Commit:
        return this->ReadCommit();
      case GangStepKind::Abort:
        return this->ReadAbort();
      case GangStepKind::StopGang:
        return this->ReadStop();
      case GangStepKind::GangEndedAck:
        return gang::GangEndedAck{ this->key };
      case GangStepKind::Promise:
        return this->ReadPromise();
      case GangStepKind::CommitRefused:
        return this->ReadCommitRefused();
      case GangStepKind::GangStarted:
        return gang::GangStarted{ this->key };
      case GangStepKind::MemberEnded:
        return this->ReadMemberEnded();
      case GangStepKind::GangEnded:
        return this->ReadGangEnded();
      case GangStepKind::OutcomeQuery:
        return gang::OutcomeQuery{ this->key,
                                   base::ZoneId(View(this->step.cell())) };
      case GangStepKind::OutcomeReply:
        return this->ReadOutcomeReply();
      case GangStepKind::Committed:
        return gang::Committed{ this->key, this->step.rank() };
      case GangStepKind::Release:
        return gang::Release{ this->key };
      case GangStepKind::MemberHeartbeat:
        return this->ReadMemberAlive();
    }
    return Fail(ErrorCode::OutOfRange, "GangStep.kind");
  }

private:
  Result<Message> ReadCommit() const
  {
    BOOST_OUTCOME_TRY(auto fence, ToFence(this->step.fence(), "Commit.fence"));
    return gang::Commit{ std::move(fence), this->key, this->step.rank() };
  }

  Result<Message> ReadAbort() const
  {
    BOOST_OUTCOME_TRY(auto fence, ToFence(this->step.fence(), "Abort.fence"));
    return gang::Abort{ std::move(fence), this->key };
  }

  Result<Message> ReadStop() const
  {
    BOOST_OUTCOME_TRY(const auto reason, this->Reason());
    gang::StopGang stop;
    stop.key = this->key;
    if (this->step.fence() != nullptr) {
      BOOST_OUTCOME_TRY(stop.fence,
                        ToFence(this->step.fence(), "StopGang.fence"));
    }
    stop.reason = reason;
    stop.grace = std::chrono::milliseconds(this->step.duration_ms());
    return stop;
  }

  Result<Message> ReadPromise() const
  {
    gang::Promise promise{ this->key, this->step.rank(), std::nullopt };
    if (this->step.has_error()) {
      BOOST_OUTCOME_TRY(const auto code, ToErrorCode(this->step.error_code()));
      promise.refusal = ToError(code, this->step.error_subject());
    }
    return promise;
  }

  Result<Message> ReadCommitRefused() const
  {
    BOOST_OUTCOME_TRY(const auto code, ToErrorCode(this->step.error_code()));
    return gang::CommitRefused{ this->key,
                                this->step.rank(),
                                base::FencingToken(this->step.token()),
                                ToError(code, this->step.error_subject()) };
  }

  Result<Message> ReadMemberEnded() const
  {
    BOOST_OUTCOME_TRY(const auto result, ToMemberResult(this->step.result()));
    return gang::MemberEnded{ this->key, this->step.rank(), result };
  }

  Result<Message> ReadGangEnded() const
  {
    BOOST_OUTCOME_TRY(const auto reason, this->Reason());
    gang::GangEnded ended;
    ended.key = this->key;
    ended.wasReleased = this->step.was_released();
    if (this->step.results() != nullptr) {
      for (const std::uint8_t value : *this->step.results()) {
        BOOST_OUTCOME_TRY(const auto result, ToMemberResult(value));
        ended.results.push_back(result);
      }
    }
    if (this->step.has_reason()) {
      ended.reason = reason;
    }
    if (this->step.has_rank_at_fault()) {
      ended.rankAtFault = this->step.rank_at_fault();
    }
    return ended;
  }

  Result<Message> ReadOutcomeReply() const
  {
    BOOST_OUTCOME_TRY(const auto state,
                      ToEnum(this->step.state(),
                             gang::AttemptState::Aborted,
                             "OutcomeReply.state"));
    return gang::OutcomeReply{ this->key, state };
  }

  Result<Message> ReadMemberAlive() const
  {
    BOOST_OUTCOME_TRY(const auto phase, ToPhase(this->step.phase()));
    BOOST_OUTCOME_TRY(const auto result, ToMemberResult(this->step.result()));
    return gang::MemberHeartbeat{ this->key,
                                  this->step.rank(),
                                  this->step.sequence(),
                                  this->step.echo(),
                                  phase,
                                  result,
                                  std::chrono::milliseconds(
                                    this->step.duration_ms()) };
  }

  Result<gang::StopReason> Reason() const
  {
    return ToEnum(
      this->step.reason(), gang::StopReason::UnknownAttempt, "GangStep.reason");
  }

  const wire::GangStep& step;
  const gang::AttemptKey key;
};

Result<Message>
Decode(const wire::GangStep& aStep)
{
  BOOST_OUTCOME_TRY(
    const auto kind,
    ToEnum(aStep.kind(), GangStepKind::MemberHeartbeat, "GangStep.kind"));
  BOOST_OUTCOME_TRY(auto key, ToKey(aStep.key(), "GangStep.key"));
  return GangStepDecoder(aStep, std::move(key)).Read(kind);
}

Result<Message>
Decode(const wire::GangReport& aReport)
{
  GangReport report;
  report.cell = base::ZoneId(View(aReport.cell()));
  if (aReport.gangs() == nullptr) {
    return report;
  }
  for (const auto* held : *aReport.gangs()) {
    BOOST_OUTCOME_TRY(auto key, ToKey(held->key(), "GangReport.gangs.key"));
    BOOST_OUTCOME_TRY(const auto phase, ToPhase(held->phase()));
    HeldGang decoded;
    decoded.plan.gang = std::move(key.gang);
    decoded.plan.token = key.planToken;
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
  return PolicyReply{ base::LogOffset(aReply.note_offset()),
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
    case wire::Body::ClaimEnded:
      return Decode(*aEnvelope.body_as_ClaimEnded());
    case wire::Body::Prepare:
      return Decode(*aEnvelope.body_as_Prepare());
    case wire::Body::GangStep:
      return Decode(*aEnvelope.body_as_GangStep());
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
    case wire::Body::AgentReport:
      return protocol::Decode(*aEnvelope.body_as_AgentReport());
    case wire::Body::AgentReportPart:
      return protocol::Decode(*aEnvelope.body_as_AgentReportPart());
    case wire::Body::AgentGrant:
      return protocol::Decode(*aEnvelope.body_as_AgentGrant());
    case wire::Body::AgentAck:
      return protocol::Decode(*aEnvelope.body_as_AgentAck());
    case wire::Body::AgentStart:
      return protocol::Decode(*aEnvelope.body_as_AgentStart());
    case wire::Body::AgentStop:
      return protocol::Decode(*aEnvelope.body_as_AgentStop());
    case wire::Body::AgentOutcome:
      return protocol::Decode(*aEnvelope.body_as_AgentOutcome());
    case wire::Body::LeaderNotice:
      return protocol::Decode(*aEnvelope.body_as_LeaderNotice());
    case wire::Body::AppendRecord:
      return protocol::Decode(*aEnvelope.body_as_AppendRecord());
    case wire::Body::AppendRecordReply:
      return protocol::Decode(*aEnvelope.body_as_AppendRecordReply());
    case wire::Body::NONE:
      break;
  }
  return Fail(ErrorCode::UnknownMessage, "Envelope.body");
}

} // namespace amaranthwind::protocol
