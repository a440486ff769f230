#include "Submissions.h"

#include "DispatchRunner.h"
#include "amaranthwind/base/Backoff.h"

#include <algorithm>
#include <atomic>
#include <utility>

namespace amaranthwind::coordinator {

using base::ErrorCode;
using protocol::AppendState;
using namespace std::chrono_literals;

namespace {

/**
 * Maximum time of an entry's own append, even if the caller would wait longer:
 * it can retry the same request at another entry, which may reach the log.
 */
constexpr base::Duration kMaxAppendTime = 1200ms;
/** Maximum time that a record waits for the executor, which may be busy. */
constexpr base::Duration kMaxQueueTime = 150ms;

} // namespace

struct Submissions::Attempt
{
  journal::KeyedValue record;
  base::TimePoint callerDeadline;
  base::TimePoint deadline;
  DoneHandler handler;
  base::Backoff backoff{ { .first = 30ms, .max = 300ms } };
  bool mayBeAppended = false;

  /** Drops the handler, since timers may still refer to the attempt. */
  void Finish(const base::Result<void>& aResult)
  {
    std::exchange(this->handler, nullptr)(aResult);
  }

  /** Whether a thread has started to handle the record. */
  std::atomic<bool> isTaken{ false };
};

Submissions::Submissions(const base::Clock& aClock,
                         base::Executor& aExecutor,
                         base::Executor& aTimerExecutor,
                         journal::KeyedLog& aLog,
                         SharedAppender& aShared,
                         telemetry::Metrics& aMetrics)
  : clock(aClock)
  , executor(aExecutor)
  , timerExecutor(aTimerExecutor)
  , log(aLog)
  , shared(aShared)
  , sharedRecords(aMetrics.MakeCounter(
      { "records_through_coordinator_total",
        "Records of callers that the coordinator appended." }))
  , ownRecords(aMetrics.MakeCounter(
      { "records_appended_alone_total",
        "Records of callers that the entry itself had to append." }))
{
}

void
Submissions::Append(journal::KeyedValue aRecord,
                    base::Duration aTimeout,
                    DoneHandler aHandler)
{
  auto attempt = std::make_shared<Attempt>();
  attempt->record = std::move(aRecord);
  attempt->callerDeadline = this->clock.Now() + aTimeout;
  attempt->handler = std::move(aHandler);
  this->executor.Post([this, attempt, aTimeout] {
    if (attempt->isTaken.exchange(true)) {
      return;
    }
    if (this->clock.Now() >= attempt->callerDeadline) {
      attempt->Finish(
        base::Fail(ErrorCode::LogUnavailable, "deadline has passed"));
      return;
    }
    this->shared.AppendShared(
      attempt->record, aTimeout, [this, attempt](AppendState aState) {
        if (aState == AppendState::Durable) {
          this->sharedRecords.Increment();
          attempt->Finish(base::success());
          return;
        }
        attempt->mayBeAppended = aState != AppendState::NotAppended;
        this->AppendAlone(attempt);
      });
  });
  this->timerExecutor.RunAfter(kMaxQueueTime, [this, attempt] {
    if (!attempt->isTaken.exchange(true)) {
      this->AppendAlone(attempt);
    }
  });
}

void
Submissions::AppendAlone(const std::shared_ptr<Attempt>& aAttempt)
{
  aAttempt->deadline =
    std::min(aAttempt->callerDeadline, this->clock.Now() + kMaxAppendTime);
  if (this->clock.Now() >= aAttempt->deadline) {
    aAttempt->Finish(base::Fail(aAttempt->mayBeAppended
                                  ? ErrorCode::AppendUnconfirmed
                                  : ErrorCode::LogUnavailable,
                                aAttempt->record.key));
    return;
  }
  if (!aAttempt->mayBeAppended) {
    const auto allowed = this->shared.CheckAlone(aAttempt->record);
    if (allowed.has_error()) {
      aAttempt->Finish(allowed);
      return;
    }
  }
  this->ownRecords.Increment();
  this->AppendOnce(aAttempt);
}

void
Submissions::AppendOnce(const std::shared_ptr<Attempt>& aAttempt)
{
  this->log.Append(
    { std::string(kJobTopic), 0 },
    std::span(&aAttempt->record, 1),
    {},
    [this, attempt = aAttempt](const auto& aResult) {
      if (aResult.has_value()) {
        attempt->Finish(base::success());
        return;
      }
      const base::Error& error = aResult.error();
      attempt->mayBeAppended =
        attempt->mayBeAppended || error.code == ErrorCode::AppendUnconfirmed;
      const base::Duration delay = attempt->backoff.Next();
      const bool isFinal = error.code == ErrorCode::TooLarge;
      if (isFinal || this->clock.Now() + delay >= attempt->deadline) {
        attempt->Finish(base::Fail(attempt->mayBeAppended
                                     ? ErrorCode::AppendUnconfirmed
                                   : isFinal ? ErrorCode::TooLarge
                                             : ErrorCode::LogUnavailable,
                                   error.subject));
        return;
      }
      this->executor.RunAfter(delay,
                              [this, attempt] { this->AppendOnce(attempt); });
    });
}

} // namespace amaranthwind::coordinator
