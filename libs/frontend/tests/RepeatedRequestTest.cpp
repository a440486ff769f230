#include "RepeatedRequest.h"

#include "amaranthwind/base/ManualExecutor.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <vector>

using namespace amaranthwind;
using namespace amaranthwind::frontend;
using namespace std::chrono_literals;
using base::ErrorCode;

namespace {

/** Time from a failure until the caller sends the request anew. */
constexpr base::Duration kBackoff = 500ms;

/**
 * A caller that sends a request until it is answered, to a server that leaves
 * all requests unanswered until it returns.
 */
class Simulation
{
public:
  Simulation(const RepeatOptions& aOptions, base::Duration aSilence)
    : options(aOptions)
    , returnsAt(clock.Now() + aSilence)
  {
  }

  void Run()
  {
    this->Start();
    while (!this->answeredAt && this->clock.Now() < this->returnsAt + 60s) {
      this->executor.Advance(50ms);
    }
  }

  /** Time from the return of the server to its answer; empty if there is none.
   */
  std::optional<base::Duration> Delay() const
  {
    return this->answeredAt ? std::optional(*this->answeredAt - this->returnsAt)
                            : std::nullopt;
  }
  std::size_t MostInFlight() const { return this->mostInFlight; }

private:
  void Start()
  {
    this->Send(std::make_shared<RepeatedRequest>(
      HttpRequest(), this->options, [this](const HttpResult& aResult) {
        if (aResult.response.has_value()) {
          this->answeredAt = this->clock.Now();
        } else {
          this->executor.RunAfter(kBackoff, [this] { this->Start(); });
        }
      }));
  }

  void Send(const std::shared_ptr<RepeatedRequest>& aRequest)
  {
    const std::uint32_t attempt = aRequest->NextAttempt();
    if (attempt == 0) {
      return;
    }
    this->mostInFlight = std::max(this->mostInFlight, ++this->inFlight);
    if (this->clock.Now() >= this->returnsAt) {
      --this->inFlight;
      aRequest->OnResult(attempt, { HttpResponse() });
      return;
    }
    this->executor.RunAfter(this->options.repeatAfter,
                            [this, aRequest] { this->Send(aRequest); });
    this->executor.RunAfter(this->options.timeout, [this, aRequest, attempt] {
      --this->inFlight;
      aRequest->OnResult(attempt, { base::Fail(ErrorCode::TimedOut) });
    });
  }

  const RepeatOptions options;
  base::ManualClock clock;
  base::ManualExecutor executor{ clock };
  const base::TimePoint returnsAt;
  std::optional<base::TimePoint> answeredAt;
  std::size_t inFlight = 0;
  std::size_t mostInFlight = 0;
};

struct Fixture
{
  std::vector<HttpResult> results;
  RepeatedRequest request{
    HttpRequest(),
    { .timeout = 4s, .repeatAfter = 1s, .maxAttempts = 3 },
    [this](HttpResult aResult) { this->results.push_back(std::move(aResult)); }
  };
};

HttpResult
MakeError(ErrorCode aCode)
{
  return { base::Fail(aCode) };
}

} // namespace

// Guards against a server that is back but is not asked: once the last attempt
// had fallen into the silence, nothing was sent until it had timed out.
TEST_CASE("the return of a silent server is noticed within a repeat interval")
{
  RepeatOptions options;
  SUBCASE("for reads that wait")
  {
    options = { .timeout = 4600ms, .repeatAfter = 1600ms };
  }
  SUBCASE("for reads that do not wait")
  {
    options = { .timeout = 4000ms, .repeatAfter = 1000ms };
  }
  SUBCASE("for reads of a server that was slow")
  {
    options = { .timeout = 4600ms, .repeatAfter = 3600ms };
  }
  const auto mostInFlight =
    static_cast<std::size_t>(options.timeout / options.repeatAfter + 2);
  for (base::Duration silence = 0ms; silence <= 40s; silence += 100ms) {
    CAPTURE(
      std::chrono::duration_cast<std::chrono::milliseconds>(silence).count());
    Simulation simulation(options, silence);
    simulation.Run();
    REQUIRE(simulation.Delay().has_value());
    CHECK(*simulation.Delay() <= options.repeatAfter + kBackoff);
    CHECK(simulation.MostInFlight() <= mostInFlight);
  }
}

TEST_CASE("a request ends once its last attempt is overdue as well")
{
  Fixture fixture;
  CHECK(fixture.request.NextAttempt() == 1);
  CHECK(fixture.request.NextAttempt() == 2);
  CHECK(fixture.request.NextAttempt() == 3);
  CHECK(fixture.results.empty());
  CHECK(fixture.request.NextAttempt() == 0);
  REQUIRE(fixture.results.size() == 1);
  REQUIRE(fixture.results[0].response.has_error());
  CHECK(fixture.results[0].response.error().code == ErrorCode::TimedOut);
  CHECK(fixture.results[0].mayHaveBeenSent);
  fixture.request.OnResult(2, { HttpResponse() });
  CHECK(fixture.request.NextAttempt() == 0);
  CHECK(fixture.results.size() == 1);
}

// Guards against dropping a large response that passes a slow link.
TEST_CASE("a request does not end while a response is arriving")
{
  Fixture fixture;
  for (std::uint32_t attempt = 1; attempt <= 3; ++attempt) {
    REQUIRE(fixture.request.NextAttempt() == attempt);
  }
  fixture.request.OnResult(1, MakeError(ErrorCode::TimedOut));
  fixture.request.OnArriving(2);
  CHECK(fixture.request.NextAttempt() == 0);
  CHECK(fixture.results.empty());
  SUBCASE("and gets it")
  {
    fixture.request.OnResult(2, { HttpResponse() });
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results[0].response.has_value());
  }
  SUBCASE("and ends if it stalls, without waiting for the silent attempt")
  {
    fixture.request.OnResult(2, MakeError(ErrorCode::ConnectionClosed));
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results[0].response.error().code ==
          ErrorCode::ConnectionClosed);
  }
}

// Guards against waiting for a silent connection when the server is known to
// refuse requests.
TEST_CASE("the failure of the newest attempt ends a request, older ones do not")
{
  Fixture fixture;
  REQUIRE(fixture.request.NextAttempt() == 1);
  REQUIRE(fixture.request.NextAttempt() == 2);
  fixture.request.OnResult(1, MakeError(ErrorCode::TimedOut));
  CHECK(fixture.results.empty());
  fixture.request.OnResult(2, MakeError(ErrorCode::ConnectFailed));
  REQUIRE(fixture.results.size() == 1);
  CHECK(fixture.results[0].response.error().code == ErrorCode::ConnectFailed);
}
