#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/journal/LogClient.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace amaranthwind::entry {

/** Result of one read of a stream. */
struct StreamRead
{
  base::Result<journal::ReadBatch> batch;
  /** Offset at which the read started. */
  base::LogOffset from;
};

/**
 * Reads a log stream from its start and then polls it for new records, on a
 * thread of its own, since a read may block for as long as the log service
 * does.
 */
class StreamFollower
{
public:
  /** Handles the result of a read; returns the offset of the next read. */
  using ReadHandler = std::function<base::LogOffset(const StreamRead&)>;

  /** aHandler is called on the follower's thread. */
  StreamFollower(journal::LogClient& aLog,
                 std::string aStream,
                 base::Duration aPollInterval,
                 ReadHandler aHandler);
  ~StreamFollower();
  StreamFollower(const StreamFollower&) = delete;
  StreamFollower& operator=(const StreamFollower&) = delete;

  void Start();
  /** Triggers a read without waiting for the poll interval. */
  void Wake();
  void Stop();

private:
  void Run();

  journal::LogClient& log;
  const std::string stream;
  const base::Duration pollInterval;
  const ReadHandler handler;
  std::mutex mutex;
  std::condition_variable wakeCondition;
  bool isWakeRequested = false;
  bool isStopped = false;
  std::thread thread;
};

} // namespace amaranthwind::entry
