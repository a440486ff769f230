#include "Submissions.h"

#include "DispatchRunner.h"
#include "amaranthwind/base/Backoff.h"

#include <algorithm>
#include <utility>

namespace amaranthwind::coordinator {

using base::ErrorCode;
using namespace std::chrono_literals;

namespace {

/**
 * Maximum time before the caller is answered, even if it would wait longer: it
 * can retry the same request at another entry, which may reach the log.
 */
constexpr base::Duration kMaxAppendTime = 1200ms;

} // namespace

struct Submissions::Attempt
{
  journal::KeyedValue record;
  base::TimePoint deadline;
  DoneHandler handler;
  base::Backoff backoff{ { .first = 30ms, .max = 300ms } };
  bool mayBeAppended = false;
};

Submissions::Submissions(const base::Clock& aClock,
                         base::Executor& aExecutor,
                         journal::KeyedLog& aLog)
  : clock(aClock)
  , executor(aExecutor)
  , log(aLog)
{
}

void
Submissions::Append(journal::KeyedValue aRecord,
                    base::Duration aTimeout,
                    DoneHandler aHandler)
{
  auto attempt = std::make_shared<Attempt>();
  attempt->record = std::move(aRecord);
  attempt->deadline = this->clock.Now() + std::min(aTimeout, kMaxAppendTime);
  attempt->handler = std::move(aHandler);
  this->AppendOnce(attempt);
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
        attempt->handler(base::success());
        return;
      }
      const base::Error& error = aResult.error();
      attempt->mayBeAppended =
        attempt->mayBeAppended || error.code == ErrorCode::AppendUnconfirmed;
      const base::Duration delay = attempt->backoff.Next();
      const bool isFinal = error.code == ErrorCode::TooLarge;
      if (isFinal || this->clock.Now() + delay >= attempt->deadline) {
        attempt->handler(base::Fail(attempt->mayBeAppended
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
