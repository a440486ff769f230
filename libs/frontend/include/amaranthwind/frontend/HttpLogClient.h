#pragma once

#include "amaranthwind/frontend/HttpClient.h"
#include "amaranthwind/journal/LogClient.h"

#include <chrono>
#include <memory>
#include <string>

namespace amaranthwind::frontend {

struct HttpLogClientOptions
{
  /** Address of the log service, "IP:port". */
  std::string address;
  /** Time after which a response is considered lost. */
  std::chrono::milliseconds timeout{ 2000 };
};

/** HTTP client for the platform's log service; docs/api.md lists its paths. */
class HttpLogClient final : public journal::LogClient
{
public:
  HttpLogClient(net::IoPool& aPool, const HttpLogClientOptions& aOptions);

  base::Result<base::LogOffset> Append(
    std::string_view aStream,
    std::span<const std::byte> aPayload) override;
  base::Result<journal::ReadBatch> Read(std::string_view aStream,
                                        base::LogOffset aFrom,
                                        std::uint32_t aMax) override;

private:
  const HttpLogClientOptions options;
  HttpClient client;
};

} // namespace amaranthwind::frontend
