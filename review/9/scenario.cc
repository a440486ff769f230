// CONFIG: a new route, after the store was silent for some seconds.

#include "Rig.h"

#include <thread>

using namespace review;

namespace {

/** The store answers nothing for so long. */
constexpr auto kSilence = 4500ms;
constexpr int kOutages = 4;
/** The operator's change is acknowledged so long after the store's return. */
constexpr auto kChangeAfter = 500ms;
/** contact-ms: calm machines are in touch so long after the store's return. */
constexpr auto kInTouchAfter = 3000ms;
/** config-apply-ms */
constexpr auto kInForceAfter = 2000ms;
constexpr auto kProbeTime = 3s;
constexpr auto kProbeInterval = 100ms;
/** Between two outages. */
constexpr auto kCalmTime = 8s;

int
Play(Record& aRecord)
{
  Rig rig({ .workers = 2 }, aRecord);
  if (!rig.Start()) {
    aRecord.Line("the deployment did not start");
    return kNotRun;
  }
  bool isBroken = false;
  for (int outage = 0; outage < kOutages && !isBroken; ++outage) {
    std::this_thread::sleep_for(kCalmTime);
    if (HasTrouble()) {
      aRecord.Line("the store is down and silent");
      rig.store.SetSilent(true);
      std::this_thread::sleep_for(kSilence);
      rig.store.SetSilent(false);
      aRecord.Line("the store is back");
    }
    const auto backAt = Clock::now();
    std::this_thread::sleep_for(kChangeAfter);
    const std::string prefix = "/new" + std::to_string(outage) + "/";
    rig.AddRoute(prefix);
    const auto ackedAt = Clock::now();
    aRecord.Line("acknowledged: a desired state with the route " + prefix);
    std::this_thread::sleep_until(
      std::max(backAt + kInTouchAfter, ackedAt + kInForceAfter) + 50ms);
    const auto until = Clock::now() + kProbeTime;
    while (Clock::now() < until && !isBroken) {
      for (const auto& each : rig.schedulers) {
        isBroken =
          isBroken || rig.Send(each, "GET", "", {}, prefix).status == 404;
      }
      std::this_thread::sleep_for(kProbeInterval);
    }
  }
  return isBroken ? kBroken : kHeld;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunCase(aCount, aArguments, Play);
}
