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

/** Result of one append; the task keeps what a further try needs. */
using AppendHandler =
  std::function<void(journal::AppendTask, base::Result<base::LogOffset>)>;

/**
 * A thread that appends records in the order in which they were handed over.
 * A decision thread uses it, since an append blocks for as long as the log
 * service does.
 */
class LogWriter : private journal::Waiter
{
public:
  /** The arguments must outlive the writer. */
  LogWriter(journal::LogClient& aLog,
            const journal::RecordCodec& aCodec,
            const base::Clock& aClock,
            const telemetry::AppendMetrics& aMetrics);
  ~LogWriter() override;
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  void Start();
  /** aHandler runs on the writer's thread; not called after Stop(). */
  void Append(journal::AppendTask aTask, AppendHandler aHandler);
  void Stop();

private:
  struct Item
  {
    journal::AppendTask task;
    AppendHandler handler;
  };

  bool Wait(base::Duration aTime) override;
  void Run();
  void Count(const base::Result<base::LogOffset>& aResult) const;

  const base::Clock& clock;
  const telemetry::AppendMetrics metrics;
  journal::Appender appender;
  base::BoundedQueue<Item> queue;
  std::mutex mutex;
  std::condition_variable stopChanged;
  bool isStopped = false;
  std::thread thread;
};

} // namespace amaranthwind::entry
