#include "EntryDump.h"

#include <array>
#include <string_view>
#include <vector>

namespace amaranthwind::entry {

using telemetry::DumpSource;
using telemetry::DumpWriter;

namespace {

std::string_view
NameOf(membership::TargetState aState)
{
  switch (aState) {
    case membership::TargetState::Announced:
      return "announced";
    case membership::TargetState::Active:
      return "active";
    case membership::TargetState::Suspect:
      return "suspect";
    case membership::TargetState::Draining:
      return "draining";
    case membership::TargetState::Lost:
      return "lost";
    case membership::TargetState::Left:
      return "left";
  }
  return "unknown";
}

std::string_view
NameOf(routing::TargetStatus aStatus)
{
  switch (aStatus) {
    case routing::TargetStatus::Serving:
      return "serving";
    case routing::TargetStatus::Draining:
      return "draining";
    case routing::TargetStatus::Departed:
      return "departed";
  }
  return "unknown";
}

std::string_view
NameOf(routing::Health aHealth)
{
  switch (aHealth) {
    case routing::Health::Healthy:
      return "healthy";
    case routing::Health::Ejected:
      return "ejected";
    case routing::Health::Probation:
      return "probation";
    case routing::Health::Departed:
      return "departed";
  }
  return "unknown";
}

std::string_view
NameOf(journal::JobPhase aPhase)
{
  switch (aPhase) {
    case journal::JobPhase::Queued:
      return "queued";
    case journal::JobPhase::Committed:
      return "committed";
    case journal::JobPhase::Ended:
      return "ended";
  }
  return "unknown";
}

class PolicySection final : public DumpSource
{
public:
  explicit PolicySection(const PolicyKeeper& aPolicy)
    : policy(aPolicy)
  {
  }
  std::string_view DumpName() const noexcept override { return "policy"; }
  void WriteDump(DumpWriter& aWriter) const override
  {
    const policy::Policy current = *this->policy.Current();
    aWriter.Value("version", current.version);
    aWriter.Value("noteOffset", current.nextOffset);
    aWriter.Value("noteId", current.noteId);
    aWriter.Value("isLoaded", this->policy.IsLoaded());
    aWriter.Table("accounts", { "id", "weight", "floorPercent", "guarantees" });
    for (const auto& account : current.accounts) {
      aWriter.Row({ account.id,
                    account.weight,
                    account.floorPercent,
                    account.guarantees.size() });
    }
    aWriter.Table("kinds", { "id", "class", "urgency", "floorPercent" });
    for (const auto& kind : current.kinds) {
      const bool isGang = kind.workClass == policy::WorkClass::Gang;
      aWriter.Row({ kind.id,
                    isGang ? "gang" : "request",
                    kind.urgency,
                    kind.floorPercent });
    }
  }

private:
  const PolicyKeeper& policy;
};

class LogSection final : public DumpSource
{
public:
  explicit LogSection(const EntryComponents& aComponents)
    : components(aComponents)
  {
  }
  std::string_view DumpName() const noexcept override { return "log"; }
  void WriteDump(DumpWriter& aWriter) const override
  {
    aWriter.Value("isReachable", this->components.policy.IsLogReachable());
    aWriter.Table("streams", { "name", "nextOffset", "isLoaded" });
    aWriter.Row({ journal::kNotesStream,
                  this->components.policy.Offset(),
                  this->components.policy.IsLoaded() });
    for (const auto& cell : this->components.cells) {
      const std::string stream = journal::CellStream(cell->Zone());
      aWriter.Row({ std::string_view(stream),
                    cell->Status()->nextOffset,
                    cell->IsLoaded() });
    }
  }

private:
  const EntryComponents components;
};

class EntriesSection final : public DumpSource
{
public:
  explicit EntriesSection(const MembershipService& aMembership)
    : membership(aMembership)
  {
  }
  std::string_view DumpName() const noexcept override { return "entries"; }
  void WriteDump(DumpWriter& aWriter) const override
  {
    const auto status = this->membership.Status();
    aWriter.Value("isReady", this->membership.IsReady());
    aWriter.Value("highestPeerOffset", status->highestPeerOffset);
    aWriter.Table("entries", { "id", "incarnation", "address" });
    for (const auto& entry : status->entries) {
      aWriter.Row(
        { entry.id, entry.incarnation, std::string_view(entry.address) });
    }
    aWriter.Table("coordinators", { "zone", "entry", "token" });
    for (const auto& cell : status->cells) {
      aWriter.Row({ cell.zone, cell.coordinator.id, cell.token });
    }
  }

private:
  const MembershipService& membership;
};

class TargetsSection final : public DumpSource
{
public:
  explicit TargetsSection(const MembershipService& aMembership)
    : membership(aMembership)
  {
  }
  std::string_view DumpName() const noexcept override { return "targets"; }
  void WriteDump(DumpWriter& aWriter) const override
  {
    const auto status = this->membership.Status();
    aWriter.Value("count", status->targets.size());
    aWriter.Table("targets",
                  { "id",
                    "kind",
                    "zone",
                    "rack",
                    "state",
                    "inFlight",
                    "queued",
                    "incarnation",
                    "address" });
    for (const auto& item : status->targets) {
      const bool isWorker = item.target.kind == fleet::TargetKind::Worker;
      aWriter.Row({ item.target.id,
                    isWorker ? "worker" : "executor",
                    item.target.zone,
                    item.target.rack,
                    NameOf(item.state),
                    item.inFlight,
                    item.queued,
                    item.target.incarnation,
                    std::string_view(item.target.address) });
    }
  }

private:
  const MembershipService& membership;
};

class RoutesSection final : public DumpSource
{
public:
  explicit RoutesSection(const MembershipService& aMembership)
    : membership(aMembership)
  {
  }
  std::string_view DumpName() const noexcept override { return "routes"; }
  void WriteDump(DumpWriter& aWriter) const override
  {
    std::uint32_t lostTargets = 0;
    const auto rows = this->CopyRoutes(lostTargets);
    aWriter.Value("lostTargets", lostTargets);
    aWriter.Table("routes",
                  { "id",
                    "status",
                    "health",
                    "inFlight",
                    "limit",
                    "latencyMicros",
                    "successes",
                    "failures" });
    for (const auto& row : rows) {
      aWriter.Row({ row.id,
                    NameOf(row.status),
                    NameOf(row.health),
                    row.inFlight,
                    row.limit,
                    row.latencyMicros,
                    row.successes,
                    row.failures });
    }
  }

private:
  struct RouteRow
  {
    base::TargetId id;
    routing::TargetStatus status = routing::TargetStatus::Departed;
    routing::Health health = routing::Health::Departed;
    std::uint32_t inFlight = 0;
    std::uint32_t limit = 0;
    std::int64_t latencyMicros = 0;
    std::uint64_t successes = 0;
    std::uint64_t failures = 0;
  };

  /** Copies the routes, so that the RCU read section ends before the output. */
  std::vector<RouteRow> CopyRoutes(std::uint32_t& aLostTargets) const
  {
    std::vector<RouteRow> rows;
    const auto routes = this->membership.CurrentRoutes();
    aLostTargets = routes->lostTargets;
    for (const auto& entry : routes->snapshot->Entries()) {
      RouteRow row;
      row.id = entry.id;
      row.status = entry.status;
      if (entry.state != nullptr) {
        row.health = entry.state->CurrentHealth();
        row.inFlight = entry.state->InFlight();
        row.limit = entry.state->Limit();
        row.latencyMicros = entry.state->Latency().count();
        row.successes = entry.state->Successes();
        row.failures = entry.state->Failures();
      }
      rows.push_back(std::move(row));
    }
    return rows;
  }

  const MembershipService& membership;
};

class AdmissionSection final : public DumpSource
{
public:
  explicit AdmissionSection(const RequestService& aRequests)
    : requests(aRequests)
  {
  }
  std::string_view DumpName() const noexcept override { return "admission"; }
  void WriteDump(DumpWriter& aWriter) const override
  {
    aWriter.Value("capacity", this->requests.Capacity());
    aWriter.Value("inUse", this->requests.InUse());
    aWriter.Value("waiting", this->requests.Waiting());
    aWriter.Value("retriesLeft", this->requests.RetriesLeft());
    const auto shares = this->requests.CurrentUse();
    this->WriteUse(aWriter, "accounts", shares.accounts);
    this->WriteUse(aWriter, "kinds", shares.kinds);
  }

private:
  static void WriteUse(DumpWriter& aWriter,
                       std::string_view aName,
                       std::span<const ShareUse> aUse)
  {
    aWriter.Table(aName, { "id", "inUse", "meanServiceMicros" });
    for (const auto& use : aUse) {
      aWriter.Row(
        { std::string_view(use.id), use.inUse, use.meanServiceMicros });
    }
  }

  const RequestService& requests;
};

class RequestsSection final : public DumpSource
{
public:
  explicit RequestsSection(const RequestService& aRequests)
    : requests(aRequests)
  {
  }
  std::string_view DumpName() const noexcept override { return "requests"; }
  void WriteDump(DumpWriter& aWriter) const override
  {
    const auto& counters = this->requests.Counters();
    aWriter.Value("done", counters.done.load());
    aWriter.Value("notRun", counters.notRun.load());
    aWriter.Value("unknown", counters.unknown.load());
    aWriter.Value("retries", counters.retries.load());
    aWriter.Value("queued", counters.queued.load());
  }

private:
  const RequestService& requests;
};

class CellsSection final : public DumpSource
{
public:
  explicit CellsSection(std::span<const std::unique_ptr<CellService>> aCells)
    : cells(aCells)
  {
  }
  std::string_view DumpName() const noexcept override { return "cells"; }
  void WriteDump(DumpWriter& aWriter) const override
  {
    std::vector<std::shared_ptr<const CellStatus>> statuses;
    for (const auto& cell : this->cells) {
      statuses.push_back(cell->Status());
    }
    WriteCells(aWriter, statuses);
    WriteAttempts(aWriter, statuses);
    WriteWorkers(aWriter, statuses);
    WriteJobs(aWriter, statuses);
  }

private:
  using Statuses = std::span<const std::shared_ptr<const CellStatus>>;

  static void WriteCells(DumpWriter& aWriter, Statuses aStatuses)
  {
    aWriter.Table("cells",
                  { "zone",
                    "isCoordinator",
                    "coordinator",
                    "token",
                    "nextOffset",
                    "liveJobs",
                    "attempts",
                    "workers",
                    "accelerators",
                    "freeAccelerators",
                    "guaranteed",
                    "spare",
                    "borrowed",
                    "waitingJobs",
                    "runningJobs" });
    for (const auto& status : aStatuses) {
      aWriter.Row({ status->zone,
                    status->isActing,
                    status->coordinator,
                    status->token,
                    status->nextOffset,
                    status->jobs.size(),
                    status->attempts.size(),
                    status->workers.size(),
                    status->usage.accelerators,
                    status->freeAccelerators,
                    status->usage.guaranteed,
                    status->usage.spare,
                    status->usage.borrowed,
                    status->usage.waitingJobs,
                    status->usage.runningJobs });
    }
  }

  static void WriteAttempts(DumpWriter& aWriter, Statuses aStatuses)
  {
    aWriter.Table("attempts", { "zone", "job", "attempt", "members" });
    for (const auto& status : aStatuses) {
      for (const auto& attempt : status->attempts) {
        aWriter.Row({ status->zone,
                      attempt.gang.job,
                      attempt.gang.attempt,
                      attempt.members });
      }
    }
  }

  static void WriteWorkers(DumpWriter& aWriter, Statuses aStatuses)
  {
    aWriter.Table("workers",
                  { "zone", "id", "rack", "accelerators", "free", "draining" });
    for (const auto& status : aStatuses) {
      for (const auto& worker : status->workers) {
        aWriter.Row({ status->zone,
                      worker.id,
                      worker.rack,
                      worker.accelerators,
                      worker.freeAccelerators,
                      worker.isDraining });
      }
    }
  }

  static void WriteJobs(DumpWriter& aWriter, Statuses aStatuses)
  {
    aWriter.Table("jobs",
                  { "zone",
                    "id",
                    "account",
                    "kind",
                    "phase",
                    "lastAttempt",
                    "runs",
                    "cancelRequested" });
    for (const auto& status : aStatuses) {
      for (const auto& job : status->jobs) {
        aWriter.Row({ status->zone,
                      job.id,
                      job.account,
                      job.kind,
                      NameOf(job.phase),
                      job.lastAttempt,
                      job.runs,
                      job.isCancelRequested });
      }
    }
  }

  const std::span<const std::unique_ptr<CellService>> cells;
};

class LinksSection final : public DumpSource
{
public:
  explicit LinksSection(const peering::EntryLinks& aLinks)
    : links(aLinks)
  {
  }
  std::string_view DumpName() const noexcept override { return "links"; }
  void WriteDump(DumpWriter& aWriter) const override
  {
    aWriter.Table("links", { "entry", "address", "connection" });
    for (const auto& link : this->links.Links()) {
      aWriter.Row({ link.entry.id,
                    std::string_view(link.entry.address),
                    link.connection });
    }
  }

private:
  const peering::EntryLinks& links;
};

class ConnectionsSection final : public DumpSource
{
public:
  explicit ConnectionsSection(const protocol::Node& aNode)
    : node(aNode)
  {
  }
  std::string_view DumpName() const noexcept override { return "connections"; }
  void WriteDump(DumpWriter& aWriter) const override
  {
    const auto counters = this->node.Counters();
    aWriter.Value("open", counters.connections);
    aWriter.Value("framesSent", counters.framesSent);
    aWriter.Value("framesReceived", counters.framesReceived);
    aWriter.Value("bytesSent", counters.bytesSent);
    aWriter.Value("bytesReceived", counters.bytesReceived);
    aWriter.Value("badFrames", counters.badFrames);
    aWriter.Value("lateReplies", counters.lateReplies);
    aWriter.Value("silentConnections", counters.silentConnections);
  }

private:
  const protocol::Node& node;
};

} // namespace

void
AddEntryDump(admin::AdminServer& aServer, const EntryComponents& aComponents)
{
  aServer.AddDump(std::make_shared<PolicySection>(aComponents.policy));
  aServer.AddDump(std::make_shared<LogSection>(aComponents));
  aServer.AddDump(std::make_shared<EntriesSection>(aComponents.membership));
  aServer.AddDump(std::make_shared<TargetsSection>(aComponents.membership));
  aServer.AddDump(std::make_shared<RoutesSection>(aComponents.membership));
  aServer.AddDump(std::make_shared<AdmissionSection>(aComponents.requests));
  aServer.AddDump(std::make_shared<RequestsSection>(aComponents.requests));
  aServer.AddDump(std::make_shared<CellsSection>(aComponents.cells));
  aServer.AddDump(std::make_shared<LinksSection>(aComponents.links));
  aServer.AddDump(std::make_shared<ConnectionsSection>(aComponents.node));
}

} // namespace amaranthwind::entry
