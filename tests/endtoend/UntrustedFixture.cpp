#include "UntrustedFixture.h"

#include "harness/Crowd.h"
#include "harness/ProcessUse.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>

namespace amaranthwind::endtoend {

using harness::PlatformDeployment;

namespace {

/** Few connections that send much. */
constexpr std::size_t kFewConnections = 8;
constexpr std::size_t kBytesOfEach = std::size_t{ 16 } * 1024 * 1024;

/** The process takes connections and bytes while its use is sampled. */
constexpr int kSamples = 20;
constexpr std::chrono::milliseconds kSampleInterval{ 50 };

constexpr std::string_view kJobId = "5c0e7a21d94b36f8";
constexpr std::string_view kBody = R"({"spec":"10","steps":[{"cpu":1}]})";

} // namespace

UntrustedFixture::UntrustedFixture()
{
  REQUIRE(this->deployment.Start());
}

Daemon
UntrustedFixture::At(Listener aListener)
{
  auto& scheduler = this->deployment.schedulers[0];
  auto& worker = this->deployment.workers[0];
  switch (aListener) {
    case Listener::Clients:
      return { scheduler.client, scheduler.process.get() };
    case Listener::Readiness:
      return { scheduler.ready, scheduler.process.get() };
    case Listener::SchedulerAdmin:
      return { scheduler.admin, scheduler.process.get() };
    case Listener::Peers:
      return { scheduler.inner, scheduler.process.get() };
    case Listener::AgentAdmin:
      return { worker.admin, worker.agent.get() };
    case Listener::Registration:
      break;
  }
  return { worker.registration, worker.agent.get() };
}

void
UntrustedFixture::CheckHolds(Listener aListener)
{
  const Daemon daemon = this->At(aListener);
  const pid_t pid = daemon.process->Pid();
  std::size_t descriptors = 0;
  for (int i = 0; i < kSamples; ++i) {
    REQUIRE_FALSE(daemon.process->WaitFor(kSampleInterval));
    descriptors = std::max(descriptors, harness::DescriptorsOf(pid));
  }
  CHECK(descriptors <= kMaxDescriptors);
  auto& scheduler = this->deployment.schedulers[0];
  // A client that is refused or cut off sends its request again.
  CHECK(PlatformDeployment::WaitUntil([&] {
    return this->deployment.Send(
             scheduler, "POST", kJobId, std::string(kBody)) == 200;
  }));
  CHECK(PlatformDeployment::WaitUntil(
    [&] { return this->deployment.State(scheduler, kJobId) == "completed"; }));
  CHECK(PlatformDeployment::WaitUntil(
    [&] { return this->deployment.ReadyStatus(scheduler) == 200; }));
  for (const Listener admin :
       { Listener::SchedulerAdmin, Listener::AgentAdmin }) {
    CHECK(PlatformDeployment::WaitUntil([&] {
      return this->deployment.Get(this->At(admin).address, "/live") == 200;
    }));
  }
  REQUIRE_FALSE(daemon.process->WaitFor(std::chrono::milliseconds(0)));
  CHECK(harness::PeakMemoryOf(pid) <= kMaxMemoryKiB);
}

void
UntrustedFixture::CheckFlood(Listener aListener,
                             std::string_view aHead,
                             std::string_view aRest)
{
  CAPTURE(static_cast<int>(aListener));
  harness::Crowd crowd(this->At(aListener).address, kFewConnections);
  crowd.Send(aHead, aRest, kBytesOfEach);
  this->CheckHolds(aListener);
}

void
UntrustedFixture::CheckHttpFlood(std::string_view aHead, std::string_view aRest)
{
  for (const Listener listener : kHttpListeners) {
    this->CheckFlood(listener, aHead, aRest);
  }
}

} // namespace amaranthwind::endtoend
