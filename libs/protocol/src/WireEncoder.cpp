#include "WireEncoder.h"

#include "GangStepKind.h"

#include <algorithm>
#include <limits>
#include <memory>

namespace amaranthwind::protocol {

namespace {

using flatbuffers::Offset;

std::uint32_t
Milliseconds(std::chrono::milliseconds aDuration)
{
  return static_cast<std::uint32_t>(aDuration.count());
}

/** Clamps the duration to the range of the 32-bit field. */
std::uint32_t
ToMilliseconds(base::Duration aDuration)
{
  const auto count =
    std::chrono::ceil<std::chrono::milliseconds>(aDuration).count();
  constexpr std::int64_t kMax = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, kMax));
}

wire::GangStepT
MakeStep(GangStepKind aKind, const gang::AttemptKey& aKey)
{
  wire::GangStepT step;
  step.kind = static_cast<std::uint8_t>(aKind);
  step.key = std::make_unique<wire::AttemptKeyT>();
  step.key->job = aKey.gang.job.View();
  step.key->attempt = aKey.gang.attempt.Get();
  step.key->plan_token = aKey.planToken.Get();
  return step;
}

void
SetFence(wire::GangStepT& aStep, const gang::Fence& aFence)
{
  aStep.fence = std::make_unique<wire::FenceT>();
  aStep.fence->cell = aFence.cell.View();
  aStep.fence->token = aFence.token.Get();
}

void
SetError(wire::GangStepT& aStep, const base::Error& aError)
{
  aStep.has_error = true;
  aStep.error_code = static_cast<std::uint8_t>(aError.code);
  aStep.error_subject = aError.subject;
}

std::uint8_t
Code(const base::Error& aError)
{
  return static_cast<std::uint8_t>(aError.code);
}

} // namespace

WireEncoder::StringOffset
WireEncoder::String(std::string_view aText)
{
  return this->builder.CreateString(aText.data(), aText.size());
}

WireEncoder::BytesOffset
WireEncoder::Bytes(std::span<const std::byte> aBytes)
{
  return this->builder.CreateVector(
    reinterpret_cast<const std::uint8_t*>(aBytes.data()), aBytes.size());
}

Offset<wire::Resources>
WireEncoder::Resources(const fleet::Resources& aResources)
{
  return wire::CreateResources(this->builder,
                               aResources.accelerators,
                               aResources.cores,
                               aResources.memoryMiB);
}

Offset<wire::EntryInfo>
WireEncoder::Entry(const EntryInfo& aEntry)
{
  const auto id = this->String(aEntry.id.View());
  const auto address = this->String(aEntry.address);
  return wire::CreateEntryInfo(this->builder, id, address);
}

WireEncoder::MembersOffset
WireEncoder::Members(std::span<const job::GangMemberPlan> aMembers)
{
  std::vector<Offset<wire::GangMember>> members;
  members.reserve(aMembers.size());
  for (const auto& member : aMembers) {
    const auto worker = this->String(member.worker.View());
    const auto address = this->String(member.address);
    const auto resources = this->Resources(member.resources);
    members.push_back(
      wire::CreateGangMember(this->builder, worker, address, resources));
  }
  return this->builder.CreateVector(members);
}

Offset<wire::TargetHello>
WireEncoder::operator()(const TargetHello& aHello)
{
  const auto& target = aHello.target;
  const auto id = this->String(target.id.View());
  const auto region = this->String(target.region.View());
  const auto zone = this->String(target.zone.View());
  const auto rack = this->String(target.rack.View());
  const auto resources = this->Resources(target.resources);
  const auto address = this->String(target.address);
  const auto encoded =
    wire::CreateTarget(this->builder,
                       id,
                       static_cast<std::uint8_t>(target.kind),
                       region,
                       zone,
                       rack,
                       resources,
                       target.slots,
                       address,
                       target.incarnation.Get());
  return wire::CreateTargetHello(
    this->builder, encoded, aHello.noteOffset.Get());
}

Offset<wire::EntryHello>
WireEncoder::operator()(const EntryHello& aHello)
{
  const auto entry = this->Entry(aHello.entry);
  return wire::CreateEntryHello(this->builder,
                                entry,
                                aHello.incarnation.Get(),
                                aHello.noteOffset.Get(),
                                aHello.isDraining);
}

Offset<wire::Topology>
WireEncoder::operator()(const Topology& aTopology)
{
  std::vector<Offset<wire::EntryInfo>> entries;
  entries.reserve(aTopology.entries.size());
  for (const auto& entry : aTopology.entries) {
    entries.push_back(this->Entry(entry));
  }
  std::vector<Offset<wire::CellInfo>> cells;
  cells.reserve(aTopology.cells.size());
  for (const auto& cell : aTopology.cells) {
    const auto zone = this->String(cell.zone.View());
    const auto coordinator = this->String(cell.coordinator.id.View());
    const auto address = this->String(cell.coordinator.address);
    cells.push_back(wire::CreateCellInfo(
      this->builder, zone, coordinator, address, cell.token.Get()));
  }
  const auto sender = this->String(aTopology.sender.View());
  const auto entryVector = this->builder.CreateVector(entries);
  const auto cellVector = this->builder.CreateVector(cells);
  return wire::CreateTopology(this->builder,
                              sender,
                              aTopology.noteOffset.Get(),
                              Milliseconds(aTopology.heartbeatInterval),
                              entryVector,
                              cellVector);
}

Offset<wire::Heartbeat>
WireEncoder::operator()(const Heartbeat& aBeat)
{
  return wire::CreateHeartbeat(this->builder,
                               aBeat.noteOffset.Get(),
                               aBeat.inFlight,
                               aBeat.queued,
                               aBeat.isDraining);
}

Offset<wire::HeartbeatAck>
WireEncoder::operator()(const HeartbeatAck& aAck)
{
  return wire::CreateHeartbeatAck(
    this->builder, aAck.noteOffset.Get(), Milliseconds(aAck.heartbeatInterval));
}

Offset<wire::Ping>
WireEncoder::operator()(const Ping&)
{
  return wire::CreatePing(this->builder);
}

Offset<wire::Execute>
WireEncoder::operator()(const Execute& aExecute)
{
  const auto account = this->String(aExecute.account.View());
  const auto caller = this->String(aExecute.caller.View());
  const auto kind = this->String(aExecute.kind.View());
  const auto key = this->String(aExecute.key.View());
  const auto witness = this->String(aExecute.witnessAddress);
  const auto body = this->Bytes(aExecute.body);
  return wire::CreateExecute(this->builder,
                             account,
                             caller,
                             kind,
                             key,
                             aExecute.retryAttempt,
                             aExecute.isIdempotent,
                             Milliseconds(aExecute.deadline),
                             witness,
                             aExecute.lostTargets,
                             body);
}

Offset<wire::ExecuteReply>
WireEncoder::operator()(const ExecuteReply& aReply)
{
  const auto subject = this->String(aReply.error.subject);
  const auto body = this->Bytes(aReply.body);
  return wire::CreateExecuteReply(this->builder,
                                  static_cast<std::uint8_t>(aReply.outcome),
                                  aReply.status,
                                  Code(aReply.error),
                                  subject,
                                  Milliseconds(aReply.retryAfter),
                                  body);
}

Offset<wire::Claim>
WireEncoder::operator()(const Claim& aClaim)
{
  const auto& claim = aClaim.claim;
  const auto account = this->String(claim.key.account.View());
  const auto key = this->String(claim.key.key.View());
  const auto holder = this->String(claim.holder.View());
  return wire::CreateClaim(this->builder,
                           account,
                           key,
                           claim.fingerprint,
                           claim.attempt,
                           holder,
                           claim.incarnation.Get());
}

Offset<wire::ClaimReply>
WireEncoder::operator()(const ClaimReply& aReply)
{
  const auto& reply = aReply.reply;
  const auto* answer = reply.answer.get();
  const auto body =
    this->Bytes(answer == nullptr ? std::span<const std::byte>{}
                                  : std::span<const std::byte>(answer->body));
  return wire::CreateClaimReply(this->builder,
                                static_cast<std::uint8_t>(reply.result),
                                reply.hasCompleteHistory,
                                answer != nullptr,
                                answer == nullptr ? 0 : answer->status,
                                body);
}

Offset<wire::ClaimEnded>
WireEncoder::operator()(const ClaimEnded& aEnded)
{
  const auto account = this->String(aEnded.key.account.View());
  const auto key = this->String(aEnded.key.key.View());
  const auto body = this->Bytes(aEnded.answer.body);
  return wire::CreateClaimEnded(
    this->builder, account, key, aEnded.hasRun, aEnded.answer.status, body);
}

Offset<wire::AttemptKey>
WireEncoder::Key(const gang::AttemptKey& aKey)
{
  const auto job = this->String(aKey.gang.job.View());
  return wire::CreateAttemptKey(
    this->builder, job, aKey.gang.attempt.Get(), aKey.planToken.Get());
}

Offset<wire::Fence>
WireEncoder::Fence(const gang::Fence& aFence)
{
  const auto cell = this->String(aFence.cell.View());
  return wire::CreateFence(this->builder, cell, aFence.token.Get());
}

Offset<wire::GangStep>
WireEncoder::Step(const wire::GangStepT& aStep)
{
  return wire::CreateGangStep(this->builder, &aStep);
}

Offset<wire::Prepare>
WireEncoder::operator()(const gang::Prepare& aPrepare)
{
  const auto fence = this->Fence(aPrepare.fence);
  const auto key = this->Key(gang::KeyOf(*aPrepare.plan));
  const auto members = this->Members(aPrepare.plan->members);
  const auto payload = this->String(aPrepare.plan->payload);
  return wire::CreatePrepare(
    this->builder, fence, key, aPrepare.rank, members, payload);
}

Offset<wire::GangStep>
WireEncoder::operator()(const gang::Commit& aCommit)
{
  auto step = MakeStep(GangStepKind::Commit, aCommit.key);
  SetFence(step, aCommit.fence);
  step.rank = aCommit.rank;
  return this->Step(step);
}

Offset<wire::GangStep>
WireEncoder::operator()(const gang::Abort& aAbort)
{
  auto step = MakeStep(GangStepKind::Abort, aAbort.key);
  SetFence(step, aAbort.fence);
  return this->Step(step);
}

Offset<wire::GangStep>
WireEncoder::operator()(const gang::StopGang& aStop)
{
  auto step = MakeStep(GangStepKind::StopGang, aStop.key);
  if (aStop.fence) {
    SetFence(step, *aStop.fence);
  }
  step.reason = static_cast<std::uint8_t>(aStop.reason);
  step.duration_ms = ToMilliseconds(aStop.grace);
  return this->Step(step);
}

Offset<wire::GangStep>
WireEncoder::operator()(const gang::GangEndedAck& aAck)
{
  return this->Step(MakeStep(GangStepKind::GangEndedAck, aAck.key));
}

Offset<wire::GangStep>
WireEncoder::operator()(const gang::Promise& aPromise)
{
  auto step = MakeStep(GangStepKind::Promise, aPromise.key);
  step.rank = aPromise.rank;
  if (aPromise.refusal) {
    SetError(step, *aPromise.refusal);
  }
  return this->Step(step);
}

Offset<wire::GangStep>
WireEncoder::operator()(const gang::CommitRefused& aRefused)
{
  auto step = MakeStep(GangStepKind::CommitRefused, aRefused.key);
  step.rank = aRefused.rank;
  step.token = aRefused.token.Get();
  SetError(step, aRefused.error);
  return this->Step(step);
}

Offset<wire::GangStep>
WireEncoder::operator()(const gang::GangStarted& aStarted)
{
  return this->Step(MakeStep(GangStepKind::GangStarted, aStarted.key));
}

Offset<wire::GangStep>
WireEncoder::operator()(const gang::MemberEnded& aEnded)
{
  auto step = MakeStep(GangStepKind::MemberEnded, aEnded.key);
  step.rank = aEnded.rank;
  step.result = static_cast<std::uint8_t>(aEnded.result);
  return this->Step(step);
}

Offset<wire::GangStep>
WireEncoder::operator()(const gang::GangEnded& aEnded)
{
  auto step = MakeStep(GangStepKind::GangEnded, aEnded.key);
  step.was_released = aEnded.wasReleased;
  for (const auto result : aEnded.results) {
    step.results.push_back(static_cast<std::uint8_t>(result));
  }
  step.has_reason = aEnded.reason.has_value();
  step.reason = static_cast<std::uint8_t>(
    aEnded.reason.value_or(gang::StopReason::Cancelled));
  step.has_rank_at_fault = aEnded.rankAtFault.has_value();
  step.rank_at_fault = aEnded.rankAtFault.value_or(0);
  return this->Step(step);
}

Offset<wire::GangStep>
WireEncoder::operator()(const gang::OutcomeQuery& aQuery)
{
  auto step = MakeStep(GangStepKind::OutcomeQuery, aQuery.key);
  step.cell = aQuery.cell.View();
  return this->Step(step);
}

Offset<wire::GangStep>
WireEncoder::operator()(const gang::OutcomeReply& aReply)
{
  auto step = MakeStep(GangStepKind::OutcomeReply, aReply.key);
  step.state = static_cast<std::uint8_t>(aReply.state);
  return this->Step(step);
}

Offset<wire::GangStep>
WireEncoder::operator()(const gang::Committed& aCommitted)
{
  auto step = MakeStep(GangStepKind::Committed, aCommitted.key);
  step.rank = aCommitted.rank;
  return this->Step(step);
}

Offset<wire::GangStep>
WireEncoder::operator()(const gang::Release& aRelease)
{
  return this->Step(MakeStep(GangStepKind::Release, aRelease.key));
}

Offset<wire::GangStep>
WireEncoder::operator()(const gang::MemberHeartbeat& aAlive)
{
  auto step = MakeStep(GangStepKind::MemberHeartbeat, aAlive.key);
  step.rank = aAlive.rank;
  step.sequence = aAlive.sequence;
  step.echo = aAlive.echo;
  step.phase = static_cast<std::uint8_t>(aAlive.phase);
  step.result = static_cast<std::uint8_t>(aAlive.result);
  step.duration_ms = ToMilliseconds(aAlive.livenessTimeout);
  return this->Step(step);
}

Offset<wire::GangReport>
WireEncoder::operator()(const GangReport& aReport)
{
  std::vector<Offset<wire::HeldGang>> gangs;
  gangs.reserve(aReport.gangs.size());
  for (const auto& held : aReport.gangs) {
    const auto key = this->Key(gang::KeyOf(held.plan));
    const auto members = this->Members(held.plan.members);
    gangs.push_back(wire::CreateHeldGang(this->builder,
                                         key,
                                         held.rank,
                                         static_cast<std::uint8_t>(held.phase),
                                         members));
  }
  const auto cell = this->String(aReport.cell.View());
  const auto gangVector = this->builder.CreateVector(gangs);
  return wire::CreateGangReport(this->builder, cell, gangVector);
}

Offset<wire::ForwardJob>
WireEncoder::operator()(const ForwardJob& aForward)
{
  const auto method = this->String(aForward.method);
  const auto path = this->String(aForward.path);
  const auto account = this->String(aForward.account.View());
  const auto caller = this->String(aForward.caller.View());
  const auto body = this->String(aForward.body);
  return wire::CreateForwardJob(
    this->builder, method, path, account, caller, body);
}

Offset<wire::ForwardJobReply>
WireEncoder::operator()(const ForwardJobReply& aReply)
{
  const auto body = this->String(aReply.body);
  return wire::CreateForwardJobReply(
    this->builder, aReply.status, Milliseconds(aReply.retryAfter), body);
}

Offset<wire::FetchPolicy>
WireEncoder::operator()(const FetchPolicy&)
{
  return wire::CreateFetchPolicy(this->builder);
}

Offset<wire::PolicyReply>
WireEncoder::operator()(const PolicyReply& aReply)
{
  const auto document = this->String(aReply.document);
  return wire::CreatePolicyReply(
    this->builder, aReply.noteOffset.Get(), document);
}

Offset<wire::FetchTopology>
WireEncoder::operator()(const FetchTopology&)
{
  return wire::CreateFetchTopology(this->builder);
}

} // namespace amaranthwind::protocol
