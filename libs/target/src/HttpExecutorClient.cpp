#include "amaranthwind/target/HttpExecutorClient.h"

#include <utility>

namespace amaranthwind::target {

namespace {

std::vector<std::byte>
ToBytes(std::string_view aText)
{
  const auto* first = reinterpret_cast<const std::byte*>(aText.data());
  return { first, first + aText.size() };
}

ExecutorResult
Convert(frontend::HttpResult aResult)
{
  if (aResult.response.has_error()) {
    return { 0, {}, aResult.response.error(), aResult.mayHaveBeenSent };
  }
  const auto& response = aResult.response.value();
  return { response.status, ToBytes(response.body), {}, true };
}

} // namespace

HttpExecutorClient::HttpExecutorClient(
  net::IoPool& aPool,
  const frontend::HttpClientOptions& aOptions)
  : client(aPool, aOptions)
{
}

void
HttpExecutorClient::Run(std::string_view aKind,
                        std::span<const std::byte> aBody,
                        base::Duration aTimeout,
                        ExecutorResultHandler aHandler)
{
  frontend::HttpRequest request;
  request.method = "POST";
  request.path = "/run/" + std::string(aKind);
  request.body.assign(reinterpret_cast<const char*>(aBody.data()),
                      aBody.size());
  this->client.Send(
    std::move(request),
    aTimeout,
    [handler = std::move(aHandler)](frontend::HttpResult aResult) {
      handler(Convert(std::move(aResult)));
    });
}

} // namespace amaranthwind::target
