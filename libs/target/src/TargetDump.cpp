#include "TargetDump.h"

#include <memory>
#include <string_view>

namespace amaranthwind::target {

using telemetry::DumpSource;
using telemetry::DumpWriter;

namespace {

std::string_view
NameOf(gang::MemberPhase aPhase)
{
  switch (aPhase) {
    case gang::MemberPhase::Promised:
      return "promised";
    case gang::MemberPhase::Committed:
      return "committed";
    case gang::MemberPhase::Starting:
      return "starting";
    case gang::MemberPhase::Running:
      return "running";
    case gang::MemberPhase::Stopping:
      return "stopping";
    case gang::MemberPhase::Ended:
      return "ended";
    case gang::MemberPhase::Aborted:
      return "aborted";
  }
  return "unknown";
}

class TargetSection final : public DumpSource
{
public:
  explicit TargetSection(const TargetParts& aParts)
    : parts(aParts)
  {
  }
  std::string_view DumpName() const noexcept override { return "target"; }
  void WriteDump(DumpWriter& aWriter) const override
  {
    const auto status = this->parts.status.Get();
    const auto& target = status->target;
    const bool isWorker = target.kind == fleet::TargetKind::Worker;
    aWriter.Value("id", target.id);
    aWriter.Value("kind", isWorker ? "worker" : "executor");
    aWriter.Value("zone", target.zone);
    aWriter.Value("rack", target.rack);
    aWriter.Value("address", std::string_view(target.address));
    aWriter.Value("incarnation", target.incarnation);
    aWriter.Value("slots", target.slots);
    aWriter.Value("accelerators", target.resources.accelerators);
    aWriter.Value("noteOffset", this->parts.noteOffset.load());
    aWriter.Value("isDraining", status->isDraining);
    aWriter.Value("heartbeatMs", status->heartbeatInterval.count());
  }

private:
  const TargetParts parts;
};

class LinksSection final : public DumpSource
{
public:
  explicit LinksSection(const TargetParts& aParts)
    : parts(aParts)
  {
  }
  std::string_view DumpName() const noexcept override { return "links"; }
  void WriteDump(DumpWriter& aWriter) const override
  {
    const auto counters = this->parts.node.Counters();
    aWriter.Value("openConnections", counters.connections);
    aWriter.Value("bytesSent", counters.bytesSent);
    aWriter.Value("bytesReceived", counters.bytesReceived);
    aWriter.Value("lateReplies", counters.lateReplies);
    aWriter.Value("silentConnections", counters.silentConnections);
    aWriter.Table("links", { "entry", "address", "connection" });
    for (const auto& link : this->parts.links.Links()) {
      aWriter.Row({ link.entry.id,
                    std::string_view(link.entry.address),
                    link.connection });
    }
  }

private:
  const TargetParts parts;
};

class RequestsSection final : public DumpSource
{
public:
  explicit RequestsSection(const TargetParts& aParts)
    : parts(aParts)
  {
  }
  std::string_view DumpName() const noexcept override { return "requests"; }
  void WriteDump(DumpWriter& aWriter) const override
  {
    const auto status = this->parts.status.Get();
    const auto& requests = status->requests;
    aWriter.Value("running", requests.running);
    aWriter.Value("queued", requests.queued);
    aWriter.Value("claiming", requests.claiming);
    aWriter.Value("keys", requests.keys);
    aWriter.Value("ledgerBytes", requests.ledgerBytes);
  }

private:
  const TargetParts parts;
};

class GangsSection final : public DumpSource
{
public:
  explicit GangsSection(const TargetParts& aParts)
    : parts(aParts)
  {
  }
  std::string_view DumpName() const noexcept override { return "gangs"; }
  void WriteDump(DumpWriter& aWriter) const override
  {
    const auto status = this->parts.status.Get();
    aWriter.Table("gangs",
                  { "job", "attempt", "rank", "phase", "accelerators" });
    for (const auto& held : status->gangs.gangs) {
      aWriter.Row({ held.key.gang.job,
                    held.key.gang.attempt,
                    held.rank,
                    NameOf(held.phase),
                    held.reserved.accelerators });
    }
    aWriter.Table("tasks",
                  { "id", "job", "attempt", "rank", "started", "stopping" });
    for (const auto& task : status->gangs.tasks) {
      aWriter.Row({ std::string_view(task.id),
                    task.key.gang.job,
                    task.key.gang.attempt,
                    task.rank,
                    task.isStarted,
                    task.isStopping });
    }
  }

private:
  const TargetParts parts;
};

} // namespace

void
AddTargetDump(admin::AdminServer& aServer, const TargetParts& aParts)
{
  aServer.AddDump(std::make_shared<TargetSection>(aParts));
  aServer.AddDump(std::make_shared<LinksSection>(aParts));
  if (aParts.status.Get()->target.kind == fleet::TargetKind::Worker) {
    aServer.AddDump(std::make_shared<GangsSection>(aParts));
  } else {
    aServer.AddDump(std::make_shared<RequestsSection>(aParts));
  }
}

} // namespace amaranthwind::target
