// Places one gang using only the scheduling library, without a daemon or
// sockets.

#include <amaranthwind/scheduling/CellScheduler.h>

#include <iostream>
#include <string>

using namespace amaranthwind;

namespace {

fleet::Target
MakeWorker(int aNumber)
{
  fleet::Target worker;
  worker.id = base::TargetId("worker-" + std::to_string(aNumber));
  worker.kind = fleet::TargetKind::Worker;
  worker.zone = base::ZoneId("zone-a");
  worker.rack = base::RackId("rack-1");
  worker.resources = { .accelerators = 8, .cores = 64, .memoryMiB = 131072 };
  return worker;
}

job::JobSpec
MakeJob()
{
  job::JobSpec job;
  job.id = base::JobId("simulation");
  job.account = base::AccountId("lamps");
  job.kind = base::WorkKindId("die-profile");
  job.shape.members = 2;
  job.shape.perMember.accelerators = 8;
  job.shape.adjacency = fleet::Adjacency::SameRack;
  return job;
}

} // namespace

int
main()
{
  scheduling::SchedulerSettings settings;
  settings.zone = base::ZoneId("zone-a");
  scheduling::CellScheduler scheduler(settings);
  const base::TimePoint now{};
  std::vector<scheduling::Effect> effects;
  policy::Account account;
  account.id = base::AccountId("lamps");
  scheduler.Handle(now, scheduling::PolicyChanged{ { account } }, effects);
  for (int i = 1; i <= 3; ++i) {
    scheduler.Handle(now, scheduling::WorkerJoined{ MakeWorker(i) }, effects);
  }
  scheduler.Handle(now, scheduling::JobSubmitted{ MakeJob(), 0 }, effects);
  for (const auto& effect : effects) {
    if (const auto* start = std::get_if<scheduling::StartGang>(&effect)) {
      for (const auto& member : start->plan.members) {
        std::cout << start->plan.gang.job.View() << " on "
                  << member.worker.View() << "\n";
      }
      return 0;
    }
  }
  std::cerr << "the gang was not placed\n";
  return 1;
}
