#include "amaranthwind/target/HttpWorkerClient.h"

#include "amaranthwind/frontend/HttpServer.h"
#include "amaranthwind/net/IoPool.h"
#include "standins/WorkerService.h"

#include <doctest/doctest.h>

#include <future>

using namespace amaranthwind;
using namespace amaranthwind::target;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
  Fixture()
    : client(pool, { .address = server.Listen("127.0.0.1:0").value() })
  {
  }
  ~Fixture()
  {
    this->server.Stop();
    this->pool.Stop();
  }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  base::Result<void> Start(const TaskSpec& aTask)
  {
    std::promise<base::Result<void>> result;
    this->client.Start(aTask, [&](const base::Result<void>& aResult) {
      result.set_value(aResult);
    });
    return result.get_future().get();
  }

  std::vector<WorkerTask> List()
  {
    std::promise<base::Result<std::vector<WorkerTask>>> result;
    this->client.List([&](const auto& aResult) { result.set_value(aResult); });
    return result.get_future().get().value();
  }

  net::IoPool pool{ 1 };
  standins::WorkerService worker{ 8 };
  frontend::HttpServer server{ pool, {}, worker };
  HttpWorkerClient client;
};

constexpr std::string_view kLongRun = R"({"runMs":3600000})";

} // namespace

TEST_CASE("a task is started, listed, renewed and stopped")
{
  Fixture fixture;
  const TaskSpec task{ "job.1.0", 8, std::string(kLongRun), "label", 1h };
  REQUIRE(fixture.Start(task).has_value());
  REQUIRE(fixture.List().size() == 1);
  CHECK(fixture.List()[0].id == task.id);
  CHECK(fixture.List()[0].state == TaskState::Running);
  CHECK(fixture.List()[0].accelerators == 8);
  CHECK(fixture.List()[0].label == "label");

  std::promise<bool> renewed;
  fixture.client.Renew(
    task.id, 2h, [&](auto aResult) { renewed.set_value(aResult.has_value()); });
  CHECK(renewed.get_future().get());

  std::promise<bool> stopped;
  fixture.client.Stop(task.id, false, [&](auto aResult) {
    stopped.set_value(aResult.has_value());
  });
  CHECK(stopped.get_future().get());
  CHECK(fixture.List()[0].state == TaskState::Stopped);
}

// Guards against treating a refusal as a started task.
TEST_CASE("a worker without capacity refuses with a typed error")
{
  Fixture fixture;
  REQUIRE(
    fixture.Start({ "a", 5, std::string(kLongRun), "label", 1h }).has_value());
  const auto refused =
    fixture.Start({ "b", 4, std::string(kLongRun), "label", 1h });
  REQUIRE(refused.has_error());
  CHECK(refused.error().code == base::ErrorCode::TargetFailed);
  CHECK(refused.error().subject == "worker status 409");
}
