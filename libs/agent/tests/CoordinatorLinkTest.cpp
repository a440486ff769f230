#include "amaranthwind/agent/CoordinatorLink.h"
#include "amaranthwind/agent/KeyedEndLog.h"

#include "amaranthwind/base/ManualExecutor.h"
#include "amaranthwind/codec/ClaimCodec.h"
#include "amaranthwind/journal/testing/FakeKeyedLog.h"
#include "amaranthwind/membership/LeaderTopic.h"

#include <doctest/doctest.h>

using namespace amaranthwind;
using namespace amaranthwind::agent;
using namespace std::chrono_literals;
using protocol::ConnectionId;

namespace {

class NullLogSink final : public telemetry::LogSink
{
public:
  bool IsEnabled(telemetry::LogLevel) const noexcept override { return false; }
  void Write(telemetry::LogLevel, std::string_view) noexcept override {}
};

class UnusedWorker final : public WorkerPort
{
public:
  void Start(const StartRequest&,
             std::function<void(WorkerRequestReply)>) override
  {
  }
  void Stop(const StopRequest&,
            std::function<void(WorkerRequestReply)>) override
  {
  }
  void Hold(const HoldRequest&,
            std::function<void(base::Result<HoldReply>)>) override
  {
  }
};

/**
 * A coordinator that accepts connections at once. On each of them it answers
 * from a fixed time on, unless the connection was closed before.
 */
class SlowCoordinator
{
public:
  SlowCoordinator(base::ManualExecutor& aExecutor, base::Duration aAnswerTime)
    : executor(aExecutor)
    , answerTime(aAnswerTime)
  {
  }

  protocol::MessagePortFactory MakePorts()
  {
    return [this](protocol::MessageHandler& aHandler) {
      return std::make_unique<Port>(*this, aHandler);
    };
  }

  std::uint64_t connections = 0;
  int answers = 0;

private:
  class Port final : public protocol::MessagePort
  {
  public:
    Port(SlowCoordinator& aOwner, protocol::MessageHandler& aHandler)
      : owner(aOwner)
      , handler(aHandler)
    {
    }
    base::Result<std::string> Listen(std::string_view aAddress) override
    {
      return std::string(aAddress);
    }
    ConnectionId Connect(std::string_view aAddress) override
    {
      const ConnectionId id(++this->owner.connections);
      this->owner.executor.RunAfter(
        1ms, [this, id, address = std::string(aAddress)] {
          this->handler.OnOpened(id, false, address);
        });
      this->owner.executor.RunAfter(this->owner.answerTime, [this, id] {
        if (id.Get() == this->owner.connections && id != this->closed) {
          ++this->owner.answers;
          this->answered = id;
          this->handler.OnMessage(
            id, { protocol::CorrelationId(0), false, protocol::AgentGrant{} });
        }
      });
      return id;
    }
    void Send(ConnectionId, const protocol::Message&) override {}
    void Close(ConnectionId aConnection) override
    {
      this->closed = aConnection;
    }
    void SetLiveness(ConnectionId aConnection,
                     std::chrono::milliseconds,
                     std::chrono::milliseconds aSilenceTimeout) override
    {
      this->owner.executor.RunAfter(aSilenceTimeout, [this, aConnection] {
        if (aConnection != this->answered) {
          this->closed = aConnection;
          this->handler.OnClosed(
            aConnection, { base::ErrorCode::TimedOut, "silent connection" });
        }
      });
    }
    void Stop() override {}

  private:
    SlowCoordinator& owner;
    protocol::MessageHandler& handler;
    ConnectionId closed;
    ConnectionId answered;
  };

  base::ManualExecutor& executor;
  const base::Duration answerTime;
};

} // namespace

// A coordinator that is busy after a takeover answers late; agents that give
// up each connection early keep it busy.
TEST_CASE("an agent waits for a slow coordinator instead of reconnecting")
{
  base::ManualClock clock;
  clock.Advance(1h);
  base::ManualExecutor executor(clock);
  journal::testing::FakeKeyedLog log;
  NullLogSink sink;
  telemetry::Logger logger(sink, clock, "agent");
  SlowCoordinator coordinator(executor, 2500ms);
  UnusedWorker worker;
  CoordinatorLink link(clock, executor, coordinator.MakePorts(), log, logger);
  telemetry::Metrics metrics;
  KeyedEndLog endLog(log);
  EndRecorder endRecorder({}, clock, executor, endLog, logger, metrics);
  WorkerAgent agent({ .id = base::AgentId("vm") },
                    clock,
                    executor,
                    worker,
                    link,
                    endRecorder,
                    logger);
  const journal::KeyedValue claim{
    std::string(membership::kLeaderKey),
    codec::EncodeClaim(
      { base::EntryId("entry"), base::Incarnation(1), "a:1", false, false })
  };
  log.Append({ std::string(membership::kLeaderTopic), 0 },
             std::span(&claim, 1),
             {},
             [](const auto&) {});
  link.Start(agent);
  executor.Advance(20s);
  CHECK(coordinator.answers >= 1);
  CHECK(coordinator.connections <= 3);
}
