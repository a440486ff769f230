#pragma once

#include "amaranthwind/base/BoundedQueue.h"
#include "amaranthwind/journal/Appender.h"
#include "amaranthwind/telemetry/StandardMetrics.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace amaranthwind::entry {

/** Receives the result of an append and the task, which a retry needs. */
using AppendHandler =
  std::function<void(journal::AppendTask, base::Result<base::LogOffset>)>;

/**
 * Appends records to the log on a thread of its own, in the order of the calls.
 * Keeps decision threads from blocking, since an append takes as long as the
 * log service does.
 */
class LogWriter : private journal::RetryWaiter
{
public:
  /** The references must outlive the writer. */
  LogWriter(journal::LogClient& aLog,
            const journal::RecordCodec& aCodec,
            const base::Clock& aClock,
            const telemetry::AppendMetrics& aMetrics);
  ~LogWriter() override;
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  void Start();
  /** aHandler is called on the writer's thread, but not after Stop(). */
  void Append(journal::AppendTask aTask, AppendHandler aHandler);
  void Stop();

private:
  struct QueuedAppend
  {
    journal::AppendTask task;
    AppendHandler handler;
  };

  bool Wait(base::Duration aTime) override;
  void Run();
  void CountResult(const base::Result<base::LogOffset>& aResult) const;

  const base::Clock& clock;
  const telemetry::AppendMetrics metrics;
  journal::Appender appender;
  base::BoundedQueue<QueuedAppend> queue;
  std::mutex mutex;
  std::condition_variable stopChanged;
  bool isStopped = false;
  std::thread thread;
};

} // namespace amaranthwind::entry
