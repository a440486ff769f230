#pragma once

#include "amaranthwind/base/ManualExecutor.h"
#include "amaranthwind/codec/ClaimCodec.h"
#include "amaranthwind/codec/LedgerCodec.h"
#include "amaranthwind/coordinator/Coordinator.h"
#include "amaranthwind/journal/testing/FakeKeyedLog.h"
#include "amaranthwind/membership/LeaderTopic.h"
#include "amaranthwind/protocol/MessagePort.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/** Several coordinators in one process, without threads and sockets. */
namespace amaranthwind::coordinator::testing {

class NullLogSink final : public telemetry::LogSink
{
public:
  bool IsEnabled(telemetry::LogLevel) const noexcept override { return false; }
  void Write(telemetry::LogLevel, std::string_view) noexcept override {}
};

/** A thread that can be frozen, killed or late. */
class FakeThread final : public base::Executor
{
public:
  explicit FakeThread(base::ManualExecutor& aExecutor)
    : executor(aExecutor)
  {
  }
  void Post(std::function<void()> aTask) override
  {
    this->RunAfter(base::Duration::zero(), std::move(aTask));
  }
  void RunAfter(base::Duration aDelay, std::function<void()> aTask) override
  {
    this->executor.RunAfter(aDelay, [this, task = std::move(aTask)]() mutable {
      if (this->lateness > base::Duration::zero()) {
        this->executor.RunAfter(this->lateness, [this, task = std::move(task)] {
          this->RunOrHold(task);
        });
      } else {
        this->RunOrHold(std::move(task));
      }
    });
  }
  void Freeze() { this->isFrozen = true; }
  void Thaw()
  {
    this->isFrozen = false;
    for (auto& task : std::exchange(this->held, {})) {
      this->executor.Post(std::move(task));
    }
  }
  /** Drops all tasks from now on. */
  void Kill() { this->isKilled = true; }

  /** How long each task waits for other work of the thread. */
  base::Duration lateness{};

private:
  void RunOrHold(std::function<void()> aTask)
  {
    if (this->isKilled) {
      return;
    }
    if (this->isFrozen) {
      this->held.push_back(std::move(aTask));
    } else {
      aTask();
    }
  }

  base::ManualExecutor& executor;
  std::vector<std::function<void()>> held;
  bool isFrozen = false;
  bool isKilled = false;
};

/** Access of one process to the log. */
class CuttableLog final : public journal::KeyedLog
{
public:
  explicit CuttableLog(journal::KeyedLog& aLog)
    : log(aLog)
  {
  }
  journal::SizeLimits Limits() const override { return this->log.Limits(); }
  void Append(const journal::KeyedTopic& aTopic,
              std::span<const journal::KeyedValue> aRecords,
              const journal::AppendConditions& aConditions,
              journal::KeyedAppendHandler aHandler) override
  {
    if (this->isCut) {
      aHandler(base::Fail(base::ErrorCode::LogUnavailable));
    } else if (!this->dropsAppends &&
               !(this->dropsJobAppends && aTopic.name == "jobs")) {
      this->log.Append(
        aTopic, aRecords, aConditions, this->Guard(std::move(aHandler)));
    }
  }
  void Read(const journal::KeyedTopic& aTopic,
            base::LogOffset aFrom,
            base::Duration aWait,
            journal::KeyedReadHandler aHandler) override
  {
    if (this->isCut) {
      aHandler(base::Fail(base::ErrorCode::LogUnavailable));
    } else {
      this->log.Read(aTopic, aFrom, aWait, this->Guard(std::move(aHandler)));
    }
  }
  base::TimePoint AnsweredAsOf() const override
  {
    return this->log.AnsweredAsOf();
  }
  void ReadNewest(const journal::KeyedTopic& aTopic,
                  std::string_view aAfterKey,
                  journal::NewestHandler aHandler) override
  {
    if (this->isCut) {
      aHandler(base::Fail(base::ErrorCode::LogUnavailable));
    } else {
      this->log.ReadNewest(aTopic, aAfterKey, this->Guard(std::move(aHandler)));
    }
  }

  bool isCut = false;
  /** Appends have no effect and no answer. */
  bool dropsAppends = false;
  /** As dropsAppends, for the topic of the jobs only. */
  bool dropsJobAppends = false;

private:
  /** Loses answers that arrive while the process is cut off. */
  template<typename T>
  std::function<void(base::Result<T>)> Guard(
    std::function<void(base::Result<T>)> aHandler)
  {
    return [this, handler = std::move(aHandler)](base::Result<T> aResult) {
      if (this->isCut) {
        handler(base::Fail(base::ErrorCode::LogUnavailable));
      } else {
        handler(std::move(aResult));
      }
    };
  }

  journal::KeyedLog& log;
};

/** Connects the ports of all processes. */
class FakeNetwork
{
public:
  explicit FakeNetwork(base::ManualExecutor& aExecutor)
    : executor(aExecutor)
  {
  }

  class Port final : public protocol::MessagePort
  {
  public:
    Port(FakeNetwork& aNetwork, protocol::MessageHandler& aHandler)
      : network(aNetwork)
      , handler(aHandler)
    {
    }
    ~Port() override { this->Stop(); }
    base::Result<std::string> Listen(std::string_view aAddress) override
    {
      this->address = aAddress;
      this->network.ports[this->address] = this;
      return this->address;
    }
    protocol::ConnectionId Connect(std::string_view aAddress) override
    {
      return this->network.Connect(*this, std::string(aAddress));
    }
    void Send(protocol::ConnectionId aConnection,
              const protocol::Message& aMessage) override
    {
      this->network.Send(aConnection, aMessage);
    }
    void Close(protocol::ConnectionId aConnection) override
    {
      this->network.Close(aConnection);
    }
    void SetLiveness(protocol::ConnectionId,
                     std::chrono::milliseconds,
                     std::chrono::milliseconds) override
    {
      // Connections stay open until they are closed.
    }
    void Stop() override
    {
      const auto found = this->network.ports.find(this->address);
      if (found != this->network.ports.end() && found->second == this) {
        this->network.ports.erase(found);
      }
    }

    FakeNetwork& network;
    protocol::MessageHandler& handler;
    std::string address;
  };

  protocol::MessagePortFactory MakePorts()
  {
    return [this](protocol::MessageHandler& aHandler) {
      return std::make_unique<Port>(*this, aHandler);
    };
  }

  /** Addresses that nobody reaches and that reach nobody. */
  std::map<std::string, bool> isCut;
  /** Attempts to connect, by the address of the peer. */
  std::map<std::string, int> attempts;

private:
  struct End
  {
    std::string owner;
    std::string peer;
    protocol::ConnectionId peerId;
  };

  Port* Find(const std::string& aAddress)
  {
    const auto found = this->ports.find(aAddress);
    return found == this->ports.end() || this->isCut[aAddress] ? nullptr
                                                               : found->second;
  }
  protocol::ConnectionId NextId()
  {
    return protocol::ConnectionId(++this->lastId);
  }
  protocol::ConnectionId Connect(Port& aFrom, const std::string& aTo)
  {
    ++this->attempts[aTo];
    const auto from = this->NextId();
    const auto to = this->NextId();
    this->ends[from] = { aFrom.address, aTo, to };
    this->ends[to] = { aTo, aFrom.address, from };
    this->executor.Post([this, from] {
      const End end = this->ends[from];
      Port* owner = this->Find(end.owner);
      Port* peer = this->Find(end.peer);
      if (owner != nullptr && peer != nullptr) {
        peer->handler.OnOpened(end.peerId, true, end.owner);
        owner->handler.OnOpened(from, false, end.peer);
      } else {
        this->Close(from);
      }
    });
    return from;
  }
  void Send(protocol::ConnectionId aConnection,
            const protocol::Message& aMessage)
  {
    this->executor.Post([this, aConnection, aMessage] {
      const auto found = this->ends.find(aConnection);
      if (found == this->ends.end()) {
        return;
      }
      const End end = found->second;
      Port* peer = this->Find(end.peer);
      if (peer != nullptr && this->Find(end.owner) != nullptr) {
        peer->handler.OnMessage(end.peerId, { {}, false, aMessage });
      } else {
        this->Close(aConnection);
      }
    });
  }
  void Close(protocol::ConnectionId aConnection)
  {
    this->executor.Post([this, aConnection] {
      const auto found = this->ends.find(aConnection);
      if (found == this->ends.end()) {
        return;
      }
      const End end = found->second;
      this->ends.erase(found);
      this->ends.erase(end.peerId);
      const base::Error reason{ base::ErrorCode::ConnectionClosed, {} };
      const auto notify = [&](const std::string& aAddress,
                              protocol::ConnectionId aId) {
        const auto port = this->ports.find(aAddress);
        if (port != this->ports.end()) {
          port->second->handler.OnClosed(aId, reason);
        }
      };
      notify(end.owner, aConnection);
      notify(end.peer, end.peerId);
    });
  }

  base::ManualExecutor& executor;
  std::map<std::string, Port*> ports;
  std::map<protocol::ConnectionId, End> ends;
  std::uint64_t lastId = 0;
};

/** One process of a scheduler, running until it is killed. */
class EntryProcess
{
public:
  EntryProcess(const std::string& aName,
               std::uint64_t aIncarnation,
               const base::ManualClock& aClock,
               base::ManualExecutor& aExecutor,
               FakeNetwork& aNetwork,
               journal::KeyedLog& aLog)
    : name(aName)
    , address(aName + ":1")
    , network(aNetwork)
    , decisionThread(aExecutor)
    , heartbeatThread(aExecutor)
    , decisions(decisionThread, aClock)
    , log(aLog)
    , logger(sink, aClock, "coordinator")
  {
    CoordinatorOptions options;
    options.self = base::EntryId(aName);
    options.incarnation = base::Incarnation(aIncarnation);
    options.innerListen = this->address;
    this->coordinator = std::make_unique<Coordinator>(options,
                                                      aClock,
                                                      this->decisions,
                                                      this->heartbeatThread,
                                                      aNetwork.MakePorts(),
                                                      this->log,
                                                      this->codec,
                                                      this->logger,
                                                      this->metrics);
    (void)this->coordinator->Start();
  }

  void Freeze()
  {
    this->decisionThread.Freeze();
    this->heartbeatThread.Freeze();
  }
  void Thaw()
  {
    this->decisionThread.Thaw();
    this->heartbeatThread.Thaw();
  }
  void Kill()
  {
    this->decisionThread.Kill();
    this->heartbeatThread.Kill();
    this->coordinator.reset();
  }
  /** Cuts the process off from the log and from the other entries. */
  void Cut()
  {
    this->log.isCut = true;
    this->network.isCut[this->address] = true;
  }

  const std::string name;
  const std::string address;
  FakeNetwork& network;
  FakeThread decisionThread;
  FakeThread heartbeatThread;
  base::ProgressExecutor decisions;
  CuttableLog log;
  NullLogSink sink;
  telemetry::Logger logger;
  telemetry::Metrics metrics;
  codec::LedgerCodec codec;
  std::unique_ptr<Coordinator> coordinator;
};

class Fleet
{
public:
  Fleet() { this->clock.Advance(std::chrono::hours(1)); }

  EntryProcess& Start(const std::string& aName, std::uint64_t aIncarnation = 1)
  {
    this->processes.push_back(std::make_unique<EntryProcess>(aName,
                                                             aIncarnation,
                                                             this->clock,
                                                             this->executor,
                                                             this->network,
                                                             this->log));
    return *this->processes.back();
  }

  /** Advances the time and lets long-poll reads time out. */
  void Run(base::Duration aTime)
  {
    constexpr base::Duration kStep = std::chrono::milliseconds(100);
    constexpr int kStepsOfRead = 6;
    for (base::Duration done{}; done < aTime; done += kStep) {
      this->executor.Advance(kStep);
      if (++this->steps % kStepsOfRead == 0) {
        this->log.TimeOutWaitingReads();
      }
      this->executor.RunDue();
    }
  }

  /** All claims and resignations so far. */
  std::vector<membership::LeaderClaim> Claims()
  {
    std::vector<membership::LeaderClaim> claims;
    for (const auto& record :
         this->log.PartitionOf({ std::string(membership::kLeaderTopic), 0 })
           .records) {
      claims.push_back(codec::DecodeClaim(record.value).value());
    }
    return claims;
  }
  /** Name of the last entry that claimed the leadership. */
  std::string Holder()
  {
    const auto claims = this->Claims();
    return claims.empty() ? std::string()
                          : std::string(claims.back().holder.View());
  }

  base::ManualClock clock;
  base::ManualExecutor executor{ clock };
  journal::testing::FakeKeyedLog log;
  FakeNetwork network{ executor };

private:
  std::vector<std::unique_ptr<EntryProcess>> processes;
  int steps = 0;
};

/** A coordinator and an entry that forwards to it. */
struct LeaderAndOther
{
  LeaderAndOther()
  {
    this->fleet.Run(std::chrono::seconds(3));
    this->other = &this->fleet.Start("other");
    this->fleet.Run(std::chrono::seconds(2));
  }

  Fleet fleet;
  EntryProcess& leader = fleet.Start("leader");
  EntryProcess* other = nullptr;
};

} // namespace amaranthwind::coordinator::testing
