#include "amaranthwind/journal/FencedWriter.h"

#include <iterator>
#include <utility>

namespace amaranthwind::journal {

using base::ErrorCode;
using base::LogOffset;
using base::Result;

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

  struct Batch
  {
    std::vector<KeyedValue> records;
    std::vector<std::function<void()>> done;
  };

  void Add(std::vector<KeyedValue> aRecords, std::function<void()> aDone)
  {
    std::move(aRecords.begin(),
              aRecords.end(),
              std::back_inserter(this->waiting.records));
    this->waiting.done.push_back(std::move(aDone));
    if (!this->isSending) {
      this->SendNext();
    }
  }

  void SendNext()
  {
    if (this->waiting.done.empty()) {
      return;
    }
    this->sending = std::exchange(this->waiting, {});
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
                     this->sending.records,
                     conditions,
                     [weak = this->weak_from_this()](auto aResult) {
                       if (const auto self = weak.lock()) {
                         self->executor.Post(
                           [weak, result = std::move(aResult)] {
                             if (const auto writer = weak.lock()) {
                               writer->OnAnswer(result);
                             }
                           });
                       }
                     });
  }

  void OnAnswer(const Result<LogOffset>& aResult)
  {
    if (aResult.has_value()) {
      this->backoff.Reset();
      this->isSending = false;
      // A callback may add records, which start the next append.
      const auto done = std::exchange(this->sending, {}).done;
      for (const auto& each : done) {
        each();
      }
      if (!this->isSending) {
        this->SendNext();
      }
      return;
    }
    if (aResult.error().code == ErrorCode::StaleToken ||
        aResult.error().code == ErrorCode::OutOfRange) {
      // A sequence number that does not follow means that another process
      // writes with the same token.
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
  Batch waiting;
  Batch sending;
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
  this->state->Add(std::move(aRecords), std::move(aDone));
}

std::size_t
FencedWriter::Pending() const noexcept
{
  return this->state->waiting.records.size() +
         this->state->sending.records.size();
}

} // namespace amaranthwind::journal
