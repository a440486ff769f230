#include "GangServer.h"

#include "amaranthwind/base/ManualClock.h"
#include "amaranthwind/net/IoPool.h"
#include "amaranthwind/telemetry/Metrics.h"

#include <doctest/doctest.h>

#include <condition_variable>
#include <future>
#include <mutex>
#include <vector>

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

/** A worker without tasks that lists them only when it is told to. */
class SlowWorker final : public WorkerClient
{
public:
  void Start(const TaskSpec&, TaskHandler) override {}
  void Renew(std::string_view, std::chrono::milliseconds, TaskHandler) override
  {
  }
  void Stop(std::string_view, bool, TaskHandler) override {}
  void List(TaskListHandler aHandler) override
  {
    this->handler = std::move(aHandler);
  }
  void AnswerList() { this->handler(std::vector<WorkerTask>{}); }

private:
  TaskListHandler handler;
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

/** Records the connection and the gangs that are told to stop. */
class RecordingMessageHandler final : public protocol::MessageHandler
{
public:
  void OnOpened(protocol::ConnectionId aConnection,
                bool,
                std::string_view) override
  {
    this->connection.set_value(aConnection);
  }
  void OnMessage(protocol::ConnectionId,
                 const protocol::Envelope& aEnvelope) override
  {
    if (const auto* stop = std::get_if<gang::StopGang>(&aEnvelope.message)) {
      std::lock_guard lock(this->mutex);
      this->stopped.push_back(stop->key);
      this->changed.notify_all();
    }
  }
  void OnClosed(protocol::ConnectionId, const base::Error&) override {}

  std::vector<gang::AttemptKey> WaitForStops()
  {
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, 20s, [&] { return !this->stopped.empty(); });
    return this->stopped;
  }

  std::promise<protocol::ConnectionId> connection;

private:
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<gang::AttemptKey> stopped;
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

// Guards against stopping a running gang: a restarted daemon was asked by a
// member before it knew the tasks that its predecessor had started, and replied
// that the gang does not exist.
TEST_CASE("a gang is not stopped before the tasks of the worker are known")
{
  base::ManualClock clock;
  base::EventLoop loop(64);
  net::IoPool pool(1);
  RecordingMessageHandler handler;
  RecordingMessageHandler memberHandler;
  protocol::Node node(pool, {}, handler);
  protocol::Node member(pool, {}, memberHandler);
  SlowWorker worker;
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
  member.Connect(node.Listen("127.0.0.1:0").value());
  const auto connection = handler.connection.get_future().get();
  loop.Start();
  const auto runOnLoop = [&](std::function<void()> aTask) {
    std::promise<void> done;
    loop.Post([&] {
      aTask();
      done.set_value();
    });
    done.get_future().get();
  };
  const auto makeHeartbeat = [](std::string_view aJob) {
    gang::MemberHeartbeat heartbeat;
    heartbeat.key.gang = { base::JobId(aJob), base::Attempt(1) };
    heartbeat.rank = 1;
    heartbeat.phase = gang::MemberPhase::Running;
    return heartbeat;
  };
  runOnLoop([&] {
    server.Start([] {});
    server.OnMessage(connection, makeHeartbeat("early"));
  });
  worker.AnswerList();
  runOnLoop([&] { server.OnMessage(connection, makeHeartbeat("late")); });
  const auto stopped = memberHandler.WaitForStops();
  REQUIRE(!stopped.empty());
  CHECK(stopped.front() == makeHeartbeat("late").key);
  loop.Stop();
  member.Stop();
  node.Stop();
  pool.Stop();
}
