#pragma once

#include "amaranthwind/frontend/HttpClient.h"
#include "amaranthwind/journal/LogClient.h"

#include <chrono>
#include <memory>
#include <string>

namespace amaranthwind::frontend {

struct HttpLogClientOptions
{
  /** Of the log service, "IP:port". */
  std::string address;
  /** After this time an answer counts as lost. */
  std::chrono::milliseconds timeout{ 2000 };
};

/** The platform's log service over HTTP; see docs/api.md for its paths. */
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
