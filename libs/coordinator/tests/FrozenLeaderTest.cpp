// What a leader that was frozen can still do when it wakes up after another
// entry has replaced it.

#include "Fleet.h"
#include "OneStepJob.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

using namespace amaranthwind;
using namespace amaranthwind::coordinator;
using namespace amaranthwind::coordinator::testing;
using namespace std::chrono_literals;
using dispatch::EndKind;
using protocol::ConnectionId;

namespace {

/** An agent that does not learn of a new coordinator. It keeps all messages. */
class UninformedAgent final : public protocol::MessageHandler
{
public:
  UninformedAgent(Fleet& aFleet, const std::string& aName)
    : fleet(aFleet)
    , name(aName)
    , port(aFleet.network.MakePorts()(*this))
  {
    (void)this->port->Listen(aName + ":1");
  }

  void Connect(const EntryProcess& aEntry)
  {
    this->connection = this->port->Connect(aEntry.address);
  }
  void Report()
  {
    protocol::AgentReport message{ ++this->sequence, this->token, {} };
    auto& report = message.report;
    report.agent = base::AgentId(this->name);
    report.worker.emplace();
    report.worker->life = { base::TargetId("worker-" + this->name), 1 };
    report.worker->pool = base::PoolId("pool");
    report.worker->capacity = { 64'000, 262'144, 1 };
    report.running = this->running;
    report.ended = this->ended;
    report.receivedOrder = this->receivedOrder;
    this->sentAt[this->sequence] = this->fleet.clock.Now();
    this->port->Send(this->connection, message);
  }
  /** Reports twice a second. */
  void ReportFor(base::Duration aTime)
  {
    for (base::Duration done{}; done < aTime; done += 500ms) {
      this->Report();
      this->fleet.Run(500ms);
    }
  }
  /** The worker runs what was ordered last. */
  void Run()
  {
    REQUIRE_FALSE(this->starts.empty());
    this->running = { { this->starts.back().run, {}, 10, true } };
  }
  void End(EndKind aKind)
  {
    this->ended.push_back(
      { this->ended.size() + 1, this->running.front().run, aKind, {} });
    this->running.clear();
  }

  void OnOpened(ConnectionId, bool, std::string_view) override {}
  void OnClosed(ConnectionId, const base::Error&) override {}
  void OnMessage(ConnectionId aConnection,
                 const protocol::Envelope& aEnvelope) override
  {
    if (aConnection != this->connection) {
      return;
    }
    const auto& message = aEnvelope.message;
    if (const auto* start = std::get_if<protocol::AgentStart>(&message)) {
      this->starts.push_back(*start);
      this->token = start->token;
      this->receivedOrder = start->number;
    } else if (const auto* stop = std::get_if<protocol::AgentStop>(&message)) {
      this->stops.push_back(*stop);
    } else if (const auto* ack = std::get_if<protocol::AgentAck>(&message)) {
      this->acks.push_back(*ack);
    } else if (const auto* grant =
                 std::get_if<protocol::AgentGrant>(&message)) {
      const base::TimePoint end =
        this->sentAt[grant->sequence] + grant->duration;
      this->grantedUntil = std::max(this->grantedUntil, end);
      ++this->grants;
    }
  }

  Fleet& fleet;
  const std::string name;
  std::unique_ptr<protocol::MessagePort> port;
  ConnectionId connection;
  base::FencingToken token;
  dispatch::OrderNumber receivedOrder;
  std::uint64_t sequence = 0;
  std::map<std::uint64_t, base::TimePoint> sentAt;
  std::vector<dispatch::RunningTask> running;
  std::vector<dispatch::EndedTask> ended;
  std::vector<protocol::AgentStart> starts;
  std::vector<protocol::AgentStop> stops;
  std::vector<protocol::AgentAck> acks;
  base::TimePoint grantedUntil{};
  int grants = 0;
};

job::WorkflowSpec
MakeJob(std::uint32_t aTasks)
{
  job::WorkflowSpec spec = testing::MakeOneStepJob("j", aTasks, 60s);
  spec.steps[0].isGang = aTasks > 1;
  return spec;
}

/** A leader that has started a job, and an entry that is ready to lead. */
struct RunningJob
{
  explicit RunningJob(std::uint32_t aTasks)
  {
    this->fleet.Run(3s);
    this->other = &this->fleet.Start("other");
    this->fleet.Run(2s);
    REQUIRE(this->fleet.Holder() == "leader");
    for (std::uint32_t i = 0; i < aTasks; ++i) {
      this->agents.push_back(std::make_unique<UninformedAgent>(
        this->fleet, "vm-" + std::to_string(i)));
      this->agents.back()->Connect(this->leader);
    }
    this->ReportAll();
    this->leader.coordinator->Submit(MakeJob(aTasks), 3s, [](const auto&) {});
    this->fleet.Run(1s);
    for (const auto& agent : this->agents) {
      agent->Run();
    }
    this->ReportAll();
  }
  void ReportAll()
  {
    for (const auto& agent : this->agents) {
      agent->Report();
    }
    this->fleet.Run(300ms);
  }
  /** Runs until the other entry leads, while the agents report. */
  void Replace()
  {
    for (int i = 0; i < 20 && this->fleet.Holder() == "leader"; ++i) {
      this->ReportAll();
    }
    REQUIRE(this->fleet.Holder() == "other");
    this->replacedAt = this->fleet.clock.Now();
  }

  Fleet fleet;
  EntryProcess& leader = fleet.Start("leader");
  EntryProcess* other = nullptr;
  std::vector<std::unique_ptr<UninformedAgent>> agents;
  base::TimePoint replacedAt{};
};

} // namespace

// Guards against an end that the worker forgets because a superseded leader has
// acknowledged it, although its successor does not know it.
TEST_CASE("a leader that was frozen acknowledges no end that is not durable")
{
  RunningJob job(1);
  UninformedAgent& agent = *job.agents.front();
  SUBCASE("that was reported while it was frozen")
  {
    job.leader.Freeze();
    agent.End(EndKind::Done);
    job.Replace();
    job.leader.Thaw();
  }
  SUBCASE("whose record was not sent")
  {
    agent.End(EndKind::Done);
    job.leader.log.dropsJobAppends = true;
    agent.Report();
    job.fleet.Run(100ms);
    job.leader.Freeze();
    job.Replace();
    job.leader.log.dropsJobAppends = false;
    job.leader.Thaw();
  }
  SUBCASE("whose record was not sent, and which was reported again")
  {
    job.leader.log.dropsJobAppends = true;
    agent.End(EndKind::Done);
    agent.Report();
    job.fleet.Run(100ms);
    job.leader.Freeze();
    job.Replace();
    // To the leader, the same end in another report changes nothing any more.
    agent.Report();
    job.leader.log.dropsJobAppends = false;
    job.leader.Thaw();
  }
  SUBCASE("whose record was written without an answer")
  {
    agent.End(EndKind::Done);
    job.fleet.log.losesAnswers = true;
    agent.Report();
    job.fleet.executor.Advance(1ms);
    job.leader.Freeze();
    job.fleet.log.losesAnswers = false;
    job.Replace();
    job.leader.Thaw();
  }
  SUBCASE("that was reported before it hears from the log again")
  {
    job.leader.log.isCut = true;
    job.fleet.network.isCut[job.other->address] = true;
    job.leader.Freeze();
    job.Replace();
    job.leader.Thaw();
    agent.End(EndKind::Done);
    agent.ReportFor(2s);
    CHECK(agent.acks.empty());
    job.leader.log.isCut = false;
    job.fleet.network.isCut[job.other->address] = false;
  }
  agent.ReportFor(2s);
  CHECK(agent.acks.empty());
  CHECK(agent.starts.size() == 1);
  // The successor hears of the end and acknowledges it.
  agent.Connect(*job.other);
  agent.ReportFor(2s);
  CHECK_FALSE(agent.acks.empty());
  agent.ended.clear();
  agent.ReportFor(20s);
  CHECK(agent.starts.size() == 1);
}

// Guards against a lease that outlasts the time after which the successor of a
// frozen leader starts its tasks again.
TEST_CASE("the grants of a leader that was frozen end in time")
{
  const CoordinatorOptions options;
  for (int freeze = 0; freeze < 14; ++freeze) {
    CAPTURE(freeze);
    RunningJob job(1);
    UninformedAgent& agent = *job.agents.front();
    // It hears neither from the log nor from the successor.
    job.leader.log.isCut = true;
    job.fleet.network.isCut[job.other->address] = true;
    job.leader.Freeze();
    job.Replace();
    agent.ReportFor(freeze * 1s);
    agent.grants = 0;
    agent.grantedUntil = {};
    job.leader.Thaw();
    agent.ReportFor(12s);
    CHECK((agent.grants > 5) == (freeze < 6));
    CHECK(agent.grantedUntil <=
          job.replacedAt + options.InheritedGrantDuration());
    CHECK(agent.starts.size() == 1);
  }
}

// Guards against work that is thrown away by a superseded leader: it takes all
// workers for lost, because their reports waited while it was frozen.
TEST_CASE("a leader that was frozen stops nothing once it was replaced")
{
  for (const auto freeze : { 0s, 2s, 4s, 8s, 16s }) {
    CAPTURE(freeze.count());
    RunningJob job(2);
    job.leader.Freeze();
    job.Replace();
    for (base::Duration done{}; done < freeze; done += 300ms) {
      job.ReportAll();
    }
    job.leader.Thaw();
    for (int i = 0; i < 10; ++i) {
      job.ReportAll();
    }
    for (const auto& agent : job.agents) {
      CHECK(agent->stops.empty());
      CHECK(agent->starts.size() == 1);
    }
  }
}
