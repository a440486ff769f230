#include "HttpReplies.h"

#include <chrono>

namespace amaranthwind::entry {

frontend::HttpResponse
MakeErrorResponse(const codec::ErrorReply& aReply)
{
  frontend::HttpResponse response;
  response.status = static_cast<std::uint16_t>(codec::HttpStatus(aReply));
  response.body = codec::EncodeErrorReply(aReply);
  if (aReply.retryAfter) {
    // Retry-After has whole seconds, while the body has milliseconds.
    const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(*aReply.retryAfter).count();
    response.headers.push_back({ "Retry-After", std::to_string(seconds) });
  }
  return response;
}

} // namespace amaranthwind::entry
