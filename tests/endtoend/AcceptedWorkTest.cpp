// Work that was accepted: a process keeps within the memory of its VM however
// much work it is sent, and so does the one that takes over from the log.

#include "harness/PlatformDeployment.h"
#include "harness/ProcessUse.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <string_view>
#include <vector>

using namespace amaranthwind;
using harness::PlatformDeployment;

namespace {

/** Memory of the smallest VM of a scheduler: 120 MB. */
constexpr std::size_t kVmMemoryKiB = std::size_t{ 120 } * 1000 * 1000 / 1024;
constexpr std::size_t kJobs = 200;
constexpr std::size_t kSteps = 256;
constexpr std::size_t kManyTasks = 255;
constexpr std::size_t kFewTasks = 8;
constexpr std::string_view kOrdinaryJob = "5c0e7a21d94b36f8";
constexpr std::string_view kOrdinaryBody =
  R"({"spec":"10","steps":[{"cpu":1}]})";

std::string
MakeJobId(std::size_t aNumber)
{
  constexpr std::size_t kFirst = 1'000'000'000'000'000;
  return std::to_string(kFirst + aNumber);
}

/** A job of kSteps steps with the given number of tasks each. */
std::string
MakeJobBody(std::size_t aTasks, std::string_view aNeed)
{
  std::string body = R"({"spec":"600000","steps":[)";
  for (std::size_t i = 0; i < kSteps; ++i) {
    body += i == 0 ? "" : ",";
    body += R"({"count":)" + std::to_string(aTasks);
    body += R"(,"estimate-ms":900)";
    body += aNeed;
    body += "}";
  }
  return body + "]}";
}

struct Fixture
{
  Fixture() { REQUIRE(this->deployment.Start()); }

  /** Submits the job again and again, and notes which ids were accepted. */
  void Submit(const std::string& aBody, std::string_view aKey)
  {
    for (std::size_t i = 0; i < kJobs; ++i) {
      const std::string id = MakeJobId(this->submitted++);
      const unsigned status =
        this->deployment.Send(this->Scheduler(), "POST", id, aBody, aKey);
      CAPTURE(id);
      // Nothing else may be said of a job that was not accepted.
      const bool isKnown = status == 200 || status == 429 || status == 503;
      CHECK(isKnown);
      if (status == 200) {
        this->accepted.push_back(id);
      }
    }
  }

  void CheckHolds()
  {
    REQUIRE_FALSE(
      this->Scheduler().process->WaitFor(std::chrono::milliseconds(0)));
    CHECK(PlatformDeployment::WaitUntil(
      [&] { return this->deployment.ReadyStatus(this->Scheduler()) == 200; }));
    // Each job that was accepted is known.
    for (const auto& id : this->accepted) {
      CAPTURE(id);
      CHECK(PlatformDeployment::WaitUntil([&] {
        return !this->deployment.State(this->Scheduler(), id).empty();
      }));
    }
    // Another client account is served.
    CHECK(PlatformDeployment::WaitUntil([&] {
      return this->deployment.Send(this->Scheduler(),
                                   "POST",
                                   kOrdinaryJob,
                                   std::string(kOrdinaryBody),
                                   PlatformDeployment::kThirdKey) == 200;
    }));
    CHECK(PlatformDeployment::WaitUntil([&] {
      return !this->deployment
                .State(this->Scheduler(),
                       kOrdinaryJob,
                       PlatformDeployment::kThirdKey)
                .empty();
    }));
    CHECK(harness::SettledPeakMemoryOf(this->Scheduler().process->Pid()) <=
          kVmMemoryKiB);
    REQUIRE_FALSE(
      this->Scheduler().process->WaitFor(std::chrono::milliseconds(0)));
  }

  PlatformDeployment::Scheduler& Scheduler()
  {
    return this->deployment.schedulers[0];
  }

  /** Two client accounts submit what they can. */
  void CheckAcceptedWork(std::string_view aNeed)
  {
    for (const std::string_view key :
         { PlatformDeployment::kKey, PlatformDeployment::kSecondKey }) {
      this->Submit(MakeJobBody(kManyTasks, aNeed), key);
      this->Submit(MakeJobBody(kFewTasks, aNeed), key);
    }
    // A single job within the limits is served.
    REQUIRE_FALSE(this->accepted.empty());
    CHECK(this->accepted.front() == MakeJobId(0));
    this->CheckHolds();
    // The next process reads what was accepted from the log.
    this->Scheduler().process->Kill();
    this->deployment.StartScheduler(this->Scheduler());
    this->CheckHolds();
  }

  PlatformDeployment deployment{ 1, 1 };
  std::size_t submitted = 0;
  std::vector<std::string> accepted;
};

} // namespace

// Guards against accepted jobs whose tasks exceed the memory together.
TEST_CASE("accepted work: jobs of many tasks")
{
  Fixture fixture;
  fixture.CheckAcceptedWork(R"(,"cpu":1000,"gpu":1)");
}

// Guards against tasks that need nothing and are all placed at once, so that
// each has a record, an order and a run.
TEST_CASE("accepted work: jobs of many tasks that need no resources")
{
  Fixture fixture;
  fixture.CheckAcceptedWork("");
}
