#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Error.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/dispatch/WorkerReport.h"
#include "amaranthwind/fleet/Target.h"
#include "amaranthwind/gang/Messages.h"
#include "amaranthwind/job/GangPlan.h"
#include "amaranthwind/requests/IdempotencyTable.h"

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
  base::LogOffset noteOffset;
  bool operator==(const TargetHello&) const = default;
};

/** An entry announces itself to another one; answered with Topology. */
struct EntryHello
{
  EntryInfo entry;
  base::Incarnation incarnation;
  base::LogOffset noteOffset;
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
  base::LogOffset noteOffset;
  std::chrono::milliseconds heartbeatInterval{};
  std::vector<EntryInfo> entries;
  std::vector<CellInfo> cells;
  bool operator==(const Topology&) const = default;
};

struct Heartbeat
{
  base::LogOffset noteOffset;
  std::uint32_t inFlight = 0;
  std::uint32_t queued = 0;
  bool isDraining = false;
  bool operator==(const Heartbeat&) const = default;
};

struct HeartbeatAck
{
  base::LogOffset noteOffset;
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
  /** Inner address of the key's witness; empty if there is none. */
  std::string witnessAddress;
  /** Targets that left or restarted within the key window. */
  std::uint32_t lostTargets = 0;
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

/** Owner of a key to its witness, before the request runs. */
struct Claim
{
  requests::Claim claim;
};

/** Answer of the witness. */
struct ClaimReply
{
  requests::ClaimReply reply;
};

/** Owner to witness: the claimed request has run, or never will. */
struct ClaimEnded
{
  requests::RequestKey key;
  bool hasRun = false;
  /** Only if it has run. */
  requests::StoredResponse answer;
  bool operator==(const ClaimEnded&) const = default;
};

/** A gang as one member holds it. */
struct HeldGang
{
  job::GangPlan plan;
  gang::Rank rank = 0;
  gang::MemberPhase phase = gang::MemberPhase::Promised;
  bool operator==(const HeldGang&) const = default;
};

/** All gangs that a worker holds; sent to each new coordinator of its cell. */
struct GangReport
{
  base::ZoneId cell;
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
  base::LogOffset noteOffset;
  /** The policy as a JSON document. */
  std::string document;
  bool operator==(const PolicyReply&) const = default;
};

/** A worker's daemon to the coordinator; answered with AgentGrant. */
struct AgentReport
{
  /** Rises with each report of one process. */
  std::uint64_t sequence = 0;
  /** Highest token that the daemon knows of. */
  base::FencingToken token;
  dispatch::WorkerReport report;
  bool operator==(const AgentReport&) const = default;
};

/**
 * The daemon may keep tasks running for this long, counted from the moment at
 * which it sent the report with the same sequence number.
 */
struct AgentGrant
{
  std::uint64_t sequence = 0;
  base::FencingToken token;
  std::chrono::milliseconds duration{};
  bool operator==(const AgentGrant&) const = default;
};

/** The ends of a worker up to a number are durable. */
struct AgentAck
{
  ledger::WorkerIncarnation life;
  std::uint64_t number = 0;
  bool operator==(const AgentAck&) const = default;
};

/** Orders the start of a run; answered with AgentOutcome. */
struct AgentStart
{
  base::FencingToken token;
  ledger::WorkerIncarnation life;
  job::TaskRun run;
  std::string payload;
  /** Progress to resume from; empty if there is none. */
  std::string checkpoint;
  bool operator==(const AgentStart&) const = default;
};

/** Orders the end of a run; answered by its end or by AgentOutcome. */
struct AgentStop
{
  base::FencingToken token;
  ledger::WorkerIncarnation life;
  job::TaskRun run;
  bool operator==(const AgentStop&) const = default;
};

struct AgentOutcome
{
  ledger::WorkerIncarnation life;
  job::TaskRun run;
  dispatch::OrderOutcome outcome = dispatch::OrderOutcome::Refused;
  bool operator==(const AgentOutcome&) const = default;
};

/** There is a coordinator with this token at this address. */
struct LeaderNotice
{
  base::FencingToken token;
  std::string address;
  bool operator==(const LeaderNotice&) const = default;
};

using Message = std::variant<TargetHello,
                             EntryHello,
                             FetchTopology,
                             Topology,
                             Heartbeat,
                             HeartbeatAck,
                             Ping,
                             Execute,
                             ExecuteReply,
                             Claim,
                             ClaimReply,
                             ClaimEnded,
                             gang::Prepare,
                             gang::Commit,
                             gang::Abort,
                             gang::StopGang,
                             gang::GangEndedAck,
                             gang::Promise,
                             gang::CommitRefused,
                             gang::GangStarted,
                             gang::MemberEnded,
                             gang::GangEnded,
                             gang::OutcomeQuery,
                             gang::OutcomeReply,
                             gang::Committed,
                             gang::Release,
                             gang::MemberHeartbeat,
                             GangReport,
                             ForwardJob,
                             ForwardJobReply,
                             FetchPolicy,
                             PolicyReply,
                             AgentReport,
                             AgentGrant,
                             AgentAck,
                             AgentStart,
                             AgentStop,
                             AgentOutcome,
                             LeaderNotice>;

/** Matches a reply to its call on one connection; 0: no reply expected. */
using CorrelationId = base::StrongNumber<struct CorrelationTag>;

struct Envelope
{
  CorrelationId correlation;
  bool isReply = false;
  Message message;
};

} // namespace amaranthwind::protocol
