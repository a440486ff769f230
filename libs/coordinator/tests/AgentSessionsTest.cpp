#include "AgentSessions.h"

#include "Fleet.h"

#include <doctest/doctest.h>

using namespace amaranthwind;
using namespace amaranthwind::coordinator;
using protocol::ConnectionId;

namespace {

/** Records the connections to which messages are sent. */
class RecordingPort final : public protocol::MessagePort
{
public:
  explicit RecordingPort(std::vector<ConnectionId>& aSent)
    : sent(aSent)
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
  void Close(ConnectionId) override {}
  void SetLiveness(ConnectionId,
                   std::chrono::milliseconds,
                   std::chrono::milliseconds) override
  {
  }
  void Stop() override {}

private:
  std::vector<ConnectionId>& sent;
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

  const base::AgentId agent{ "vm" };
  std::vector<ConnectionId> sent;
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
                           return std::make_unique<RecordingPort>(this->sent);
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
