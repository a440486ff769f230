#include "AgentSessions.h"

#include "Fleet.h"

#include <doctest/doctest.h>

#include <set>
#include <string_view>
#include <vector>

using namespace amaranthwind;
using namespace amaranthwind::coordinator;
using protocol::ConnectionId;

namespace {

/** Records the connections to which messages are sent, and that are closed. */
class RecordingPort final : public protocol::MessagePort
{
public:
  RecordingPort(std::vector<ConnectionId>& aSent,
                std::vector<ConnectionId>& aClosed)
    : sent(aSent)
    , closed(aClosed)
  {
  }
  base::Result<std::string> Listen(std::string_view aAddress) override
  {
    return std::string(aAddress);
  }
  ConnectionId Connect(std::string_view) override { return {}; }
  void Send(ConnectionId aConnection, const protocol::Message&) override
  {
    this->sent.push_back(aConnection);
  }
  void Close(ConnectionId aConnection) override
  {
    this->closed.push_back(aConnection);
  }
  void SetLiveness(ConnectionId,
                   std::chrono::milliseconds,
                   std::chrono::milliseconds) override
  {
  }
  void Stop() override {}

private:
  std::vector<ConnectionId>& sent;
  std::vector<ConnectionId>& closed;
};

struct Sessions final : SessionObserver
{
  void OnReport(ConnectionId aConnection,
                const protocol::AgentReport& aReport,
                base::TimePoint) override
  {
    this->reported.push_back(aConnection);
    this->listed = aReport.report.running.size();
  }
  void OnOutcome(ConnectionId,
                 const base::AgentId&,
                 const protocol::AgentOutcome&) override
  {
  }
  void OnLeaderNotice(ConnectionId, const protocol::LeaderNotice&) override {}
  void OnAppendRecord(ConnectionId, const protocol::AppendRecord&) override {}
  void OnAppendReply(ConnectionId, const protocol::AppendRecordReply&) override
  {
  }
  void OnClosed(ConnectionId) override {}
  void OnBatchHandled() override {}

  /** A part of the report of the agent's only run arrives. */
  void ReportPart(ConnectionId aConnection)
  {
    const job::TaskRun run{ { { base::JobId("j"), 0, 0 }, 0 }, 1 };
    this->sessions.OnMessage(
      aConnection,
      { {},
        false,
        protocol::AgentReportPart{ 1, { { run, {}, 0 } }, {}, {} } });
    this->executor.RunDue();
  }
  /** The rest of the report, after the given number of parts, arrives. */
  void ReportRest(ConnectionId aConnection, std::uint32_t aParts)
  {
    protocol::AgentReport report;
    report.sequence = 1;
    report.report.agent = this->agent;
    report.parts = aParts;
    this->sessions.OnMessage(aConnection, { {}, false, report });
    this->executor.RunDue();
  }
  /** The agent's report arrives on the connection. */
  void Report(ConnectionId aConnection)
  {
    protocol::AgentReport report;
    report.report.agent = this->agent;
    this->sessions.OnMessage(aConnection, { {}, false, report });
    this->executor.RunDue();
  }

  /** A report arrives while the executor is busy. */
  void QueueReport(ConnectionId aConnection,
                   std::string_view aAgent,
                   std::size_t aBytes)
  {
    protocol::AgentReport report;
    report.report.agent = base::AgentId(aAgent);
    report.report.worker.emplace();
    this->sessions.OnMessage(aConnection, { {}, false, report, aBytes });
  }

  const base::AgentId agent{ "vm" };
  std::vector<ConnectionId> sent;
  std::vector<ConnectionId> closed;
  std::vector<ConnectionId> reported;
  /** Number of running tasks in the last report. */
  std::size_t listed = 0;
  base::ManualClock clock;
  base::ManualExecutor executor{ clock };
  testing::NullLogSink sink;
  telemetry::Logger logger{ sink, clock, "coordinator" };
  telemetry::Metrics metrics;
  LoadMonitor load{ clock, logger, metrics };
  AgentSessions sessions{ [this](protocol::MessageHandler&) {
                           return std::make_unique<RecordingPort>(this->sent,
                                                                  this->closed);
                         },
                          clock,
                          executor,
                          logger,
                          load,
                          *this };
};

using Connections = std::vector<ConnectionId>;

} // namespace

// Guards against orders to a closed connection and against judging tasks by old
// reports: a scheduler short of processor time reads an agent's earlier
// connection after its newer one.
TEST_CASE("a report on an earlier connection of the agent is ignored")
{
  Sessions sessions;
  const ConnectionId earlier(1);
  const ConnectionId newer(2);
  sessions.Report(newer);
  sessions.Report(earlier);
  CHECK(sessions.reported == Connections{ newer });
  sessions.sessions.Send(sessions.agent, protocol::AgentAck{});
  CHECK(sessions.sent == Connections{ newer });
  // The agent connects anew after its connection has closed.
  sessions.sessions.OnClosed(newer, { base::ErrorCode::ConnectionClosed, {} });
  sessions.Report(ConnectionId(3));
  CHECK(sessions.reported.size() == 2);
}

// Guards against stopping the runs of a report that did not arrive as a whole.
TEST_CASE("a report in parts counts only if all of them have arrived")
{
  Sessions sessions;
  const ConnectionId connection(1);
  sessions.ReportPart(connection);
  sessions.ReportPart(connection);
  CHECK(sessions.reported.empty());
  SUBCASE("all parts")
  {
    sessions.ReportRest(connection, 2);
    CHECK(sessions.reported == Connections{ connection });
    CHECK(sessions.listed == 2);
  }
  SUBCASE("a part is missing")
  {
    sessions.ReportRest(connection, 3);
    CHECK(sessions.reported.empty());
  }
  SUBCASE("the parts came on an earlier connection")
  {
    sessions.sessions.OnClosed(connection,
                               { base::ErrorCode::ConnectionClosed, {} });
    sessions.ReportRest(connection, 2);
    sessions.ReportRest(ConnectionId(2), 2);
    CHECK(sessions.reported.empty());
  }
  sessions.Report(ConnectionId(3));
  CHECK(sessions.reported.size() > 0);
  CHECK(sessions.listed == 0);
}

// Guards against parts that are kept without limit because the report that ends
// them never comes.
TEST_CASE("a report of more runs than a worker can have ends its connection")
{
  Sessions sessions;
  const ConnectionId connection(1);
  for (std::size_t i = 0; i <= protocol::kMaxReportRuns; ++i) {
    sessions.ReportPart(connection);
  }
  CHECK(sessions.closed == Connections{ connection });
  sessions.ReportPart(ConnectionId(2));
  sessions.ReportRest(ConnectionId(2), 1);
  CHECK(sessions.reported == Connections{ ConnectionId(2) });
}

// Guards against messages that wait without limit, and against disconnecting
// agents whose outdated reports fill the queue after a pause.
TEST_CASE("the peer that sends most is disconnected if too much waits")
{
  Sessions sessions;
  constexpr std::size_t kReportBytes = std::size_t{ 512 } * 1024;
  constexpr int kReports = 20;
  for (int i = 0; i < kReports; ++i) {
    sessions.QueueReport(ConnectionId(1), "vm-1", kReportBytes);
    sessions.QueueReport(ConnectionId(2), "vm-2", kReportBytes);
  }
  CHECK(sessions.closed.empty());
  protocol::AppendRecord record{ 1, "key", "value" };
  for (int i = 0; i < kReports; ++i) {
    sessions.sessions.OnMessage(ConnectionId(3),
                                { {}, false, record, kReportBytes });
  }
  REQUIRE_FALSE(sessions.closed.empty());
  CHECK(std::set(sessions.closed.begin(), sessions.closed.end()) ==
        std::set{ ConnectionId(3) });
  sessions.executor.RunDue();
  CHECK(std::set(sessions.reported.begin(), sessions.reported.end()) ==
        std::set{ ConnectionId(1), ConnectionId(2) });
}

// Guards against names of agents that are kept although their connection, which
// sent any number of them, has closed.
TEST_CASE("a connection is that of one agent")
{
  Sessions sessions;
  sessions.QueueReport(ConnectionId(1), "vm-1", 0);
  sessions.executor.RunDue();
  sessions.QueueReport(ConnectionId(1), "vm-2", 0);
  sessions.executor.RunDue();
  CHECK(sessions.closed == Connections{ ConnectionId(1) });
  CHECK(sessions.reported.size() == 1);
  CHECK(sessions.sessions.Size() == 1);
}
