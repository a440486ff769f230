#pragma once

#include "AgentSessions.h"
#include "amaranthwind/base/Backoff.h"
#include "amaranthwind/base/Executor.h"
#include "amaranthwind/journal/KeyedLog.h"
#include "amaranthwind/telemetry/Logger.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthwind::coordinator {

/**
 * Called once with the final state of a record: Durable, NotAppended or
 * Unconfirmed.
 */
using AppendHandler = std::function<void(protocol::AppendState)>;

/**
 * Appends records through the coordinator, which writes them together with its
 * own. A log that takes one append at a time thus serves many entries at the
 * pace of one. Confined to one executor.
 */
class RecordForwarder
{
public:
  RecordForwarder(const base::Clock& aClock,
                  base::Executor& aExecutor,
                  const journal::KeyedLog& aLog,
                  AgentSessions& aSessions,
                  telemetry::Logger& aLogger);
  ~RecordForwarder();
  RecordForwarder(const RecordForwarder&) = delete;
  RecordForwarder& operator=(const RecordForwarder&) = delete;

  /** Address of the coordinator, "IP:port"; empty if it is unknown. */
  void SetCoordinator(std::string_view aAddress);

  /**
   * The result is NotAppended at once if the coordinator cannot be asked, and
   * Unconfirmed if it does not confirm the receipt soon, or the append within
   * the timeout or although the log answers this entry.
   */
  void Forward(journal::KeyedValue aRecord,
               base::Duration aTimeout,
               AppendHandler aHandler);

  void OnReply(protocol::ConnectionId aConnection,
               const protocol::AppendRecordReply& aReply);
  void OnClosed(protocol::ConnectionId aConnection);

private:
  struct Pending
  {
    AppendHandler handler;
    bool isQueued = false;
  };

  void FinishOne(std::uint64_t aNumber, protocol::AppendState aState);
  /** Schedules the checks for a coordinator that does not answer. */
  void ScheduleTimeouts(std::uint64_t aNumber, base::Duration aTimeout);
  /** Drops the connection; what it still has to answer is unconfirmed. */
  void Disconnect();
  /** As Disconnect(); the coordinator is not asked again for some time. */
  void Suspend(std::string_view aReason);
  template<typename Task>
  void RunAfter(base::Duration aDelay, Task aTask);

  const base::Clock& clock;
  base::Executor& executor;
  const journal::KeyedLog& log;
  AgentSessions& sessions;
  telemetry::Logger& logger;
  std::string address;
  std::optional<protocol::ConnectionId> connection;
  std::uint64_t lastNumber = 0;
  std::map<std::uint64_t, Pending> pending;
  base::Backoff backoff;
  base::TimePoint suspendedUntil{};
  /** Disables callbacks that run after destruction. */
  std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

} // namespace amaranthwind::coordinator
