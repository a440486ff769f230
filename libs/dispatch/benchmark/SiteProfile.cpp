#include "FleetSimulation.h"

namespace amaranthwind::dispatch {

using namespace std::chrono_literals;

namespace {

KindProfile
HeavyGang()
{
  KindProfile kind;
  kind.name = "heavy";
  kind.urgency = 1;
  kind.value = 3;
  kind.lateValue = 0.9;
  kind.taskSpread = 0.3;
  kind.need = { 26'000, 140'000, 0 };
  kind.accelerators = { 1, 2, 4, 8, 8 };
  kind.stretch = 3;
  kind.slack = 1s;
  kind.isGang = true;
  kind.oneRackShare = 0.6;
  kind.checkpointShare = 0.45;
  kind.cancelShare = 0.05;
  kind.failShare = 0.05;
  return kind;
}

KindProfile
UrgentGang()
{
  KindProfile kind;
  kind.name = "urgent";
  kind.urgency = 0;
  kind.value = 4;
  kind.lateValue = 0.8;
  kind.taskSeconds = 2.5;
  kind.taskSpread = 0.5;
  kind.taskSecondsMax = 8;
  kind.need = { 7500, 22'000, 0 };
  kind.accelerators = { 1, 2, 4, 8, 8 };
  kind.stretch = 1.5;
  kind.slack = 250ms;
  kind.maxAttempts = 3;
  kind.isGang = true;
  kind.oneRackShare = 0.8;
  kind.failShare = 0.05;
  return kind;
}

KindProfile
Batch()
{
  KindProfile kind;
  kind.name = "batch";
  kind.urgency = 2;
  kind.value = 1;
  kind.lateValue = 0.3;
  kind.taskSpread = 0.3;
  kind.need = { 5600, 23'000, 0 };
  kind.accelerators = { 1 };
  kind.stretch = 3;
  kind.slack = 3s;
  kind.checkpointShare = 0.45;
  kind.cancelShare = 0.15;
  kind.failShare = 0.005;
  return kind;
}

SiteProfile
MakeSite(std::string_view aName, std::uint32_t aWorkers, std::uint32_t aRack)
{
  SiteProfile site;
  site.name = aName;
  site.workers = aWorkers;
  site.workersPerRack = aRack;
  site.kinds = { HeavyGang(), UrgentGang(), Batch() };
  return site;
}

void
SetArrivals(KindProfile& aKind,
            double aPerSecond,
            double aWidth,
            double aWidthMax,
            std::uint32_t aBacklog)
{
  aKind.jobsPerSecond = aPerSecond;
  aKind.width = aWidth;
  aKind.widthMax = aWidthMax;
  aKind.backlog = aBacklog;
}

void
SetTime(KindProfile& aKind, double aSeconds, double aMax)
{
  aKind.taskSeconds = aSeconds;
  aKind.taskSecondsMax = aMax;
}

} // namespace

SiteProfile
MakeBancosAndinos(bool aIsGrown)
{
  SiteProfile site = aIsGrown ? MakeSite("bancos-andinos-grown", 74, 8)
                              : MakeSite("bancos-andinos", 11, 3);
  site.stopTime = 900ms;
  site.restoreTime = 250ms;
  SetTime(site.kinds[0], 8.5, 11);
  SetTime(site.kinds[2], 7.6, 11);
  if (aIsGrown) {
    site.accounts = 10;
    SetArrivals(site.kinds[0], 0.742, 7.7, 46, 5);
    SetArrivals(site.kinds[1], 2.32, 5.4, 32, 0);
    SetArrivals(site.kinds[2], 0.43, 45, 230, 4);
  } else {
    SetArrivals(site.kinds[0], 0.407, 2, 7, 1);
    SetArrivals(site.kinds[1], 0.466, 3, 7, 0);
    SetArrivals(site.kinds[2], 0.196, 11, 34, 1);
  }
  site.bursts = { { 1, 1, 6, 2.2 }, { 0, 5, 4.5, 2.6 }, { 2, 12, 5, 2.0 } };
  return site;
}

SiteProfile
MakeRotaform(bool aIsGrown)
{
  SiteProfile site =
    aIsGrown ? MakeSite("rotaform-grown", 64, 8) : MakeSite("rotaform", 11, 3);
  site.stopTime = aIsGrown ? 200ms : 400ms;
  site.restoreTime = aIsGrown ? 600ms : 250ms;
  SetTime(site.kinds[0], aIsGrown ? 6.8 : 11, 14);
  SetTime(site.kinds[2], 6.1, 9);
  if (aIsGrown) {
    site.accounts = 10;
    SetArrivals(site.kinds[0], 1.02, 7, 42, 5);
    SetArrivals(site.kinds[1], 2.02, 5, 30, 0);
    SetArrivals(site.kinds[2], 0.667, 35, 200, 4);
  } else {
    SetArrivals(site.kinds[0], 0.365, 2, 7, 1);
    SetArrivals(site.kinds[1], 0.382, 3, 7, 0);
    SetArrivals(site.kinds[2], 0.275, 11, 34, 1);
  }
  site.bursts = { { 1, 1, 6, 2.2 }, { 0, 5, 4.5, 2.6 }, { 2, 12, 5, 2.0 } };
  return site;
}

} // namespace amaranthwind::dispatch
