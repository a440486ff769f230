#include "Scenario.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace amaranthwind;
using namespace amaranthwind::endtoend;
using harness::Deployment;
using namespace std::chrono_literals;

namespace {

constexpr unsigned kCallers = 6;
constexpr unsigned kRequests = 100;

} // namespace

// Guards against a planned stop that interrupts a request in flight. A planned
// stop must interrupt no request.
TEST_CASE("a rolling restart of all daemons under load fails no request")
{
  Deployment deployment({ .entries = 2,
                          .executors = 3,
                          .workers = 0,
                          .serviceTime = 20ms,
                          .noticePeriod = 500ms });
  REQUIRE(deployment.Start());
  REQUIRE(deployment.PublishNote(kNote).exit == 0);
  REQUIRE(WaitForPolicyVersion(deployment, 1));
  QuoteLoad load(deployment, kCallers);
  REQUIRE(load.WaitForSuccesses(kRequests));
  for (auto* nodes : { &deployment.executorDaemons, &deployment.entries }) {
    for (auto& node : *nodes) {
      CAPTURE(node.name);
      node.process->Signal(SIGTERM);
      CHECK(node.process->WaitFor(60s) == 0);
      deployment.Restart(node);
      REQUIRE(load.WaitForSuccesses(kRequests));
    }
  }
  load.Stop();
  CAPTURE(load.FirstErrorResponse());
  CHECK(load.unanswered.load() == 0);
  CHECK(load.rejected.load() == 0);
}

// Guards against an entry that keeps sending requests to a lost target. A
// departing target gets no new work.
TEST_CASE("requests go to other executors after an executor's daemon is killed")
{
  Deployment deployment({ .entries = 2, .executors = 3, .workers = 0 });
  REQUIRE(deployment.Start());
  REQUIRE(deployment.PublishNote(kNote).exit == 0);
  REQUIRE(WaitForPolicyVersion(deployment, 1));
  QuoteLoad load(deployment, kCallers);
  REQUIRE(load.WaitForSuccesses(kRequests));
  deployment.executorDaemons[0].process->Kill();
  CHECK(load.WaitForSuccesses(kRequests));
  // Idempotent requests that were in flight are retried on another target.
  load.Stop();
  CAPTURE(load.FirstErrorResponse());
  CHECK(load.unanswered.load() == 0);
  CHECK(load.rejected.load() == 0);
}

// Guards against a second run of a non-idempotent request when its executor's
// daemon dies: it may run at most once. Also guards against reporting "not run"
// for a request that may have run: one refused as "not run" did not run.
TEST_CASE("a reservation whose executor's daemon dies runs at most once")
{
  Deployment deployment({ .entries = 2, .executors = 2, .workers = 0 });
  REQUIRE(deployment.Start());
  REQUIRE(deployment.PublishNote(kNote).exit == 0);
  constexpr std::string_view kBody = R"({"serviceMs":1500})";
  REQUIRE(Deployment::WaitUntil([&] {
    const auto result = deployment.Send(
      deployment.entries[0].http,
      Deployment::MakeRequest("lamps", "reservation", "{}", "warm-up"));
    return result.response.has_value() && result.response.value().status == 200;
  }));
  std::thread killer([&] {
    const bool isRunning = Deployment::WaitUntil(
      [&] { return CountRunsByBody(deployment)[std::string(kBody)] > 0; });
    if (isRunning) {
      for (auto& daemon : deployment.executorDaemons) {
        daemon.process->Kill();
        deployment.Restart(daemon);
      }
    }
  });
  const auto first = deployment.Send(
    deployment.entries[0].http,
    Deployment::MakeRequest("lamps", "reservation", kBody, "key-1"));
  killer.join();
  REQUIRE(first.response.has_value());
  CHECK(first.response.value().status == 504);
  const auto body = boost::json::parse(first.response.value().body);
  CHECK_FALSE(body.at("notRun").as_bool());
  // Retry through the other entry; both daemons lost their idempotency tables.
  for (unsigned attempt = 1; attempt <= 3; ++attempt) {
    CAPTURE(attempt);
    const auto retry = deployment.Send(
      deployment.entries[1].http,
      Deployment::MakeRequest("lamps", "reservation", kBody, "key-1", attempt));
    if (retry.response.has_value() && retry.response.value().status != 200) {
      const auto answer = boost::json::parse(retry.response.value().body);
      CHECK_FALSE(answer.at("notRun").as_bool());
    }
  }
  CHECK(CountRunsByBody(deployment)[std::string(kBody)] == 1);
}

// Guards against a retry through another entry that runs a second time. A
// non-idempotent request runs at most once.
TEST_CASE("a retried reservation gets the response of its first run")
{
  Deployment deployment({ .entries = 2, .executors = 3, .workers = 0 });
  REQUIRE(deployment.Start());
  REQUIRE(deployment.PublishNote(kNote).exit == 0);
  constexpr int kKeys = 20;
  for (int i = 0; i < kKeys; ++i) {
    CAPTURE(i);
    const std::string key = "key-" + std::to_string(i);
    const std::string body = "body " + key;
    for (unsigned attempt = 0; attempt < 4; ++attempt) {
      const auto& entry = deployment.entries[(i + attempt) % 2];
      CHECK(Deployment::WaitUntil([&] {
        const auto result = deployment.Send(
          entry.http,
          Deployment::MakeRequest("lamps", "reservation", body, key, attempt));
        return result.response.has_value() &&
               result.response.value().status == 200;
      }));
    }
    CHECK(CountRunsByBody(deployment)[body] == 1);
  }
}
