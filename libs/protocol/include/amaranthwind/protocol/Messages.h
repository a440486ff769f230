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
  /** Listening address for the internal protocol, "IP:port". */
  std::string address;
  bool operator==(const EntryInfo&) const = default;
};

/** The coordinator of a cell and its fencing token. */
struct CellInfo
{
  base::ZoneId zone;
  EntryInfo coordinator;
  base::FencingToken token;
  bool operator==(const CellInfo&) const = default;
};

/** Registers a target with an entry; the reply is Topology. */
struct TargetHello
{
  fleet::Target target;
  base::LogOffset noteOffset;
  bool operator==(const TargetHello&) const = default;
};

/** Introduces an entry to another entry; the reply is Topology. */
struct EntryHello
{
  EntryInfo entry;
  base::Incarnation incarnation;
  base::LogOffset noteOffset;
  bool isDraining = false;
  bool operator==(const EntryHello&) const = default;
};

/** Requests the Topology of an entry without registering the sender. */
struct FetchTopology
{
  bool operator==(const FetchTopology&) const = default;
};

/** An entry's view of all entries and coordinators; sent on each change. */
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

/** Keep-alive message for an idle connection. */
struct Ping
{
  bool operator==(const Ping&) const = default;
};

/** A short request, sent by an entry to the daemon of an executor. */
struct Execute
{
  base::AccountId account;
  base::CallerId caller;
  base::WorkKindId kind;
  /** Empty if the caller did not set one. */
  base::IdempotencyKey key;
  /** 0 if the caller declares this to be the first attempt. */
  std::uint32_t retryAttempt = 0;
  bool isIdempotent = false;
  /** Time remaining when the message was sent. */
  std::chrono::milliseconds deadline{};
  /** Internal-protocol address of the key's witness; empty if none. */
  std::string witnessAddress;
  /** Number of targets that left or restarted within the key window. */
  std::uint32_t lostTargets = 0;
  std::vector<std::byte> body;
  bool operator==(const Execute&) const = default;
};

enum class ExecuteOutcome : std::uint8_t
{
  Done,
  NotRun,  // The request did not run and will not run.
  Unknown, // The request may have run.
};

struct ExecuteReply
{
  ExecuteOutcome outcome = ExecuteOutcome::Unknown;
  /** HTTP status returned by the executor, if Done. */
  std::uint16_t status = 0;
  /** Reason, unless Done. */
  base::Error error;
  std::chrono::milliseconds retryAfter{};
  std::vector<std::byte> body;
  bool operator==(const ExecuteReply&) const = default;
};

/** Sent by the owner of a key to its witness before the request runs. */
struct Claim
{
  requests::Claim claim;
};

/** Reply of the witness to Claim. */
struct ClaimReply
{
  requests::ClaimReply reply;
};

/** Tells the witness that the claimed request has run or will never run. */
struct ClaimEnded
{
  requests::RequestKey key;
  bool hasRun = false;
  /** Valid only if hasRun. */
  requests::StoredResponse answer;
  bool operator==(const ClaimEnded&) const = default;
};

/** The state of a gang on one of its members. */
struct HeldGang
{
  job::GangPlan plan;
  gang::Rank rank = 0;
  gang::MemberPhase phase = gang::MemberPhase::Promised;
  bool operator==(const HeldGang&) const = default;
};

/** All gangs of a worker; sent to each new coordinator of its cell. */
struct GangReport
{
  base::ZoneId cell;
  std::vector<HeldGang> gangs;
  bool operator==(const GangReport&) const = default;
};

/** A caller's job request, forwarded by the receiving entry to a coordinator.
 */
struct ForwardJob
{
  std::string method;
  std::string path;
  base::AccountId account;
  base::CallerId caller;
  std::string body;
  bool operator==(const ForwardJob&) const = default;
};

/** The response to return to the caller. */
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

/** Report of a worker's daemon to the coordinator; the reply is AgentGrant. */
struct AgentReport
{
  /** Increases with each report of one process. */
  std::uint64_t sequence = 0;
  /** Highest fencing token that the daemon has seen. */
  base::FencingToken token;
  dispatch::WorkerReport report;
  /** Number of AgentReportPart messages that precede it. */
  std::uint32_t parts = 0;
  bool operator==(const AgentReport&) const = default;
};

/**
 * Runs of a report that is too large for one message. It precedes the
 * AgentReport with the same sequence number on the same connection; without
 * that, it says nothing of the runs that it does not list.
 */
struct AgentReportPart
{
  std::uint64_t sequence = 0;
  std::vector<dispatch::RunningTask> running;
  std::vector<dispatch::EndedTask> ended;
  std::vector<dispatch::PastEnd> pastEnds;
  bool operator==(const AgentReportPart&) const = default;
};

/**
 * Lease to keep tasks running. The duration counts from the time at which the
 * daemon sent the report with the same sequence number.
 */
struct AgentGrant
{
  std::uint64_t sequence = 0;
  base::FencingToken token;
  std::chrono::milliseconds duration{};
  bool operator==(const AgentGrant&) const = default;
};

/** Task ends of a worker up to and including this number are durable. */
struct AgentAck
{
  ledger::WorkerIncarnation life;
  std::uint64_t number = 0;
  bool operator==(const AgentAck&) const = default;
};

/** Requests the start of a run; the reply is AgentOutcome. */
struct AgentStart
{
  base::FencingToken token;
  ledger::WorkerIncarnation life;
  job::TaskRun run;
  std::string payload;
  /** Progress to resume from; empty if there is none. */
  std::string checkpoint;
  /** 0 from a coordinator that does not number its orders. */
  dispatch::OrderNumber number;
  dispatch::StartValidity validity;
  bool operator==(const AgentStart&) const = default;
};

/** Requests the stop of a run, confirmed by its end or by AgentOutcome. */
struct AgentStop
{
  base::FencingToken token;
  ledger::WorkerIncarnation life;
  job::TaskRun run;
  /** 0 from a coordinator that does not number its orders. */
  dispatch::OrderNumber number;
  bool operator==(const AgentStop&) const = default;
};

struct AgentOutcome
{
  ledger::WorkerIncarnation life;
  job::TaskRun run;
  dispatch::OrderOutcome outcome = dispatch::OrderOutcome::Refused;
  bool operator==(const AgentOutcome&) const = default;
};

/** Announces the address and fencing token of a coordinator. */
struct LeaderNotice
{
  base::FencingToken token;
  std::string address;
  bool operator==(const LeaderNotice&) const = default;
};

/** Asks the coordinator to append a record together with its own. */
struct AppendRecord
{
  /** Distinguishes the requests on one connection. */
  std::uint64_t number = 0;
  std::string key;
  std::string value;
  bool operator==(const AppendRecord&) const = default;
};

enum class AppendState : std::uint8_t
{
  Queued, // Another reply follows.
  Durable,
  NotAppended, // The record is not in the log and will not be appended.
  Unconfirmed, // The record may be in the log, or be appended later.
};

struct AppendRecordReply
{
  std::uint64_t number = 0;
  AppendState state = AppendState::Unconfirmed;
  bool operator==(const AppendRecordReply&) const = default;
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
                             LeaderNotice,
                             AppendRecord,
                             AppendRecordReply,
                             AgentReportPart>;

/** Matches replies to calls on one connection; 0 if no reply is expected. */
using CorrelationId = base::StrongNumber<struct CorrelationTag>;

struct Envelope
{
  CorrelationId correlation;
  bool isReply = false;
  Message message;
  /** Size of the frame that it was decoded from; 0 if there was none. */
  std::size_t frameBytes = 0;
};

} // namespace amaranthwind::protocol
