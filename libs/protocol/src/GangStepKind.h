#pragma once

#include <cstdint>

namespace amaranthwind::protocol {

/** The gang protocol message in a wire::GangStep; values are on the wire. */
enum class GangStepKind : std::uint8_t
{
  Commit,
  Abort,
  StopGang,
  GangEndedAck,
  Promise,
  CommitRefused,
  GangStarted,
  MemberEnded,
  GangEnded,
  OutcomeQuery,
  OutcomeReply,
  Committed,
  Release,
  MemberHeartbeat,
};

} // namespace amaranthwind::protocol
