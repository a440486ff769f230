#include "Fleet.h"
#include "OneStepJob.h"

#include <doctest/doctest.h>

#include <memory>
#include <utility>
#include <vector>

using namespace amaranthwind;
using namespace amaranthwind::coordinator;
using namespace std::chrono_literals;
using dispatch::OrderNumber;
using protocol::ConnectionId;

namespace {

const ledger::WorkerIncarnation kIncarnation{ base::TargetId("w"), 1 };

/** An agent that sends what the test tells it and answers nothing. */
class ScriptedAgent final : public protocol::MessageHandler
{
public:
  explicit ScriptedAgent(testing::Fleet& aFleet)
    : port(aFleet.network.MakePorts()(*this))
  {
    (void)this->port->Listen("vm:1");
  }

  void Connect() { this->connection = this->port->Connect("e:1"); }
  void Report(base::FencingToken aToken, OrderNumber aReceived)
  {
    protocol::AgentReport message{ ++this->sequence, aToken, {} };
    message.report.agent = base::AgentId("vm");
    message.report.worker.emplace();
    message.report.worker->life = kIncarnation;
    message.report.worker->pool = base::PoolId("pool");
    message.report.worker->capacity = { 64'000, 262'144, 8 };
    message.report.receivedOrder = aReceived;
    this->port->Send(this->connection, message);
  }

  void OnOpened(ConnectionId, bool, std::string_view) override {}
  void OnClosed(ConnectionId, const base::Error&) override {}
  void OnMessage(ConnectionId aConnection,
                 const protocol::Envelope& aEnvelope) override
  {
    const auto& message = aEnvelope.message;
    if (const auto* start = std::get_if<protocol::AgentStart>(&message)) {
      this->starts.emplace_back(aConnection, *start);
    }
    this->stops += std::holds_alternative<protocol::AgentStop>(message) ? 1 : 0;
    if (std::holds_alternative<protocol::AgentGrant>(message)) {
      this->stopsBeforeLastGrant = this->stops;
    }
  }

  std::unique_ptr<protocol::MessagePort> port;
  ConnectionId connection;
  std::uint64_t sequence = 0;
  std::vector<std::pair<ConnectionId, protocol::AgentStart>> starts;
  int stops = 0;
  int stopsBeforeLastGrant = 0;
};

job::WorkflowSpec
MakeJob()
{
  return testing::MakeOneStepJob("j", 1, 3s);
}

/** An agent that has been ordered to start a task but has not received it. */
struct OrderedStart
{
  OrderedStart(base::FencingToken aToken, OrderNumber aReceived)
  {
    this->entry = &this->fleet.Start("e");
    this->fleet.Run(3s);
    REQUIRE(this->fleet.Claims().size() == 1);
    this->agent.Connect();
    this->agent.Report(aToken, aReceived);
    this->fleet.Run(300ms);
    this->entry->coordinator->Submit(MakeJob(), 3s, [](const auto&) {});
    this->fleet.Run(1s);
    REQUIRE(this->agent.starts.size() == 1);
    CHECK(this->agent.starts[0].second.number == OrderNumber(1));
  }

  testing::Fleet fleet;
  testing::EntryProcess* entry = nullptr;
  ScriptedAgent agent{ fleet };
};

constexpr base::FencingToken kToken(1);

} // namespace

// Guards against stopping a healthy run when an entry leads again and a report
// counts the orders of its former term.
TEST_CASE("a report that counts the orders of another coordinator covers none")
{
  OrderedStart ordered{ base::FencingToken(0), OrderNumber(9) };
  ordered.fleet.Run(3s);
  ordered.agent.Report(base::FencingToken(0), OrderNumber(9));
  ordered.fleet.Run(300ms);
  CHECK(ordered.agent.stops == 0);
  // The agent received the order but does not list the run.
  ordered.agent.Report(kToken, OrderNumber(1));
  ordered.fleet.Run(300ms);
  CHECK(ordered.agent.stops == 1);
}

// Guards against a task that stays placed forever because its order was lost,
// and against one that is ordered on two connections.
TEST_CASE("a lost order is sent on the next connection of the agent only")
{
  OrderedStart ordered{ kToken, OrderNumber(0) };
  ordered.agent.Report(kToken, OrderNumber(0));
  ordered.fleet.Run(300ms);
  CHECK(ordered.agent.starts.size() == 1);
  const ConnectionId former = ordered.agent.connection;
  ordered.agent.Connect();
  ordered.fleet.Run(300ms);
  CHECK(ordered.agent.starts.size() == 1);
  ordered.agent.Report(kToken, OrderNumber(0));
  ordered.fleet.Run(300ms);
  REQUIRE(ordered.agent.starts.size() == 2);
  CHECK(ordered.agent.starts[0].first == former);
  CHECK(ordered.agent.starts[1].first == ordered.agent.connection);
  CHECK(ordered.agent.starts[1].second.run ==
        ordered.agent.starts[0].second.run);
  CHECK(ordered.agent.starts[1].second.number == OrderNumber(2));
  CHECK(ordered.agent.stops == 0);
}

// Guards against a run that a worker begins late, when it has a lease again:
// the process of the agent that sent the start got no answer and was restarted.
TEST_CASE("the start of a run that was given up is ruled out on its worker")
{
  OrderedStart ordered{ kToken, OrderNumber(0) };
  ordered.fleet.Run(7s);
  ordered.agent.Connect();
  ordered.agent.Report(kToken, OrderNumber(0));
  ordered.fleet.Run(300ms);
  CHECK(ordered.agent.stops == 1);
  CHECK(ordered.agent.stopsBeforeLastGrant == 1);
}
