#include "amaranthwind/journal/KeyedFollower.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace amaranthwind::journal {

using base::ErrorCode;
using base::LogOffset;
using base::Result;

namespace {

/**
 * Reads for callers of KeyedFollower::Confirm() at the same time. Further
 * callers share one, so that they do not use up the log's rate of reads.
 */
constexpr std::size_t kMaxConfirmations = 8;
/** An answer that takes longer, beside the wait for records, is late. */
constexpr base::Duration kLateAnswer = std::chrono::milliseconds(500);

} // namespace

struct KeyedFollower::State : std::enable_shared_from_this<State>
{
  State(FollowerOptions aOptions,
        const base::Clock& aClock,
        base::Executor& aExecutor,
        KeyedLog& aLog,
        FollowerObserver& aObserver)
    : options(std::move(aOptions))
    , clock(aClock)
    , executor(aExecutor)
    , log(aLog)
    , observer(aObserver)
    , backoff(this->options.backoff)
  {
  }

  /** Returns a handler for the log that runs aMethod on the executor. */
  template<typename T, typename Method>
  auto OnExecutor(Method aMethod)
  {
    return [weak = this->weak_from_this(), aMethod](Result<T> aResult) {
      if (const auto self = weak.lock()) {
        self->executor.Post([self, aMethod, result = std::move(aResult)] {
          if (!self->isStopped) {
            aMethod(*self, result);
          }
        });
      }
    };
  }

  void Load()
  {
    this->newestByKey.clear();
    this->firstPageEnd.reset();
    this->loadedKey.clear();
    this->LoadPage();
  }

  void LoadPage()
  {
    this->log.ReadNewest(this->options.topic,
                         this->loadedKey,
                         this->OnExecutor<NewestPage>(
                           [](State& aSelf, const Result<NewestPage>& aPage) {
                             aSelf.OnPage(aPage);
                           }));
  }

  void OnPage(const Result<NewestPage>& aPage)
  {
    if (aPage.has_error()) {
      // Starting anew might never reach the end of a long topic.
      this->RetryLater(aPage.error(), [](State& aSelf) { aSelf.LoadPage(); });
      return;
    }
    this->OnAnswer();
    const NewestPage& page = aPage.value();
    // Records appended after the first page was read are read again later.
    if (!this->firstPageEnd) {
      this->firstPageEnd = page.end;
    }
    for (const KeyedRecord& record : page.records) {
      this->loadedKey = std::max(this->loadedKey, record.key);
      this->newestByKey.insert_or_assign(record.key, record);
    }
    if (page.hasMore && !page.records.empty()) {
      this->LoadPage();
      return;
    }
    std::vector<KeyedRecord> records;
    records.reserve(this->newestByKey.size());
    for (auto& [key, record] : this->newestByKey) {
      records.push_back(std::move(record));
    }
    std::sort(records.begin(),
              records.end(),
              [](const KeyedRecord& aLeft, const KeyedRecord& aRight) {
                return aLeft.offset < aRight.offset;
              });
    this->newestByKey.clear();
    this->next = *this->firstPageEnd;
    this->isLoaded = true;
    this->observer.OnLoaded(records);
    this->ReadNext();
  }

  void ReadNext()
  {
    const base::TimePoint sentAt = this->clock.Now();
    const LogOffset from = this->next;
    // The first read after a load, an outage or a late answer does not wait, to
    // find out whether the view is current.
    const base::Duration wait = this->isCurrent && !this->wasLate
                                  ? this->options.wait
                                  : base::Duration::zero();
    this->log.Read(
      this->options.topic,
      from,
      wait,
      this->OnExecutor<KeyedBatch>(
        [sentAt, from, wait](State& aSelf, const Result<KeyedBatch>& aBatch) {
          // In a slow log, every other read still waits.
          aSelf.wasLate = aBatch.has_value() && !aSelf.wasLate &&
                          aSelf.clock.Now() - sentAt > wait + kLateAnswer;
          aSelf.OnRead(aBatch, from, sentAt);
        }));
  }

  void OnRead(const Result<KeyedBatch>& aBatch,
              LogOffset aFrom,
              base::TimePoint aSentAt)
  {
    if (aBatch.has_error()) {
      this->isCurrent = false;
      if (aBatch.error().code == ErrorCode::OffsetExpired) {
        this->OnAnswer();
        this->Load();
        return;
      }
      this->RetryLater(aBatch.error(), [](State& aSelf) { aSelf.ReadNext(); });
      return;
    }
    this->OnAnswer();
    this->isCurrent = this->DeliverNewRecords(aBatch.value(), aFrom);
    if (this->isCurrent) {
      this->observer.OnCurrent(aSentAt);
    }
    this->ReadNext();
  }

  /**
   * Delivers the new records of a read from the given offset on; returns true
   * if the end of the topic was reached.
   */
  bool DeliverNewRecords(const KeyedBatch& aBatch, LogOffset aFrom)
  {
    if (aFrom > this->next) {
      // The topic was loaded again after the read was sent, as of an earlier
      // offset. Going on after the batch would skip the records between them.
      return false;
    }
    std::size_t knownCount = 0;
    while (knownCount < aBatch.records.size() &&
           aBatch.records[knownCount].offset < this->next) {
      ++knownCount;
    }
    const auto newRecords = std::span(aBatch.records).subspan(knownCount);
    if (!newRecords.empty()) {
      this->next = LogOffset(newRecords.back().offset.Get() + 1);
      this->observer.OnRecords(newRecords);
    }
    return this->next >= aBatch.end;
  }

  void OnAnswer()
  {
    this->backoff.Reset();
    if (std::exchange(this->hasReportedOutage, false)) {
      this->observer.OnAvailable();
    }
  }

  void RetryLater(const base::Error& aError, void (*aRetry)(State&))
  {
    if (!std::exchange(this->hasReportedOutage, true)) {
      this->observer.OnUnavailable(aError);
    }
    this->executor.RunAfter(this->backoff.Next(),
                            [weak = this->weak_from_this(), aRetry] {
                              const auto self = weak.lock();
                              if (self != nullptr && !self->isStopped) {
                                aRetry(*self);
                              }
                            });
  }

  void Confirm(std::function<void(bool)> aHandler)
  {
    if (!this->isLoaded) {
      aHandler(false);
      return;
    }
    this->unconfirmed.push_back(std::move(aHandler));
    this->SendConfirmation();
  }

  /** Confirms for all callers that wait, unless many reads are on their way. */
  void SendConfirmation()
  {
    if (this->unconfirmed.empty() || this->confirmations >= kMaxConfirmations) {
      return;
    }
    ++this->confirmations;
    const base::TimePoint sentAt = this->clock.Now();
    const LogOffset from = this->next;
    this->log.Read(
      this->options.topic,
      from,
      base::Duration::zero(),
      this->OnExecutor<KeyedBatch>(
        [sentAt, from, handlers = std::exchange(this->unconfirmed, {})](
          State& aSelf, const Result<KeyedBatch>& aBatch) {
          --aSelf.confirmations;
          const bool isConfirmed =
            aBatch.has_value() && aSelf.DeliverNewRecords(aBatch.value(), from);
          if (isConfirmed) {
            aSelf.observer.OnCurrent(sentAt);
          }
          for (const auto& handler : handlers) {
            handler(isConfirmed);
          }
          aSelf.SendConfirmation();
        }));
  }

  const FollowerOptions options;
  const base::Clock& clock;
  base::Executor& executor;
  KeyedLog& log;
  FollowerObserver& observer;
  base::Backoff backoff;
  std::map<std::string, KeyedRecord> newestByKey;
  std::optional<LogOffset> firstPageEnd;
  /** Last key of the pages that were loaded. */
  std::string loadedKey;
  LogOffset next;
  bool isLoaded = false;
  bool isCurrent = false;
  /** The newest answer confirms the view as of a time long ago. */
  bool wasLate = false;
  bool isStopped = false;
  /** Callers of Confirm() for whom no read was sent yet. */
  std::vector<std::function<void(bool)>> unconfirmed;
  /** Number of reads for callers of Confirm() that are on their way. */
  std::size_t confirmations = 0;
  /** Whether the current outage was reported to the observer. */
  bool hasReportedOutage = false;
};

KeyedFollower::KeyedFollower(FollowerOptions aOptions,
                             const base::Clock& aClock,
                             base::Executor& aExecutor,
                             KeyedLog& aLog,
                             FollowerObserver& aObserver)
  : state(std::make_shared<State>(std::move(aOptions),
                                  aClock,
                                  aExecutor,
                                  aLog,
                                  aObserver))
{
}

KeyedFollower::~KeyedFollower() = default;

void
KeyedFollower::Start()
{
  this->state->executor.Post([self = this->state] { self->Load(); });
}

void
KeyedFollower::Confirm(std::function<void(bool)> aHandler)
{
  this->state->executor.Post(
    [self = this->state, handler = std::move(aHandler)] {
      self->Confirm(handler);
    });
}

void
KeyedFollower::Stop()
{
  this->state->isStopped = true;
}

} // namespace amaranthwind::journal
