#include "amaranthwind/journal/FencedWriter.h"

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

} // namespace

struct FencedWriter::State : std::enable_shared_from_this<State>
{
  State(FencedWriterOptions aOptions,
        base::Executor& aExecutor,
        KeyedLog& aLog,
        std::function<void()> aOnFenced)
    : options(std::move(aOptions))
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
    ++this->sequence;
    this->Send();
  }

  void Send()
  {
    AppendConditions conditions;
    conditions.stamp = ProducerStamp{ this->options.producer,
                                      this->options.token.Get(),
                                      this->sequence };
    this->log.Append(this->options.topic,
                     this->inFlight.records,
                     conditions,
                     [weak = this->weak_from_this()](auto aResult) {
                       if (const auto self = weak.lock()) {
                         self->executor.Post(
                           [weak, result = std::move(aResult)] {
                             if (const auto writer = weak.lock()) {
                               writer->OnAppendResult(result);
                             }
                           });
                       }
                     });
  }

  void OnAppendResult(const Result<LogOffset>& aResult)
  {
    if (aResult.has_value()) {
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
    this->executor.RunAfter(this->backoff.Next(),
                            [weak = this->weak_from_this()] {
                              if (const auto self = weak.lock()) {
                                self->Send();
                              }
                            });
  }

  const FencedWriterOptions options;
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
};

FencedWriter::FencedWriter(FencedWriterOptions aOptions,
                           base::Executor& aExecutor,
                           KeyedLog& aLog,
                           std::function<void()> aOnFenced)
  : state(std::make_shared<State>(std::move(aOptions),
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

} // namespace amaranthwind::journal
