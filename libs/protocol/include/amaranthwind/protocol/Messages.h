#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Error.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/fleet/Target.h"
#include "amaranthwind/job/GangPlan.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace amaranthwind::protocol {

struct EntryInfo
{
  base::EntryId id;
  /** Where it listens for the inner protocol, "IP:port". */
  std::string address;
  bool operator==(const EntryInfo&) const = default;
};

/** Which entry coordinates a cell. */
struct CellInfo
{
  base::ZoneId zone;
  EntryInfo coordinator;
  base::FencingToken token;
  bool operator==(const CellInfo&) const = default;
};

/** A target announces itself to an entry; answered with Topology. */
struct TargetHello
{
  fleet::Target target;
  base::PolicyVersion policyVersion;
  bool operator==(const TargetHello&) const = default;
};

/** An entry announces itself to another one; answered with Topology. */
struct EntryHello
{
  EntryInfo entry;
  base::Incarnation incarnation;
  base::PolicyVersion policyVersion;
  bool isDraining = false;
  bool operator==(const EntryHello&) const = default;
};

/** Asks an entry for its Topology; does not announce the sender. */
struct FetchTopology
{
  bool operator==(const FetchTopology&) const = default;
};

/** What an entry knows of the entries and coordinators; sent on change. */
struct Topology
{
  base::EntryId sender;
  base::PolicyVersion policyVersion;
  std::chrono::milliseconds heartbeatInterval{};
  std::vector<EntryInfo> entries;
  std::vector<CellInfo> cells;
  bool operator==(const Topology&) const = default;
};

struct Heartbeat
{
  base::PolicyVersion policyVersion;
  std::uint32_t inFlight = 0;
  std::uint32_t queued = 0;
  bool isDraining = false;
  bool operator==(const Heartbeat&) const = default;
};

struct HeartbeatAck
{
  base::PolicyVersion policyVersion;
  std::chrono::milliseconds heartbeatInterval{};
  bool operator==(const HeartbeatAck&) const = default;
};

/** Keeps an idle connection known to both ends. */
struct Ping
{
  bool operator==(const Ping&) const = default;
};

/** A short request, from an entry to an executor's daemon. */
struct Execute
{
  base::AccountId account;
  base::CallerId caller;
  base::WorkKindId kind;
  /** Empty if the caller gave none. */
  base::IdempotencyKey key;
  /** 0 if the caller states that it never sent the request before. */
  std::uint32_t retryAttempt = 0;
  bool isIdempotent = false;
  /** Time left when it was sent. */
  std::chrono::milliseconds deadline{};
  std::vector<std::byte> body;
  bool operator==(const Execute&) const = default;
};

enum class ExecuteOutcome : std::uint8_t
{
  Done,
  NotRun,  // It did not run and will not run.
  Unknown, // It may have run.
};

struct ExecuteReply
{
  ExecuteOutcome outcome = ExecuteOutcome::Unknown;
  /** HTTP status of the executor, if Done. */
  std::uint16_t status = 0;
  /** Why, unless Done. */
  base::Error error;
  std::chrono::milliseconds retryAfter{};
  std::vector<std::byte> body;
  bool operator==(const ExecuteReply&) const = default;
};

/** Asks a witness to remember that aOwner is about to run the request. */
struct Claim
{
  base::IdempotencyKey key;
  base::TargetId owner;
  std::uint64_t fingerprint = 0;
  std::uint32_t retryAttempt = 0;
  bool operator==(const Claim&) const = default;
};

enum class ClaimVerdict : std::uint8_t
{
  Recorded,       // The owner may run it.
  ClaimedByOther, // Another target may have run it.
  CannotVouch,    // The witness is too young to know of earlier claims.
  Refused,        // No room, or draining.
};

struct ClaimReply
{
  ClaimVerdict verdict = ClaimVerdict::Refused;
  bool operator==(const ClaimReply&) const = default;
};

/** Asks a worker's daemon to reserve its part of a gang. */
struct Prepare
{
  base::ZoneId zone;
  job::GangPlan plan;
  std::uint32_t rank = 0;
  bool operator==(const Prepare&) const = default;
};

enum class GangSignalKind : std::uint8_t
{
  Promise,      // Member to coordinator; flag: accepted.
  Commit,       // Coordinator to member.
  Abort,        // Coordinator to member.
  Committed,    // Member to first rank.
  Release,      // First rank to member.
  Started,      // First rank to coordinator.
  MemberAlive,  // Both ways between member and first rank.
  MemberEnded,  // Member to first rank; flag: success.
  Stop,         // To a member; flag: checkpoint first.
  QueryOutcome, // Member to any entry.
  Outcome,      // Entry to member.
};

/** What is known of an attempt that was prepared. */
enum class AttemptStatus : std::uint8_t
{
  Unknown,
  Undecided,
  Committed,
  Aborted,
};

/** A step of the gang protocol other than Prepare. */
struct GangSignal
{
  GangSignalKind kind = GangSignalKind::Promise;
  base::ZoneId zone;
  job::GangId gang;
  base::FencingToken token;
  std::uint32_t rank = 0;
  bool flag = false;
  /** Why a promise was refused, a member failed or a gang is stopped. */
  base::Error error;
  AttemptStatus outcome = AttemptStatus::Unknown;
  bool operator==(const GangSignal&) const = default;
};

struct MemberResult
{
  std::uint32_t rank = 0;
  bool isSuccess = false;
  base::Error error;
  bool operator==(const MemberResult&) const = default;
};

enum class GangEndOutcome : std::uint8_t
{
  Succeeded,
  Failed,
  Preempted,
  NotRun,
};

/** First rank to coordinator. */
struct GangEnded
{
  base::ZoneId zone;
  job::GangId gang;
  GangEndOutcome outcome = GangEndOutcome::Failed;
  std::vector<MemberResult> members;
  bool operator==(const GangEnded&) const = default;
};

/** Where an attempt stands on one member. */
enum class HeldPhase : std::uint8_t
{
  Promised,
  Committed,
  Running,
  Ended,
};

struct HeldGang
{
  job::GangPlan plan;
  std::uint32_t rank = 0;
  HeldPhase phase = HeldPhase::Promised;
  bool operator==(const HeldGang&) const = default;
};

/** All gangs of a worker; sent to each new coordinator of its cell. */
struct GangReport
{
  base::ZoneId zone;
  std::vector<HeldGang> gangs;
  bool operator==(const GangReport&) const = default;
};

/** A caller's job request, from the entry that got it to the coordinator. */
struct ForwardJob
{
  std::string method;
  std::string path;
  base::AccountId account;
  base::CallerId caller;
  std::string body;
  bool operator==(const ForwardJob&) const = default;
};

/** The answer for the caller. */
struct ForwardJobReply
{
  std::uint16_t status = 0;
  std::chrono::milliseconds retryAfter{};
  std::string body;
  bool operator==(const ForwardJobReply&) const = default;
};

struct FetchPolicy
{
  bool operator==(const FetchPolicy&) const = default;
};

struct PolicyReply
{
  base::PolicyVersion policyVersion;
  /** The policy as a JSON document. */
  std::string document;
  bool operator==(const PolicyReply&) const = default;
};

using Message = std::variant<TargetHello,
                             EntryHello,
                             Topology,
                             Heartbeat,
                             HeartbeatAck,
                             Ping,
                             Execute,
                             ExecuteReply,
                             Claim,
                             ClaimReply,
                             Prepare,
                             GangSignal,
                             GangEnded,
                             GangReport,
                             ForwardJob,
                             ForwardJobReply,
                             FetchPolicy,
                             PolicyReply,
                             FetchTopology>;

/** Matches a reply to its call on one connection; 0: no reply expected. */
using CorrelationId = base::StrongNumber<struct CorrelationTag>;

struct Envelope
{
  CorrelationId correlation;
  bool isReply = false;
  Message message;
  bool operator==(const Envelope&) const = default;
};

} // namespace amaranthwind::protocol
