#include "WireEncoder.h"

namespace amaranthwind::protocol {

namespace {

using flatbuffers::Offset;

std::uint32_t
Milliseconds(std::chrono::milliseconds aDuration)
{
  return static_cast<std::uint32_t>(aDuration.count());
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
    this->builder, encoded, aHello.policyVersion.Get());
}

Offset<wire::EntryHello>
WireEncoder::operator()(const EntryHello& aHello)
{
  const auto entry = this->Entry(aHello.entry);
  return wire::CreateEntryHello(this->builder,
                                entry,
                                aHello.incarnation.Get(),
                                aHello.policyVersion.Get(),
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
                              aTopology.policyVersion.Get(),
                              Milliseconds(aTopology.heartbeatInterval),
                              entryVector,
                              cellVector);
}

Offset<wire::Heartbeat>
WireEncoder::operator()(const Heartbeat& aBeat)
{
  return wire::CreateHeartbeat(this->builder,
                               aBeat.policyVersion.Get(),
                               aBeat.inFlight,
                               aBeat.queued,
                               aBeat.isDraining);
}

Offset<wire::HeartbeatAck>
WireEncoder::operator()(const HeartbeatAck& aAck)
{
  return wire::CreateHeartbeatAck(this->builder,
                                  aAck.policyVersion.Get(),
                                  Milliseconds(aAck.heartbeatInterval));
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
  const auto body = this->Bytes(aExecute.body);
  return wire::CreateExecute(this->builder,
                             account,
                             caller,
                             kind,
                             key,
                             aExecute.retryAttempt,
                             aExecute.isIdempotent,
                             Milliseconds(aExecute.deadline),
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
  const auto key = this->String(aClaim.key.View());
  const auto owner = this->String(aClaim.owner.View());
  return wire::CreateClaim(
    this->builder, key, owner, aClaim.fingerprint, aClaim.retryAttempt);
}

Offset<wire::ClaimReply>
WireEncoder::operator()(const ClaimReply& aReply)
{
  return wire::CreateClaimReply(this->builder,
                                static_cast<std::uint8_t>(aReply.verdict));
}

Offset<wire::Prepare>
WireEncoder::operator()(const Prepare& aPrepare)
{
  const auto zone = this->String(aPrepare.zone.View());
  const auto job = this->String(aPrepare.plan.gang.job.View());
  const auto members = this->Members(aPrepare.plan.members);
  const auto payload = this->String(aPrepare.plan.payload);
  return wire::CreatePrepare(this->builder,
                             zone,
                             job,
                             aPrepare.plan.gang.attempt.Get(),
                             aPrepare.plan.token.Get(),
                             aPrepare.rank,
                             members,
                             payload);
}

Offset<wire::GangSignal>
WireEncoder::operator()(const GangSignal& aSignal)
{
  const auto zone = this->String(aSignal.zone.View());
  const auto job = this->String(aSignal.gang.job.View());
  const auto subject = this->String(aSignal.error.subject);
  return wire::CreateGangSignal(this->builder,
                                static_cast<std::uint8_t>(aSignal.kind),
                                zone,
                                job,
                                aSignal.gang.attempt.Get(),
                                aSignal.token.Get(),
                                aSignal.rank,
                                aSignal.flag,
                                Code(aSignal.error),
                                subject,
                                static_cast<std::uint8_t>(aSignal.outcome));
}

Offset<wire::GangEnded>
WireEncoder::operator()(const GangEnded& aEnded)
{
  std::vector<Offset<wire::MemberResult>> members;
  members.reserve(aEnded.members.size());
  for (const auto& member : aEnded.members) {
    const auto subject = this->String(member.error.subject);
    members.push_back(wire::CreateMemberResult(this->builder,
                                               member.rank,
                                               member.isSuccess,
                                               Code(member.error),
                                               subject));
  }
  const auto zone = this->String(aEnded.zone.View());
  const auto job = this->String(aEnded.gang.job.View());
  const auto results = this->builder.CreateVector(members);
  return wire::CreateGangEnded(this->builder,
                               zone,
                               job,
                               aEnded.gang.attempt.Get(),
                               static_cast<std::uint8_t>(aEnded.outcome),
                               results);
}

Offset<wire::GangReport>
WireEncoder::operator()(const GangReport& aReport)
{
  std::vector<Offset<wire::HeldGang>> gangs;
  gangs.reserve(aReport.gangs.size());
  for (const auto& held : aReport.gangs) {
    const auto job = this->String(held.plan.gang.job.View());
    const auto members = this->Members(held.plan.members);
    gangs.push_back(wire::CreateHeldGang(this->builder,
                                         job,
                                         held.plan.gang.attempt.Get(),
                                         held.plan.token.Get(),
                                         held.rank,
                                         static_cast<std::uint8_t>(held.phase),
                                         members));
  }
  const auto zone = this->String(aReport.zone.View());
  const auto gangVector = this->builder.CreateVector(gangs);
  return wire::CreateGangReport(this->builder, zone, gangVector);
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
    this->builder, aReply.policyVersion.Get(), document);
}

Offset<wire::FetchTopology>
WireEncoder::operator()(const FetchTopology&)
{
  return wire::CreateFetchTopology(this->builder);
}

} // namespace amaranthwind::protocol
