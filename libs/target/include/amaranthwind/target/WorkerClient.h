#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Result.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthwind::target {

enum class TaskState : std::uint8_t
{
  Running,
  Succeeded,
  Failed,
  Stopped,
  Expired, // The lease was not renewed in time.
};

/** A task in the worker's task list. */
struct WorkerTask
{
  std::string id;
  TaskState state = TaskState::Running;
  std::uint32_t accelerators = 0;
  /** The label that was passed when the task was started. */
  std::string label;
  /** Time until the worker ends the task if its lease is not renewed. */
  std::chrono::milliseconds leaseLeft{};
};

/** Parameters of a task to start. */
struct TaskSpec
{
  std::string id;
  std::uint32_t accelerators = 0;
  std::string payload;
  /** Stored by the worker, so that a restarted daemon can adopt the task. */
  std::string label;
  /** The worker ends the task if the lease is not renewed within this time. */
  std::chrono::milliseconds lease{};
};

using TaskHandler = std::function<void(base::Result<void>)>;
using TaskListHandler =
  std::function<void(base::Result<std::vector<WorkerTask>>)>;

/**
 * Client of the local worker. Thread-safe; handlers are called once, on any
 * thread. Errors: TargetFailed (error response; subject: its status), TimedOut,
 * ConnectFailed, ConnectionClosed, Malformed.
 */
class WorkerClient
{
public:
  virtual ~WorkerClient() = default;
  virtual void Start(const TaskSpec& aTask, TaskHandler aHandler) = 0;
  virtual void Renew(std::string_view aId,
                     std::chrono::milliseconds aLease,
                     TaskHandler aHandler) = 0;
  virtual void Stop(std::string_view aId,
                    bool aWithCheckpoint,
                    TaskHandler aHandler) = 0;
  virtual void List(TaskListHandler aHandler) = 0;
};

} // namespace amaranthwind::target
