#pragma once

#include "amaranthwind/base/ManualClock.h"
#include "amaranthwind/scheduling/CellScheduler.h"

#include <string>
#include <variant>
#include <vector>

namespace amaranthwind::scheduling {

inline base::TargetId
WorkerName(int aWorker)
{
  return base::TargetId("w" + std::to_string(aWorker));
}

inline fleet::Target
MakeWorker(int aWorker, std::uint32_t aAccelerators = 8, int aPerRack = 3)
{
  fleet::Target target;
  target.id = WorkerName(aWorker);
  target.kind = fleet::TargetKind::Worker;
  target.zone = base::ZoneId("z");
  target.rack = base::RackId("r" + std::to_string(aWorker / aPerRack));
  target.resources = { aAccelerators, 64, 262144 };
  return target;
}

inline fleet::Shape
MakeShape(std::uint32_t aMembers,
          std::uint32_t aAccelerators,
          fleet::Adjacency aAdjacency = fleet::Adjacency::SameZone)
{
  return { aMembers, { aAccelerators, 1, 1024 }, aAdjacency };
}

inline policy::Account
MakeAccount(std::string_view aId,
            std::uint32_t aCount,
            const fleet::Shape& aShape)
{
  policy::Account account;
  account.id = base::AccountId(aId);
  if (aCount != 0) {
    account.guarantees.push_back({ base::ZoneId("z"), aCount, aShape });
  }
  return account;
}

struct JobOptions
{
  std::string_view account = "a";
  std::uint32_t maxRuns = 1;
  bool isPreemptible = false;
  std::uint32_t urgency = 0;
  base::Duration declared = std::chrono::minutes(10);
};

/**
 * A scheduler with a manual clock that records the effects of the last event.
 */
class SchedulerFixture
{
public:
  explicit SchedulerFixture(int aWorkers = 0)
    : scheduler(MakeSettings())
  {
    for (int worker = 0; worker < aWorkers; ++worker) {
      this->Send(WorkerJoined{ MakeWorker(worker) });
    }
  }

  static SchedulerSettings MakeSettings()
  {
    SchedulerSettings settings;
    settings.zone = base::ZoneId("z");
    settings.token = base::FencingToken(7);
    return settings;
  }

  void Send(const Event& aEvent)
  {
    this->effects.clear();
    this->scheduler.Handle(this->clock.Now(), aEvent, this->effects);
  }
  void Wait(base::Duration aTime)
  {
    this->clock.Advance(aTime);
    this->Send(Tick{});
  }

  static job::JobSpec MakeSpec(std::string_view aId,
                               const fleet::Shape& aShape,
                               const JobOptions& aOptions = {})
  {
    job::JobSpec spec;
    spec.id = base::JobId(aId);
    spec.account = base::AccountId(aOptions.account);
    spec.kind = base::WorkKindId("kind");
    spec.zone = base::ZoneId("z");
    spec.shape = aShape;
    spec.declaredRunTime = aOptions.declared;
    spec.maxRuns = aOptions.maxRuns;
    spec.isPreemptible = aOptions.isPreemptible;
    return spec;
  }
  void Submit(std::string_view aId,
              const fleet::Shape& aShape,
              const JobOptions& aOptions = {})
  {
    this->Send(
      JobSubmitted{ this->MakeSpec(aId, aShape, aOptions), aOptions.urgency });
  }
  void End(std::string_view aId,
           AttemptOutcome aOutcome = AttemptOutcome::Succeeded,
           std::uint32_t aAttempt = 1,
           int aFaultyWorker = -1)
  {
    this->Send(GangEnded{ { base::JobId(aId), base::Attempt(aAttempt) },
                          aOutcome,
                          aFaultyWorker < 0
                            ? std::nullopt
                            : std::optional(WorkerName(aFaultyWorker)) });
  }

  /** Returns the effects of type T from the last event. */
  template<typename T>
  std::vector<T> All() const
  {
    std::vector<T> found;
    for (const Effect& effect : this->effects) {
      if (const T* match = std::get_if<T>(&effect)) {
        found.push_back(*match);
      }
    }
    return found;
  }
  /** Returns the names of the jobs that the last event started. */
  std::vector<std::string> Started() const
  {
    std::vector<std::string> names;
    for (const StartGang& start : this->All<StartGang>()) {
      names.push_back(start.plan.gang.job.Text());
    }
    return names;
  }

  base::ManualClock clock;
  CellScheduler scheduler;
  std::vector<Effect> effects;
};

} // namespace amaranthwind::scheduling
