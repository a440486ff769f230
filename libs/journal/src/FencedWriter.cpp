#include "amaranthwind/journal/FencedWriter.h"

#include "amaranthwind/base/AdaptiveTimeout.h"

#include <algorithm>
#include <deque>
#include <iterator>
#include <span>
#include <utility>

namespace amaranthwind::journal {

using base::ErrorCode;
using base::LogOffset;
using base::Result;

namespace {

/**
 * Limit of the keys and values in one append, unless a single write is larger.
 * An append of unlimited size may be refused or may not fit through the link
 * within the time limit, and is then retried without end.
 */
constexpr std::size_t kMaxAppendBytes = 256UL * 1024;
/** Longer than an append can wait in a log that refuses longer queues. */
constexpr base::Duration kAnswerTimeout = std::chrono::milliseconds(4000);
/** Limits of the time after which an unanswered append is repeated. */
constexpr base::Duration kMinRepeatDelay = kAppendTimeout;
constexpr base::Duration kMaxRepeatDelay = std::chrono::milliseconds(3000);

} // namespace

struct FencedWriter::State : std::enable_shared_from_this<State>
{
  State(FencedWriterOptions aOptions,
        const base::Clock& aClock,
        base::Executor& aExecutor,
        KeyedLog& aLog,
        std::function<void()> aOnFenced)
    : options(std::move(aOptions))
    , clock(aClock)
    , executor(aExecutor)
    , log(aLog)
    , onFenced(std::move(aOnFenced))
    , backoff(this->options.backoff)
  {
  }

  struct QueuedWrite
  {
    std::vector<KeyedValue> records;
    std::size_t bytes = 0;
    std::function<void()> callback;
  };
  struct SentAttempt
  {
    std::uint64_t sequence = 0;
    std::uint64_t attempt = 0;
    base::TimePoint at{};
  };
  struct Batch
  {
    std::vector<KeyedValue> records;
    std::vector<std::function<void()>> callbacks;
  };

  void Enqueue(std::vector<KeyedValue> aRecords, std::function<void()> aDone)
  {
    const std::size_t bytes = SizeOf(aRecords);
    this->queuedRecords += aRecords.size();
    this->queue.push_back({ std::move(aRecords), bytes, std::move(aDone) });
    if (!this->isSending) {
      this->SendNext();
    }
  }

  static std::size_t SizeOf(std::span<const KeyedValue> aRecords)
  {
    std::size_t bytes = 0;
    for (const auto& record : aRecords) {
      bytes += record.key.size() + record.value.size();
    }
    return bytes;
  }

  void SendNext()
  {
    if (this->queue.empty()) {
      return;
    }
    std::size_t bytes = 0;
    do {
      QueuedWrite write = std::move(this->queue.front());
      this->queue.pop_front();
      bytes += write.bytes;
      this->queuedRecords -= write.records.size();
      std::move(write.records.begin(),
                write.records.end(),
                std::back_inserter(this->inFlight.records));
      this->inFlight.callbacks.push_back(std::move(write.callback));
    } while (!this->queue.empty() &&
             bytes + this->queue.front().bytes <= kMaxAppendBytes);
    this->isSending = true;
    this->hasFailed = false;
    this->attempt = 0;
    this->sendingSince = this->clock.Now();
    ++this->sequence;
    this->Send();
  }

  void Send()
  {
    AppendConditions conditions;
    conditions.stamp = ProducerStamp{ this->options.producer,
                                      this->options.token.Get(),
                                      this->sequence };
    conditions.timeout = kAnswerTimeout;
    conditions.isRepeat = this->attempt > 0;
    ++this->attempt;
    this->ScheduleRepeat();
    this->log.Append(
      this->options.topic,
      this->inFlight.records,
      conditions,
      [weak = this->weak_from_this(),
       sent = SentAttempt{ this->sequence, this->attempt, this->clock.Now() }](
        auto aResult) {
        if (const auto self = weak.lock()) {
          self->executor.Post([weak, sent, result = std::move(aResult)] {
            if (const auto writer = weak.lock()) {
              writer->OnAppendResult(sent, result);
            }
          });
        }
      });
  }

  /**
   * Repeats the append unless it is answered or sent again before. While the
   * log answers no other request either, it may only be slow, and a repeat
   * would take another turn in it.
   */
  void ScheduleRepeat()
  {
    const base::Duration delay = this->repeatDelay.Limit();
    const base::TimePoint sentAt = this->clock.Now();
    this->RunLater(delay, [delay, sentAt](State& aSelf) {
      if (aSelf.log.AnsweredAsOf() >= sentAt) {
        aSelf.Send();
      } else {
        aSelf.RunLater(delay, [](State& aSlow) { aSlow.Send(); });
      }
    });
  }

  template<typename Task>
  void RunLater(base::Duration aDelay, Task aTask)
  {
    this->executor.RunAfter(aDelay,
                            [weak = this->weak_from_this(),
                             number = this->sequence,
                             expected = this->attempt,
                             task = std::move(aTask)] {
                              const auto self = weak.lock();
                              if (self != nullptr && self->isSending &&
                                  !self->isFenced && self->sequence == number &&
                                  self->attempt == expected) {
                                task(*self);
                              }
                            });
  }

  void OnAppendResult(const SentAttempt& aSent,
                      const Result<LogOffset>& aResult)
  {
    if (!this->isSending || aSent.sequence != this->sequence) {
      // Another attempt of the same append was answered before.
      return;
    }
    if (aResult.has_value()) {
      this->repeatDelay.OnResponse(this->clock.Now() - aSent.at);
      this->backoff.Reset();
      this->isSending = false;
      // A callback may call Write(), which starts the next append.
      const auto callbacks = std::exchange(this->inFlight, {}).callbacks;
      for (const auto& callback : callbacks) {
        callback();
      }
      if (!this->isSending) {
        this->SendNext();
      }
      return;
    }
    if (aResult.error().code == ErrorCode::StaleToken ||
        aResult.error().code == ErrorCode::OutOfRange) {
      // A sequence number out of order means that another process writes with
      // the same token.
      if (!std::exchange(this->isFenced, true)) {
        this->onFenced();
      }
      return;
    }
    this->hasFailed = true;
    if (aSent.attempt == this->attempt) {
      this->RunLater(this->backoff.Next(), [](State& aSelf) { aSelf.Send(); });
    }
  }

  bool IsStalled() const
  {
    return this->isSending &&
           (this->hasFailed ||
            this->clock.Now() - this->sendingSince >
              std::max(this->options.stallTime, this->repeatDelay.Limit()));
  }

  const FencedWriterOptions options;
  const base::Clock& clock;
  base::Executor& executor;
  KeyedLog& log;
  const std::function<void()> onFenced;
  base::Backoff backoff;
  std::deque<QueuedWrite> queue;
  std::size_t queuedRecords = 0;
  Batch inFlight;
  bool isSending = false;
  bool isFenced = false;
  std::uint64_t sequence = 0;
  // Of the append under way.
  base::TimePoint sendingSince{};
  std::uint64_t attempt = 0;
  bool hasFailed = false;
  base::AdaptiveTimeout repeatDelay{ kMinRepeatDelay, kMaxRepeatDelay };
};

FencedWriter::FencedWriter(FencedWriterOptions aOptions,
                           const base::Clock& aClock,
                           base::Executor& aExecutor,
                           KeyedLog& aLog,
                           std::function<void()> aOnFenced)
  : state(std::make_shared<State>(std::move(aOptions),
                                  aClock,
                                  aExecutor,
                                  aLog,
                                  std::move(aOnFenced)))
{
}

FencedWriter::~FencedWriter() = default;

void
FencedWriter::Write(std::vector<KeyedValue> aRecords,
                    std::function<void()> aDone)
{
  this->state->Enqueue(std::move(aRecords), std::move(aDone));
}

std::size_t
FencedWriter::Pending() const noexcept
{
  return this->state->queuedRecords + this->state->inFlight.records.size();
}

bool
FencedWriter::IsStalled() const
{
  return this->state->IsStalled();
}

} // namespace amaranthwind::journal
