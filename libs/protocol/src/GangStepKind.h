#pragma once

#include <cstdint>

namespace amaranthwind::protocol {

/** Which step of the gang protocol a wire::GangStep carries. */
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
