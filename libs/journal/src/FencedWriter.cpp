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
 * Limit of the size of an append of several records. An append of unlimited
 * size may be refused or may not fit through the link within the time limit,
 * and is then retried without end.
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
    , maxAppendBytes(std::min(kMaxAppendBytes, aLog.Limits().appendBytes))
  {
  }

  struct SentAttempt
  {
    /** As State::appendNumber. */
    std::uint64_t append = 0;
    std::uint64_t attempt = 0;
    base::TimePoint at{};
  };

  void Enqueue(std::vector<WriteRequest> aRequests)
  {
    for (auto& request : aRequests) {
      this->queuedRecords += request.records.size();
      this->queue.push_back(std::move(request));
    }
    if (!this->isSending) {
      this->SendNext();
    }
  }

  static std::size_t SizeOfAll(std::span<const KeyedValue> aRecords)
  {
    std::size_t bytes = 0;
    for (const auto& record : aRecords) {
      bytes += SizeOf(record);
    }
    return bytes;
  }

  /**
   * Takes the next request from the queue, or as many of its first records as
   * one append holds; the others stay in the queue.
   */
  WriteRequest TakeFront()
  {
    WriteRequest& front = this->queue.front();
    std::size_t count = 0;
    std::size_t bytes = 0;
    while (count < front.records.size() &&
           (count == 0 ||
            bytes + SizeOf(front.records[count]) <= this->maxAppendBytes)) {
      bytes += SizeOf(front.records[count++]);
    }
    WriteRequest taken;
    if (count == front.records.size() || front.onRefused) {
      taken = std::move(front);
      this->queue.pop_front();
    } else {
      const auto end =
        front.records.begin() + static_cast<std::ptrdiff_t>(count);
      taken.records.assign(std::make_move_iterator(front.records.begin()),
                           std::make_move_iterator(end));
      front.records.erase(front.records.begin(), end);
    }
    this->queuedRecords -= taken.records.size();
    return taken;
  }

  void SendNext()
  {
    if (this->queue.empty()) {
      return;
    }
    std::size_t bytes = 0;
    do {
      this->inFlight.push_back(this->TakeFront());
      bytes += SizeOfAll(this->inFlight.back().records);
    } while (!this->queue.empty() &&
             bytes + SizeOfAll(this->queue.front().records) <=
               this->maxAppendBytes);
    this->CollectRecords();
    this->isSending = true;
    this->hasFailed = false;
    this->attempt = 0;
    this->refusals = 0;
    this->sendingSince = this->clock.Now();
    ++this->sequence;
    ++this->appendNumber;
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
      this->inFlightRecords,
      conditions,
      [weak = this->weak_from_this(),
       sent = SentAttempt{
         this->appendNumber, this->attempt, this->clock.Now() }](auto aResult) {
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
    this->executor.RunAfter(
      aDelay,
      [weak = this->weak_from_this(),
       number = this->appendNumber,
       expected = this->attempt,
       task = std::move(aTask)] {
        const auto self = weak.lock();
        if (self != nullptr && self->isSending && !self->isFenced &&
            self->appendNumber == number && self->attempt == expected) {
          task(*self);
        }
      });
  }

  void OnAppendResult(const SentAttempt& aSent,
                      const Result<LogOffset>& aResult)
  {
    if (!this->isSending || aSent.append != this->appendNumber) {
      // Another attempt of the same append was answered before, perhaps with a
      // refusal after which its sequence number was used again.
      return;
    }
    if (aResult.has_value()) {
      this->repeatDelay.OnResponse(this->clock.Now() - aSent.at);
      this->backoff.Reset();
      this->isSending = false;
      // A callback may call Write(), which starts the next append.
      this->inFlightRecords.clear();
      for (const auto& request : std::exchange(this->inFlight, {})) {
        if (request.onDurable) {
          request.onDurable();
        }
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
    if (this->options.onFailure) {
      this->options.onFailure({ aResult.error(),
                                aSent.attempt,
                                this->inFlightRecords.size(),
                                SizeOfAll(this->inFlightRecords) });
    }
    if (aResult.error().code == ErrorCode::TooLarge &&
        this->inFlightRecords.size() > 1) {
      this->DivideAppend();
      return;
    }
    const bool hadNoEffect =
      aResult.error().code == ErrorCode::LogUnavailable ||
      aResult.error().code == ErrorCode::TooLarge;
    if (hadNoEffect && ++this->refusals == this->attempt &&
        this->DropOptional()) {
      return;
    }
    if (aSent.attempt == this->attempt) {
      this->RunLater(this->backoff.Next(), [](State& aSelf) { aSelf.Send(); });
    }
  }

  /**
   * Sends the records of the append under way again, in smaller ones. The log
   * refuses every attempt of the same append as too large, so that none has an
   * effect.
   */
  void DivideAppend()
  {
    this->maxAppendBytes =
      std::max<std::size_t>(SizeOfAll(this->inFlightRecords) / 2, 1);
    this->queuedRecords += this->inFlightRecords.size();
    this->queue.insert(this->queue.begin(),
                       std::make_move_iterator(this->inFlight.begin()),
                       std::make_move_iterator(this->inFlight.end()));
    this->inFlight.clear();
    // The log has not seen this number.
    --this->sequence;
    this->isSending = false;
    this->SendNext();
  }

  void CollectRecords()
  {
    this->inFlightRecords.clear();
    for (const auto& request : this->inFlight) {
      this->inFlightRecords.insert(this->inFlightRecords.end(),
                                   request.records.begin(),
                                   request.records.end());
    }
  }

  /**
   * Drops the requests that need no retry from an append that had no effect.
   * Returns true if nothing of it is left.
   */
  bool DropOptional()
  {
    std::vector<std::function<void()>> callbacks;
    std::erase_if(this->inFlight, [&](WriteRequest& aRequest) {
      if (!aRequest.onRefused) {
        return false;
      }
      callbacks.push_back(std::move(aRequest.onRefused));
      return true;
    });
    this->CollectRecords();
    const bool isEmpty = this->inFlight.empty();
    if (isEmpty) {
      // The log has not seen this number.
      --this->sequence;
      this->isSending = false;
    }
    for (const auto& callback : callbacks) {
      callback();
    }
    if (isEmpty && !this->isSending) {
      this->SendNext();
    }
    return isEmpty;
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
  std::deque<WriteRequest> queue;
  std::size_t queuedRecords = 0;
  std::vector<WriteRequest> inFlight;
  /** The records of inFlight. */
  std::vector<KeyedValue> inFlightRecords;
  bool isSending = false;
  bool isFenced = false;
  std::uint64_t sequence = 0;
  /** Counts the appends; unlike the sequence number, it is never reused. */
  std::uint64_t appendNumber = 0;
  std::size_t maxAppendBytes = 0;
  // Of the append under way.
  base::TimePoint sendingSince{};
  std::uint64_t attempt = 0;
  /** Attempts that are known to have had no effect. */
  std::uint64_t refusals = 0;
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
FencedWriter::Write(std::vector<WriteRequest> aRequests)
{
  this->state->Enqueue(std::move(aRequests));
}

void
FencedWriter::Write(std::vector<KeyedValue> aRecords,
                    std::function<void()> aDone)
{
  std::vector<WriteRequest> requests(1);
  requests[0].records = std::move(aRecords);
  requests[0].onDurable = std::move(aDone);
  this->state->Enqueue(std::move(requests));
}

std::size_t
FencedWriter::Pending() const noexcept
{
  return this->state->queuedRecords + this->state->inFlightRecords.size();
}

std::size_t
FencedWriter::MaxAppendBytes() const noexcept
{
  return this->state->maxAppendBytes;
}

bool
FencedWriter::IsStalled() const
{
  return this->state->IsStalled();
}

} // namespace amaranthwind::journal
