#pragma once

#include "amaranthwind/frontend/HttpClient.h"
#include "amaranthwind/target/ExecutorClient.h"

namespace amaranthwind::target {

/** Client of an executor that serves POST /run/<kind> over HTTP. */
class HttpExecutorClient final : public ExecutorClient
{
public:
  HttpExecutorClient(net::IoPool& aPool,
                     const frontend::HttpClientOptions& aOptions);

  void Run(std::string_view aKind,
           std::span<const std::byte> aBody,
           base::Duration aTimeout,
           ExecutorResultHandler aHandler) override;

private:
  frontend::HttpClient client;
};

} // namespace amaranthwind::target
