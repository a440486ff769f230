#include "StreamFollower.h"

#include "amaranthwind/journal/StreamReplay.h"

#include <utility>

namespace amaranthwind::entry {

StreamFollower::StreamFollower(journal::LogClient& aLog,
                               std::string aStream,
                               base::Duration aPollInterval,
                               ReadHandler aHandler)
  : log(aLog)
  , stream(std::move(aStream))
  , pollInterval(aPollInterval)
  , handler(std::move(aHandler))
{
}

StreamFollower::~StreamFollower()
{
  this->Stop();
}

void
StreamFollower::Start()
{
  this->thread = std::thread([this] { this->Run(); });
}

void
StreamFollower::Wake()
{
  {
    std::lock_guard lock(this->mutex);
    this->isWakeRequested = true;
  }
  this->wakeCondition.notify_all();
}

void
StreamFollower::Stop()
{
  {
    std::lock_guard lock(this->mutex);
    this->isStopped = true;
  }
  this->wakeCondition.notify_all();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void
StreamFollower::Run()
{
  base::LogOffset next;
  while (true) {
    StreamRead read{
      this->log.Read(this->stream, next, journal::kReadBatchSize), next
    };
    const base::LogOffset from = next;
    next = this->handler(read);
    const bool hasMore = read.batch.has_value() &&
                         !read.batch.value().records.empty() &&
                         next < read.batch.value().end;
    const bool hasSkipped = read.batch.has_error() && next != from;
    std::unique_lock lock(this->mutex);
    if (!hasMore && !hasSkipped) {
      this->wakeCondition.wait_for(lock, this->pollInterval, [this] {
        return this->isStopped || this->isWakeRequested;
      });
    }
    this->isWakeRequested = false;
    if (this->isStopped) {
      return;
    }
  }
}

} // namespace amaranthwind::entry
