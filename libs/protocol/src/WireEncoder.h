#pragma once

#include "amaranthwind/protocol/Messages.h"
#include "envelope_generated.h"

#include <flatbuffers/flatbuffers.h>

#include <span>
#include <string>
#include <vector>

namespace amaranthwind::protocol {

/** Writes messages to a FlatBuffers builder; one overload per message type. */
class WireEncoder
{
public:
  explicit WireEncoder(flatbuffers::FlatBufferBuilder& aBuilder)
    : builder(aBuilder)
  {
  }

  flatbuffers::Offset<wire::TargetHello> operator()(const TargetHello& aHello);
  flatbuffers::Offset<wire::EntryHello> operator()(const EntryHello& aHello);
  flatbuffers::Offset<wire::Topology> operator()(const Topology& aTopology);
  flatbuffers::Offset<wire::Heartbeat> operator()(const Heartbeat& aBeat);
  flatbuffers::Offset<wire::HeartbeatAck> operator()(const HeartbeatAck& aAck);
  flatbuffers::Offset<wire::Ping> operator()(const Ping& aPing);
  flatbuffers::Offset<wire::Execute> operator()(const Execute& aExecute);
  flatbuffers::Offset<wire::ExecuteReply> operator()(
    const ExecuteReply& aReply);
  flatbuffers::Offset<wire::Claim> operator()(const Claim& aClaim);
  flatbuffers::Offset<wire::ClaimReply> operator()(const ClaimReply& aReply);
  flatbuffers::Offset<wire::ClaimEnded> operator()(const ClaimEnded& aEnded);
  flatbuffers::Offset<wire::Prepare> operator()(const gang::Prepare& aPrepare);
  flatbuffers::Offset<wire::GangStep> operator()(const gang::Commit& aCommit);
  flatbuffers::Offset<wire::GangStep> operator()(const gang::Abort& aAbort);
  flatbuffers::Offset<wire::GangStep> operator()(const gang::StopGang& aStop);
  flatbuffers::Offset<wire::GangStep> operator()(
    const gang::GangEndedAck& aAck);
  flatbuffers::Offset<wire::GangStep> operator()(const gang::Promise& aPromise);
  flatbuffers::Offset<wire::GangStep> operator()(
    const gang::CommitRefused& aRefused);
  flatbuffers::Offset<wire::GangStep> operator()(
    const gang::GangStarted& aStarted);
  flatbuffers::Offset<wire::GangStep> operator()(
    const gang::MemberEnded& aEnded);
  flatbuffers::Offset<wire::GangStep> operator()(const gang::GangEnded& aEnded);
  flatbuffers::Offset<wire::GangStep> operator()(
    const gang::OutcomeQuery& aQuery);
  flatbuffers::Offset<wire::GangStep> operator()(
    const gang::OutcomeReply& aReply);
  flatbuffers::Offset<wire::GangStep> operator()(
    const gang::Committed& aCommitted);
  flatbuffers::Offset<wire::GangStep> operator()(const gang::Release& aRelease);
  flatbuffers::Offset<wire::GangStep> operator()(
    const gang::MemberHeartbeat& aAlive);
  flatbuffers::Offset<wire::GangReport> operator()(const GangReport& aReport);
  flatbuffers::Offset<wire::ForwardJob> operator()(const ForwardJob& aForward);
  flatbuffers::Offset<wire::ForwardJobReply> operator()(
    const ForwardJobReply& aReply);
  flatbuffers::Offset<wire::FetchPolicy> operator()(const FetchPolicy& aFetch);
  flatbuffers::Offset<wire::PolicyReply> operator()(const PolicyReply& aReply);
  flatbuffers::Offset<wire::FetchTopology> operator()(
    const FetchTopology& aFetch);
  flatbuffers::Offset<wire::AgentReport> operator()(const AgentReport& aReport);
  flatbuffers::Offset<wire::AgentReportPart> operator()(
    const AgentReportPart& aPart);
  flatbuffers::Offset<wire::AgentGrant> operator()(const AgentGrant& aGrant);
  flatbuffers::Offset<wire::AgentAck> operator()(const AgentAck& aAck);
  flatbuffers::Offset<wire::AgentStart> operator()(const AgentStart& aStart);
  flatbuffers::Offset<wire::AgentStop> operator()(const AgentStop& aStop);
  flatbuffers::Offset<wire::AgentOutcome> operator()(
    const AgentOutcome& aOutcome);
  flatbuffers::Offset<wire::LeaderNotice> operator()(
    const LeaderNotice& aNotice);
  flatbuffers::Offset<wire::AppendRecord> operator()(
    const AppendRecord& aAppend);
  flatbuffers::Offset<wire::AppendRecordReply> operator()(
    const AppendRecordReply& aReply);

private:
  using StringOffset = flatbuffers::Offset<flatbuffers::String>;
  using BytesOffset = flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>>;
  using MembersOffset = flatbuffers::Offset<
    flatbuffers::Vector<flatbuffers::Offset<wire::GangMember>>>;

  StringOffset String(std::string_view aText);
  BytesOffset Bytes(std::span<const std::byte> aBytes);
  flatbuffers::Offset<wire::Resources> Resources(
    const fleet::Resources& aResources);
  flatbuffers::Offset<wire::EntryInfo> Entry(const EntryInfo& aEntry);
  MembersOffset Members(std::span<const job::GangMemberPlan> aMembers);
  flatbuffers::Offset<wire::AttemptKey> Key(const gang::AttemptKey& aKey);
  flatbuffers::Offset<wire::Fence> Fence(const gang::Fence& aFence);
  flatbuffers::Offset<wire::GangStep> Step(const wire::GangStepT& aStep);

  flatbuffers::FlatBufferBuilder& builder;
};

} // namespace amaranthwind::protocol
