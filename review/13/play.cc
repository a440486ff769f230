// While a partition of the store is silent a job gets no ack. Its client
// cancels it and is told that there is no such job. Then the job runs.

#include "rig-3/Play.h"

#include <iostream>
#include <optional>
#include <thread>

using namespace play;

namespace {

constexpr std::string_view kHost = "jobs.example";
constexpr std::string_view kPrefix = "/scoring/";
constexpr std::string_view kKey = "key-club";
constexpr std::string_view kJob = "00000000000000e0";
constexpr std::size_t kExecutors = 8;
/** How long the partition is silent. */
constexpr std::int64_t kSilenceMs = 3800;
constexpr std::int64_t kCancelMs = 3000;
/** From an answer that neither cancels nor denies the job to the next attempt.
 */
constexpr std::int64_t kAskAgainMs = 100;
constexpr std::size_t kMaxAttempts = 40;
/** Between two jobs; the site has 1.07 jobs a second. */
constexpr std::int64_t kPaceMs = 1000;
constexpr const char* kOtherBody =
  R"({"spec":"200","steps":[{"count":1,"cpu":1000,"mem-mb":64,"gpu":1,)"
  R"("estimate-ms":200}]})";
/** The second step begins when the first has been done for 6 s. */
constexpr const char* kBody =
  R"({"spec":"6000","steps":[{"count":1,"cpu":1000,"mem-mb":64,"gpu":1,)"
  R"("estimate-ms":6000},{"count":1,"cpu":1000,"mem-mb":64,"gpu":1,)"
  R"("estimate-ms":6000,"depends-on":[0]}]})";

} // namespace

int
main(int argc, char** argv)
{
  if (argc != 2) {
    return kCouldNotRun;
  }
  Play play(argv[1], 3, kExecutors);
  play.store.SetAnswerTime(std::chrono::milliseconds(4));
  play.Configure({ { "version", 1 },
                   { "routes", { MakeQueue("scoring", kHost, kPrefix, 1) } },
                   { "services", { { { "name", "planner" } } } },
                   { "tenants", { MakeTenant("club", kKey, 0) } } });
  if (!play.Start()) {
    return kCouldNotRun;
  }
  // Clients that don't give up: one of four does, a share of 0.25.
  for (const std::string_view id :
       { "00000000000000a0", "00000000000000a1", "00000000000000a2" }) {
    if (play
          .Ask(0,
               "POST",
               kHost,
               std::string(kPrefix) + std::string(id),
               kKey,
               kOtherBody)
          .status != 200) {
      return kCouldNotRun;
    }
    Sleep(kPaceMs);
  }
  const std::string path = std::string(kPrefix) + std::string(kJob);
  if (HasTrouble()) {
    play.storeFront.onUnanswered = [&](const std::string& aRequest) {
      play.Record("the store doesn't answer " + aRequest);
    };
    play.Record("the partition with the jobs is silent from now on");
    play.storeFront.isSilent = true;
  }
  const std::int64_t begin = play.NowMs();
  std::thread end;
  if (HasTrouble()) {
    end = std::thread([&] {
      Sleep(begin + kSilenceMs - play.NowMs());
      play.storeFront.isSilent = false;
      play.Record("the partition answers again");
    });
  }
  const Answer submitted = play.Ask(0, "POST", kHost, path, kKey, kBody);
  // The client doesn't want the job any more, and asks until it has an answer.
  std::optional<std::int64_t> cancelledAt;
  unsigned status = 0;
  for (std::size_t i = 1; !cancelledAt && i <= kMaxAttempts; ++i) {
    status =
      play.Ask(i % play.schedulers.size(), "DELETE", kHost, path, kKey).status;
    if (status == 200 || status == 410) {
      cancelledAt = play.NowMs();
    } else {
      Sleep(kAskAgainMs);
    }
  }
  if (end.joinable()) {
    end.join();
  }
  if (!cancelledAt) {
    return kCouldNotRun;
  }
  Sleep(20'000);
  play.Ask(1, "GET", kHost, path, kKey);
  play.RecordRuns();
  bool isBroken = false;
  for (const auto& side : play.sides) {
    for (const auto& entry : side.worker->History()) {
      using Event = amaranthwind::standins::PlatformWorker::RunEvent;
      const std::int64_t late = play.At(entry.at) - *cancelledAt;
      if (entry.runEvent == Event::Start && entry.task.starts_with(kJob) &&
          late > kCancelMs) {
        play.Record("UNASKED: " + entry.task + " run " +
                    std::to_string(entry.run) + " was started " +
                    std::to_string(late) +
                    " ms after the cancelling was answered with " +
                    std::to_string(status));
        isBroken = true;
      }
    }
  }
  std::cout << (isBroken ? "broken" : "held") << " POST " << submitted.status
            << " DELETE " << status << std::endl;
  return isBroken ? kBroken : kHeld;
}
