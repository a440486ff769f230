#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/journal/LogClient.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace amaranthwind::entry {

/** What one read of a stream gave. */
struct StreamRead
{
  base::Result<journal::ReadBatch> batch;
  /** Offset from which it was read. */
  base::LogOffset from;
};

/**
 * A thread that reads one stream of the log from its start and then polls for
 * new records. A read may block for as long as the log service does.
 */
class StreamFollower
{
public:
  /** Gets each read; returns the offset from which to go on. */
  using Reader = std::function<base::LogOffset(const StreamRead&)>;

  /** aReader runs on the follower's thread. */
  StreamFollower(journal::LogClient& aLog,
                 std::string aStream,
                 base::Duration aPollInterval,
                 Reader aReader);
  ~StreamFollower();
  StreamFollower(const StreamFollower&) = delete;
  StreamFollower& operator=(const StreamFollower&) = delete;

  void Start();
  /** Reads again without waiting for the poll interval. */
  void Wake();
  void Stop();

private:
  void Run();

  journal::LogClient& log;
  const std::string stream;
  const base::Duration pollInterval;
  const Reader reader;
  std::mutex mutex;
  std::condition_variable wakeUp;
  bool isAwake = false;
  bool isStopped = false;
  std::thread thread;
};

} // namespace amaranthwind::entry
