#include "LogWriter.h"

#include <utility>

namespace amaranthwind::entry {

using namespace std::chrono_literals;

namespace {

// Far above the number of appends that a coordinator can have pending.
constexpr std::size_t kQueueCapacity = 1U << 20U;
constexpr base::Duration kIdleWait = 1s;

// Gives up early: the decision thread has its own timeouts, and a long series
// of retries would delay the records queued behind.
constexpr journal::AppendLimits kAppendLimits{ .firstDelay = 50ms,
                                               .maxDelay = 500ms,
                                               .giveUpAfter = 2s };

} // namespace

LogWriter::LogWriter(journal::LogClient& aLog,
                     const journal::RecordCodec& aCodec,
                     const base::Clock& aClock,
                     const telemetry::AppendMetrics& aMetrics)
  : clock(aClock)
  , metrics(aMetrics)
  , appender(aLog, aCodec, aClock, *this, kAppendLimits)
  , queue(kQueueCapacity)
{
}

LogWriter::~LogWriter()
{
  this->Stop();
}

void
LogWriter::Start()
{
  this->thread = std::thread([this] { this->Run(); });
}

void
LogWriter::Append(journal::AppendTask aTask, AppendHandler aHandler)
{
  this->queue.TryPush({ std::move(aTask), std::move(aHandler) });
}

void
LogWriter::Stop()
{
  {
    std::lock_guard lock(this->mutex);
    this->isStopped = true;
  }
  this->stopChanged.notify_all();
  this->queue.Close();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

bool
LogWriter::Wait(base::Duration aTime)
{
  std::unique_lock lock(this->mutex);
  return !this->stopChanged.wait_for(
    lock, aTime, [this] { return this->isStopped; });
}

void
LogWriter::CountResult(const base::Result<base::LogOffset>& aResult) const
{
  using telemetry::AppendResult;
  if (aResult.has_value()) {
    this->metrics.Appends(AppendResult::Appended).Increment();
  } else if (aResult.error().code == base::ErrorCode::AppendUnconfirmed) {
    this->metrics.Appends(AppendResult::Unconfirmed).Increment();
  } else if (aResult.error().code == base::ErrorCode::LogUnavailable) {
    this->metrics.Appends(AppendResult::Unavailable).Increment();
  }
}

void
LogWriter::Run()
{
  while (true) {
    auto item = this->queue.PopFor(kIdleWait);
    {
      std::lock_guard lock(this->mutex);
      if (this->isStopped) {
        return;
      }
    }
    if (item) {
      const auto start = this->clock.Now();
      auto result = this->appender.Append(item->task);
      this->metrics.appendTime.Observe(this->clock.Now() - start);
      this->CountResult(result);
      item->handler(std::move(item->task), std::move(result));
    }
  }
}

} // namespace amaranthwind::entry
