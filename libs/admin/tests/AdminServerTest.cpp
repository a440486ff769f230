#include "amaranthwind/admin/AdminServer.h"

#include "amaranthwind/frontend/HttpClient.h"
#include "amaranthwind/net/IoPool.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <array>
#include <atomic>

using namespace amaranthwind;
using namespace std::chrono_literals;

namespace {

class FakeReadiness final : public admin::Readiness
{
public:
  std::optional<base::Error> CheckReadiness() const override
  {
    return this->reason;
  }
  std::optional<base::Error> reason;
};

class FakeSection final : public telemetry::DumpSource
{
public:
  std::string_view DumpName() const noexcept override { return "part"; }
  void WriteDump(telemetry::DumpWriter& aWriter) const override
  {
    aWriter.Value("number", 17);
  }
};

class CountingSampler final : public admin::MetricsSampler
{
public:
  explicit CountingSampler(telemetry::Metrics& aMetrics)
    : samples(aMetrics.MakeCounter({ "samples_total", "Samples." }))
  {
  }
  void SampleMetrics() override { this->samples.Increment(); }

private:
  const telemetry::Counter samples;
};

struct Fixture
{
  Fixture()
  {
    this->server.AddDump(std::make_shared<FakeSection>());
    this->server.AddSampler(
      std::make_shared<CountingSampler>(this->server.Metrics()));
    this->address = this->server.Listen("127.0.0.1:0").value();
  }
  ~Fixture()
  {
    this->server.Stop();
    this->pool.Stop();
  }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  frontend::HttpResponse Send(std::string_view aMethod, std::string_view aPath)
  {
    frontend::HttpClient client(this->pool, { .address = this->address });
    frontend::HttpRequest request;
    request.method = aMethod;
    request.path = aPath;
    return client.SendAndWait(std::move(request), 10s).response.value();
  }

  FakeReadiness readiness;
  admin::AdminServer server{ "process-1", this->readiness };
  net::IoPool pool{ 1 };
  std::string address;
};

struct Case
{
  std::string_view method;
  std::string_view path;
  std::optional<base::Error> notReady;
  unsigned status;
  /** Code of the error reply; empty if there is none. */
  std::string_view error;
};

} // namespace

// Guards against a status code or error body that differs from docs/api.md; the
// platform's probes depend on both.
TEST_CASE("each admin path returns its documented status and error")
{
  const base::Error draining{ base::ErrorCode::Draining, "process-1" };
  const base::Error behind{ base::ErrorCode::NotReady, "noteOffset" };
  const std::array<Case, 11> cases{ {
    { "GET", "/live", {}, 200, "" },
    { "GET", "/live", draining, 200, "" },
    { "GET", "/ready", {}, 200, "" },
    { "GET", "/ready", behind, 503, "not-ready" },
    { "GET", "/ready", draining, 503, "draining" },
    { "GET", "/metrics", draining, 200, "" },
    { "GET", "/dump", draining, 200, "" },
    { "GET", "/", {}, 404, "unknown-path" },
    { "GET", "/live/x", {}, 404, "unknown-path" },
    { "POST", "/live", {}, 404, "unknown-path" },
    { "DELETE", "/dump", {}, 404, "unknown-path" },
  } };
  Fixture fixture;
  for (const auto& item : cases) {
    CAPTURE(item.method);
    CAPTURE(item.path);
    fixture.readiness.reason = item.notReady;
    const auto response = fixture.Send(item.method, item.path);
    CHECK(response.status == item.status);
    if (item.error.empty()) {
      continue;
    }
    const auto body = boost::json::parse(response.body);
    CHECK(body.at("error").as_string() == item.error);
    CHECK(body.at("notRun").as_bool());
    if (item.notReady) {
      CHECK(body.at("subject").as_string() == item.notReady->subject);
    }
  }
}

// Guards against a body in probe responses, which docs/api.md documents as
// empty, and against a wrong content type, which metrics collectors reject.
TEST_CASE("admin responses have the documented body and content type")
{
  Fixture fixture;
  CHECK(fixture.Send("GET", "/live").body.empty());
  CHECK(fixture.Send("GET", "/ready").body.empty());
  const auto metrics = fixture.Send("GET", "/metrics");
  CHECK(metrics.contentType.starts_with("text/plain; version=0.0.4"));
  CHECK(metrics.body.find("amaranthwind_samples_total 1") != std::string::npos);
  const auto dump = boost::json::parse(fixture.Send("GET", "/dump").body);
  CHECK(dump.at("process").as_string() == "process-1");
  const auto& section = dump.at("sections").at(0);
  CHECK(section.at("name").as_string() == "part");
  CHECK(section.at("values").at("number").to_number<int>() == 17);
}
