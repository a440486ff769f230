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

// Guards against a planned stop that cuts a request in flight (P7).
TEST_CASE("rolling restarts of all daemons under load lose no request")
{
  Deployment deployment({ .entries = 2,
                          .executors = 3,
                          .workers = 0,
                          .serviceTime = 20ms,
                          .noticePeriod = 500ms });
  REQUIRE(deployment.Start());
  REQUIRE(deployment.PublishNote(kNote).exit == 0);
  REQUIRE(WaitForVersion(deployment, 1));
  QuoteLoad load(deployment, kCallers);
  REQUIRE(load.WaitForMore(kRequests));
  for (auto* nodes : { &deployment.executorDaemons, &deployment.entries }) {
    for (auto& node : *nodes) {
      CAPTURE(node.name);
      node.process->Signal(SIGTERM);
      CHECK(node.process->WaitFor(60s) == 0);
      deployment.Restart(node);
      REQUIRE(load.WaitForMore(kRequests));
    }
  }
  load.Stop();
  CAPTURE(load.FirstRefusal());
  CHECK(load.lost.load() == 0);
  CHECK(load.refused.load() == 0);
}

// Guards against a target that gets work after it was lost (P6).
TEST_CASE("after an executor's daemon is killed requests go to the others")
{
  Deployment deployment({ .entries = 2, .executors = 3, .workers = 0 });
  REQUIRE(deployment.Start());
  REQUIRE(deployment.PublishNote(kNote).exit == 0);
  REQUIRE(WaitForVersion(deployment, 1));
  QuoteLoad load(deployment, kCallers);
  REQUIRE(load.WaitForMore(kRequests));
  deployment.executorDaemons[0].process->Kill();
  CHECK(load.WaitForMore(kRequests));
  // Idempotent requests that were under way are sent to another target.
  load.Stop();
  CAPTURE(load.FirstRefusal());
  CHECK(load.lost.load() == 0);
  CHECK(load.refused.load() == 0);
}

// Guards against a reservation that runs twice (P5) and against "not run" for
// one that may have run (P4).
TEST_CASE("a reservation whose executor's daemon dies is never run twice")
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
      [&] { return ExecutorRuns(deployment)[std::string(kBody)] > 0; });
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
  // Retries through the other entry: both daemons have lost their tables.
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
  CHECK(ExecutorRuns(deployment)[std::string(kBody)] == 1);
}

// Guards against a retry through another entry that runs a second time (P5).
TEST_CASE("a reservation that is sent again gets the answer of the first run")
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
    CHECK(ExecutorRuns(deployment)[body] == 1);
  }
}
