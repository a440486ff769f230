#include "RepeatedRequest.h"

#include <utility>

namespace amaranthwind::frontend {

using base::ErrorCode;

RepeatedRequest::RepeatedRequest(HttpRequest aRequest,
                                 const RepeatOptions& aOptions,
                                 HttpResultHandler aHandler)
  : request(std::move(aRequest))
  , options(aOptions)
  , handler(std::move(aHandler))
{
}

std::uint32_t
RepeatedRequest::NextAttempt()
{
  HttpResultHandler ended;
  {
    const std::lock_guard lock(this->mutex);
    if (!this->handler) {
      return 0;
    }
    if (this->attempts < this->options.maxAttempts) {
      return ++this->attempts;
    }
    this->isExhausted = true;
    if (this->arriving.empty()) {
      ended = std::exchange(this->handler, nullptr);
    }
  }
  if (ended) {
    ended({ base::Fail(ErrorCode::TimedOut, "all attempts are unanswered") });
  }
  return 0;
}

void
RepeatedRequest::OnArriving(std::uint32_t aAttempt)
{
  const std::lock_guard lock(this->mutex);
  this->arriving.insert(aAttempt);
}

void
RepeatedRequest::OnResult(std::uint32_t aAttempt, HttpResult aResult)
{
  HttpResultHandler ended;
  {
    const std::lock_guard lock(this->mutex);
    this->arriving.erase(aAttempt);
    // Otherwise a later attempt may still get a response.
    const bool isLast = aAttempt == this->attempts ||
                        (this->isExhausted && this->arriving.empty());
    if (aResult.response.has_value() || isLast) {
      ended = std::exchange(this->handler, nullptr);
    }
  }
  if (ended) {
    ended(std::move(aResult));
  }
}

} // namespace amaranthwind::frontend
