#pragma once

#include "TargetStatus.h"
#include "amaranthwind/base/Backoff.h"
#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/EventLoop.h"
#include "amaranthwind/gang/GangMember.h"
#include "amaranthwind/protocol/Node.h"
#include "amaranthwind/target/WorkerClient.h"
#include "amaranthwind/telemetry/Logger.h"
#include "amaranthwind/telemetry/StandardMetrics.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace amaranthwind::target {

/** Looks up connections to entries for the gang server. */
class EntryDirectory
{
public:
  virtual ~EntryDirectory() = default;
  /** Returns the coordinator of a cell, if it is known and connected. */
  virtual std::optional<protocol::ConnectionId> CoordinatorOf(
    const base::ZoneId& aCell) const = 0;
  /** Returns the next connected entry, in round-robin order. */
  virtual std::optional<protocol::ConnectionId> NextEntry() = 0;
};

/**
 * Applies the effects that gang::GangMember decides on: sends its messages and
 * runs its tasks on the local worker. Confined to the daemon's event loop.
 */
class GangServer
{
public:
  GangServer(const base::TargetId& aWorker,
             const base::ZoneId& aCell,
             const fleet::Resources& aCapacity,
             const base::Clock& aClock,
             base::EventLoop& aLoop,
             protocol::Node& aNode,
             WorkerClient& aClient,
             EntryDirectory& aEntries,
             const telemetry::TargetMetrics& aMetrics,
             telemetry::Logger& aLogger);

  /** Adopts the running tasks of a previous daemon, then calls aReady. */
  void Start(std::function<void()> aReady);

  /** Handles a message from the coordinator or from a peer. */
  void OnMessage(protocol::ConnectionId aConnection,
                 const gang::MemberEvent& aEvent);
  void OnClosed(protocol::ConnectionId aConnection);
  void OnTick();

  /** Returns the gangs to report to a new coordinator. */
  std::vector<protocol::HeldGang> HeldGangs() const;

  void Drain();
  /** Leaves the running tasks to the next daemon, before a shutdown. */
  void HandOver();
  bool IsIdle() const { return this->member.IsIdle(); }
  GangStatus Status() const;
  std::uint32_t GangCount() const
  {
    return static_cast<std::uint32_t>(this->member.Status().size());
  }

private:
  struct Task
  {
    std::string id;
    std::shared_ptr<const job::GangPlan> plan;
    gang::Rank rank = 0;
    /** Whether the worker has confirmed the start. */
    bool isStarted = false;
    bool isStopping = false;
    base::TimePoint stopRequestedAt{};
  };

  void Handle(const gang::MemberEvent& aEvent,
              std::optional<protocol::ConnectionId> aSender);
  void Apply(const gang::SendToCoordinator& aEffect);
  void Apply(const gang::SendToPeer& aEffect);
  void Apply(const gang::QueryOutcome& aEffect);
  void Apply(const gang::StartTask& aEffect);
  void Apply(const gang::RenewLease& aEffect);
  void Apply(const gang::StopTask& aEffect);
  void OnStartResult(const gang::AttemptKey& aKey,
                     const base::Result<void>& aResult);
  void OnTaskList(const std::vector<WorkerTask>& aTasks);
  void ListTasks();
  void PollTasks();
  void AdoptTasks(std::span<const WorkerTask> aTasks);
  void EndTask(const gang::AttemptKey& aKey, TaskState aState);
  std::optional<protocol::ConnectionId> CoordinatorOf(
    const base::ZoneId& aCell) const;
  /** Returns the existing connection, or opens one. */
  protocol::ConnectionId ConnectToPeer(const std::string& aAddress);

  const base::ZoneId cell;
  const base::Clock& clock;
  base::EventLoop& loop;
  protocol::Node& node;
  WorkerClient& client;
  EntryDirectory& entries;
  const telemetry::TargetMetrics metrics;
  telemetry::Logger& logger;
  gang::GangMember member;
  /** Sender of the event that is being handled; unset for local events. */
  std::optional<protocol::ConnectionId> currentSender;
  /** Whether a Tick is being handled: a stop is then due to silence. */
  bool isHandlingTick = false;
  std::map<gang::AttemptKey, Task> tasks;
  std::map<std::string, protocol::ConnectionId> peerConnections;
  /** Sender of the fenced message with the highest token, for one cell. */
  struct Coordinator
  {
    base::FencingToken token;
    protocol::ConnectionId connection;
  };
  std::map<base::ZoneId, Coordinator> coordinators;
  /** Called once the worker has listed its tasks. */
  std::function<void()> readyHandler;
  /** Whether the tasks of the previous daemon are known. */
  bool hasAdoptedTasks = false;
  base::Backoff listBackoff;
  std::optional<base::TimePoint> nextListAttempt;
  bool isPollingTasks = false;
  base::TimePoint nextTaskPoll{};
};

} // namespace amaranthwind::target
