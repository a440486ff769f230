#include "amaranthwind/admin/AdminServer.h"

#include "amaranthwind/codec/ErrorCodec.h"
#include "amaranthwind/frontend/HttpServer.h"
#include "amaranthwind/net/ConnectionBudget.h"
#include "amaranthwind/net/IoPool.h"
#include "amaranthwind/telemetry/StateDump.h"

#include <chrono>
#include <mutex>
#include <utility>
#include <vector>

namespace amaranthwind::admin {

using base::ErrorCode;
using frontend::HttpResponse;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kThreads = 1;
// Enough for the platform's probes, a metrics collector and a few operators.
constexpr std::size_t kMaxConnections = 64;
constexpr std::size_t kMaxBodyBytes = 1024;
constexpr base::Duration kRetryAfter = 1s;
constexpr std::string_view kMetricsType =
  "text/plain; version=0.0.4; charset=utf-8";

HttpResponse
MakeErrorResponse(const base::Error& aError,
                  std::optional<base::Duration> aRetryAfter)
{
  const codec::ErrorReply reply{ aError, true, aRetryAfter };
  HttpResponse response;
  response.status = static_cast<std::uint16_t>(codec::HttpStatus(reply));
  response.body = codec::EncodeErrorReply(reply);
  if (aRetryAfter) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(*aRetryAfter);
    response.headers.push_back(
      { "Retry-After", std::to_string(seconds.count()) });
  }
  return response;
}

} // namespace

struct AdminServer::Impl : public frontend::HttpHandler
{
  Impl(std::string_view aProcess,
       const Readiness& aReadiness,
       std::shared_ptr<net::ConnectionBudget> aBudget)
    : readiness(aReadiness)
    , dump(aProcess)
    , pool(kThreads)
    , server(this->pool,
             { .maxBodyBytes = kMaxBodyBytes,
               .maxConnections = kMaxConnections,
               .budget = std::move(aBudget) },
             *this)
  {
  }

  void Handle(frontend::HttpRequest aRequest,
              frontend::HttpResponder aRespond) override
  {
    aRespond(this->Route(aRequest));
  }

  HttpResponse Route(const frontend::HttpRequest& aRequest)
  {
    HttpResponse response;
    if (aRequest.method != "GET") {
      return MakeErrorResponse({ ErrorCode::UnknownPath, aRequest.path }, {});
    }
    if (aRequest.path == "/live") {
      return response;
    }
    if (aRequest.path == "/ready") {
      const auto reason = this->readiness.CheckReadiness();
      return reason ? MakeErrorResponse(*reason, kRetryAfter) : response;
    }
    if (aRequest.path == "/metrics") {
      response.contentType = kMetricsType;
      response.body = this->RenderMetrics();
      return response;
    }
    if (aRequest.path == "/dump") {
      response.body = this->dump.Render();
      return response;
    }
    return MakeErrorResponse({ ErrorCode::UnknownPath, aRequest.path }, {});
  }

  std::string RenderMetrics()
  {
    std::lock_guard lock(this->mutex);
    for (const auto& sampler : this->samplers) {
      sampler->SampleMetrics();
    }
    return this->metrics.Render();
  }

  const Readiness& readiness;
  telemetry::Metrics metrics;
  telemetry::StateDump dump;
  std::mutex mutex;
  std::vector<std::shared_ptr<MetricsSampler>> samplers;
  net::IoPool pool;
  frontend::HttpServer server;
};

AdminServer::AdminServer(std::string_view aProcess,
                         const Readiness& aReadiness,
                         std::shared_ptr<net::ConnectionBudget> aBudget)
  : impl(std::make_unique<Impl>(aProcess, aReadiness, std::move(aBudget)))
{
}

AdminServer::~AdminServer()
{
  this->Stop();
}

telemetry::Metrics&
AdminServer::Metrics() noexcept
{
  return this->impl->metrics;
}

void
AdminServer::AddDump(std::shared_ptr<const telemetry::DumpSource> aSource)
{
  this->impl->dump.Add(std::move(aSource));
}

void
AdminServer::AddSampler(std::shared_ptr<MetricsSampler> aSampler)
{
  std::lock_guard lock(this->impl->mutex);
  this->impl->samplers.push_back(std::move(aSampler));
}

base::Result<std::string>
AdminServer::Listen(std::string_view aAddress)
{
  return this->impl->server.Listen(aAddress);
}

void
AdminServer::Stop()
{
  this->impl->server.Stop();
  this->impl->pool.Stop();
}

} // namespace amaranthwind::admin
