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

/** Connections to entries, as the gang server needs them. */
class EntryDirectory
{
public:
  virtual ~EntryDirectory() = default;
  /** The entry that coordinates a cell, if it is known and linked. */
  virtual std::optional<protocol::ConnectionId> CoordinatorOf(
    const base::ZoneId& aCell) const = 0;
  /** Each call names another linked entry in turn. */
  virtual std::optional<protocol::ConnectionId> NextEntry() = 0;
};

/**
 * Carries out what gang::GangMember decides: sends its messages and runs its
 * tasks on the local worker. All functions run on the daemon's event loop.
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

  /** Adopts the tasks that a former daemon left; then calls aReady. */
  void Start(std::function<void()> aReady);

  /** A message of the coordinator or of a peer. */
  void OnMessage(protocol::ConnectionId aConnection,
                 const gang::MemberEvent& aEvent);
  void OnClosed(protocol::ConnectionId aConnection);
  void OnTick();

  /** What a new coordinator has to know. */
  std::vector<protocol::HeldGang> HeldGangs() const;

  void Drain();
  /** The daemon ends; tasks that run are left to the next one. */
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
    /** The worker has confirmed that it runs. */
    bool isStarted = false;
    bool isStopping = false;
    base::TimePoint stoppedAt{};
  };

  void Handle(const gang::MemberEvent& aEvent,
              std::optional<protocol::ConnectionId> aSender);
  void CarryOut(const gang::SendToCoordinator& aEffect);
  void CarryOut(const gang::SendToPeer& aEffect);
  void CarryOut(const gang::QueryOutcome& aEffect);
  void CarryOut(const gang::StartTask& aEffect);
  void CarryOut(const gang::RenewLease& aEffect);
  void CarryOut(const gang::StopTask& aEffect);
  void OnStartResult(const gang::AttemptKey& aKey,
                     const base::Result<void>& aResult);
  void OnTaskList(const std::vector<WorkerTask>& aTasks);
  void ListTasks();
  void PollTasks();
  void Adopt(std::span<const WorkerTask> aTasks);
  void EndTask(const gang::AttemptKey& aKey, TaskState aState);
  std::optional<protocol::ConnectionId> CoordinatorOf(
    const base::ZoneId& aCell) const;
  protocol::ConnectionId PeerConnection(const std::string& aAddress);

  const base::ZoneId cell;
  const base::Clock& clock;
  base::EventLoop& loop;
  protocol::Node& node;
  WorkerClient& client;
  EntryDirectory& entries;
  const telemetry::TargetMetrics metrics;
  telemetry::Logger& logger;
  gang::GangMember member;
  /** Sender of the event that is being handled. */
  std::optional<protocol::ConnectionId> sender;
  /** The event that is being handled is a Tick: a stop is due to silence. */
  bool isTick = false;
  std::map<gang::AttemptKey, Task> tasks;
  std::map<std::string, protocol::ConnectionId> peers;
  /** Whence the newest fenced message of a cell came. */
  struct Coordinator
  {
    base::FencingToken token;
    protocol::ConnectionId connection;
  };
  std::map<base::ZoneId, Coordinator> coordinators;
  /** Called once the worker has listed its tasks. */
  std::function<void()> ready;
  base::Backoff listBackoff;
  std::optional<base::TimePoint> nextListing;
  bool isPolling = false;
  base::TimePoint nextPoll{};
};

} // namespace amaranthwind::target
