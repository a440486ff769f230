#include "GangServer.h"

#include "amaranthwind/base/ManualClock.h"
#include "amaranthwind/net/IoPool.h"
#include "amaranthwind/telemetry/Metrics.h"

#include <doctest/doctest.h>

#include <future>

using namespace amaranthwind;
using namespace amaranthwind::target;
using namespace std::chrono_literals;

namespace {

/** A worker that refuses every connection immediately. */
class RefusingWorker final : public WorkerClient
{
public:
  void Start(const TaskSpec&, TaskHandler aHandler) override
  {
    aHandler(base::Fail(base::ErrorCode::ConnectFailed, "refused"));
  }
  void Renew(std::string_view,
             std::chrono::milliseconds,
             TaskHandler aHandler) override
  {
    aHandler(base::Fail(base::ErrorCode::ConnectFailed, "refused"));
  }
  void Stop(std::string_view, bool, TaskHandler aHandler) override
  {
    aHandler(base::Fail(base::ErrorCode::ConnectFailed, "refused"));
  }
  void List(TaskListHandler aHandler) override
  {
    ++this->listRequests;
    aHandler(base::Fail(base::ErrorCode::ConnectFailed, "refused"));
  }
  int listRequests = 0;
};

class EmptyEntryDirectory final : public EntryDirectory
{
public:
  std::optional<protocol::ConnectionId> CoordinatorOf(
    const base::ZoneId&) const override
  {
    return std::nullopt;
  }
  std::optional<protocol::ConnectionId> NextEntry() override
  {
    return std::nullopt;
  }
};

class DiscardingMessageHandler final : public protocol::MessageHandler
{
public:
  void OnOpened(protocol::ConnectionId, bool, std::string_view) override {}
  void OnMessage(protocol::ConnectionId, const protocol::Envelope&) override {}
  void OnClosed(protocol::ConnectionId, const base::Error&) override {}
};

class NullLogSink final : public telemetry::LogSink
{
public:
  bool IsEnabled(telemetry::LogLevel) const noexcept override { return false; }
  void Write(telemetry::LogLevel, std::string_view) noexcept override {}
};

} // namespace

// Guards against a daemon that keeps a whole core busy while its worker is down
// and refuses connections.
TEST_CASE(
  "listing tasks is retried at a bounded rate if connections are refused")
{
  base::ManualClock clock;
  base::EventLoop loop(64);
  net::IoPool pool(1);
  DiscardingMessageHandler handler;
  protocol::Node node(pool, {}, handler);
  RefusingWorker worker;
  EmptyEntryDirectory entries;
  NullLogSink sink;
  telemetry::Logger logger(sink, clock, "target");
  telemetry::Metrics metrics;
  GangServer server(base::TargetId("w"),
                    base::ZoneId("z"),
                    {},
                    clock,
                    loop,
                    node,
                    worker,
                    entries,
                    telemetry::TargetMetrics(metrics),
                    logger);
  loop.Start();
  const auto runOnLoop = [&](std::function<void()> aTask) {
    std::promise<void> done;
    loop.Post([&] {
      aTask();
      done.set_value();
    });
    done.get_future().get();
  };
  runOnLoop([&] { server.Start([] {}); });
  for (int tick = 0; tick < 1200; ++tick) {
    clock.Advance(50ms);
    runOnLoop([&] { server.OnTick(); });
    runOnLoop([] {});
  }
  runOnLoop([&] {
    CHECK(worker.listRequests >= 25);
    CHECK(worker.listRequests <= 70);
  });
  loop.Stop();
  node.Stop();
  pool.Stop();
}
