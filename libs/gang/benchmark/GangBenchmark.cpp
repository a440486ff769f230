#include "amaranthwind/gang/GangCoordinator.h"
#include "amaranthwind/gang/GangMember.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <cstdlib>
#include <deque>
#include <functional>
#include <new>
#include <string>

using namespace amaranthwind;
using namespace amaranthwind::gang;

namespace {

const Fence kFence{ base::ZoneId("tw-north-1"), base::FencingToken(10) };
constexpr base::TimePoint kStart{ std::chrono::hours(1) };

std::shared_ptr<const job::GangPlan>
MakePlan(std::size_t aSize, std::size_t aJob = 0)
{
  auto plan = std::make_shared<job::GangPlan>();
  plan->gang = { base::JobId("job-" + std::to_string(aJob)), base::Attempt(1) };
  plan->token = kFence.token;
  for (std::size_t rank = 0; rank < aSize; ++rank) {
    plan->members.push_back({ base::TargetId("worker-" + std::to_string(rank)),
                              "10.0.0.1:7400",
                              { 1, 1, 1 } });
  }
  return plan;
}

/** Brings a gang to Running on the coordinator. */
void
RunOnCoordinator(GangCoordinator& aCoordinator,
                 const std::shared_ptr<const job::GangPlan>& aPlan)
{
  const AttemptKey key = KeyOf(*aPlan);
  benchmark::DoNotOptimize(aCoordinator.Handle(kStart, StartGang{ aPlan }));
  for (Rank rank = 0; rank < aPlan->members.size(); ++rank) {
    benchmark::DoNotOptimize(
      aCoordinator.Handle(kStart, Promise{ key, rank, std::nullopt }));
  }
  benchmark::DoNotOptimize(
    aCoordinator.Handle(kStart, DecisionConfirmed{ key }));
  benchmark::DoNotOptimize(aCoordinator.Handle(kStart, GangStarted{ key }));
}

/** Brings a gang to Running on rank 0. */
void
RunOnFirstRank(GangMember& aMember,
               const std::shared_ptr<const job::GangPlan>& aPlan)
{
  const AttemptKey key = KeyOf(*aPlan);
  const auto handle = [&](const MemberEvent& aEvent) {
    benchmark::DoNotOptimize(aMember.Handle(kStart, aEvent));
  };
  handle(Prepare{ kFence, aPlan, 0 });
  handle(Commit{ kFence, key, 0 });
  for (Rank rank = 1; rank < aPlan->members.size(); ++rank) {
    handle(Committed{ key, rank });
  }
  handle(TaskStarted{ key });
  for (Rank rank = 1; rank < aPlan->members.size(); ++rank) {
    handle(MemberHeartbeat{ key,
                            rank,
                            1,
                            1,
                            MemberPhase::Running,
                            MemberResult::None,
                            std::chrono::hours(1) });
  }
}

/**
 * Bytes in use, counted by the operators new and delete below. Free memory that
 * malloc caches is not included.
 */
std::size_t heapBytes = 0;

/** Returns the heap bytes per gang after aFill has created aCount gangs. */
double
HeapBytesPerGang(std::size_t aCount, const std::function<void()>& aFill)
{
  const std::size_t before = heapBytes;
  aFill();
  return double(heapBytes - before) / double(aCount);
}

/** Full life cycle of a gang on the coordinator, excluding plan creation. */
void
CoordinatorGang(benchmark::State& aState)
{
  const auto plan = MakePlan(std::size_t(aState.range(0)));
  const AttemptKey key = KeyOf(*plan);
  const GangEnded ended{ key,
                         true,
                         std::vector(plan->members.size(),
                                     MemberResult::Succeeded),
                         {},
                         {} };
  GangCoordinator coordinator(kFence);
  for (auto _ : aState) {
    RunOnCoordinator(coordinator, plan);
    benchmark::DoNotOptimize(coordinator.Handle(kStart, ended));
    benchmark::DoNotOptimize(coordinator.Handle(kStart, EndConfirmed{ key }));
  }
  // Includes the plan: it is shared with the scheduler, but kept alive as long
  // as the gang runs.
  constexpr std::size_t kGangs = 100;
  GangCoordinator filled(kFence);
  aState.counters["bytes"] = HeapBytesPerGang(kGangs, [&] {
    for (std::size_t index = 0; index < kGangs; ++index) {
      RunOnCoordinator(filled, MakePlan(plan->members.size(), index));
    }
  });
  aState.SetComplexityN(aState.range(0));
}

/** One Tick of a coordinator with N running gangs. */
void
CoordinatorTick(benchmark::State& aState)
{
  GangCoordinator coordinator(kFence);
  for (std::size_t index = 0; index < std::size_t(aState.range(0)); ++index) {
    RunOnCoordinator(coordinator, MakePlan(1, index));
  }
  for (auto _ : aState) {
    benchmark::DoNotOptimize(coordinator.Handle(kStart, Tick{}));
    benchmark::DoNotOptimize(coordinator.NextDeadline());
  }
  aState.SetComplexityN(aState.range(0));
}

/** Start of a gang on its first rank, with a new GangMember in each iteration.
 */
void
FirstRankStart(benchmark::State& aState)
{
  const auto plan = MakePlan(std::size_t(aState.range(0)));
  for (auto _ : aState) {
    GangMember member(base::TargetId("worker-0"), { 8, 64, 1024 });
    RunOnFirstRank(member, plan);
  }
  constexpr std::size_t kGangs = 8;
  GangMember filled(base::TargetId("worker-0"), { 8, 64, 1024 });
  aState.counters["bytes"] = HeapBytesPerGang(kGangs, [&] {
    for (std::size_t index = 0; index < kGangs; ++index) {
      RunOnFirstRank(filled, MakePlan(plan->members.size(), index));
    }
  });
  aState.SetComplexityN(aState.range(0));
}

/** One heartbeat from the first rank to all members, including their replies.
 */
void
FirstRankHeartbeat(benchmark::State& aState)
{
  const auto plan = MakePlan(std::size_t(aState.range(0)));
  GangMember member(base::TargetId("worker-0"), { 8, 64, 1024 });
  RunOnFirstRank(member, plan);
  base::TimePoint now = kStart;
  for (auto _ : aState) {
    now += std::chrono::milliseconds(500);
    benchmark::DoNotOptimize(member.Handle(now, Tick{}));
    const auto ticks = std::uint64_t(now.time_since_epoch().count());
    for (Rank rank = 1; rank < plan->members.size(); ++rank) {
      benchmark::DoNotOptimize(
        member.Handle(now,
                      MemberHeartbeat{ KeyOf(*plan),
                                       rank,
                                       ticks,
                                       ticks,
                                       MemberPhase::Running,
                                       MemberResult::None,
                                       std::chrono::hours(1) }));
    }
  }
  aState.SetComplexityN(aState.range(0));
}

/** Starts a gang and counts the messages until all tasks are running. */
class StartCounter
{
public:
  explicit StartCounter(std::size_t aSize)
    : plan(MakePlan(aSize))
    , coordinator(kFence)
  {
    for (const auto& member : this->plan->members) {
      this->members.emplace_back(member.worker,
                                 fleet::Resources{ 8, 64, 1024 });
    }
  }

  void Run()
  {
    this->DeliverToCoordinator(StartGang{ this->plan });
    while (!this->queue.empty()) {
      const auto action = std::move(this->queue.front());
      this->queue.pop_front();
      action();
    }
  }

  std::size_t fromCoordinator = 0;
  std::size_t toCoordinator = 0;
  std::size_t betweenMembers = 0;
  bool hasStarted = false;

private:
  std::size_t IndexOf(const base::TargetId& aWorker) const
  {
    return std::stoul(aWorker.Text().substr(7)); // After "worker-".
  }

  void DeliverToCoordinator(const CoordinatorEvent& aEvent)
  {
    for (const auto& effect : this->coordinator.Handle(kStart, aEvent)) {
      if (const auto* send = std::get_if<SendToMember>(&effect)) {
        ++this->fromCoordinator;
        std::visit(
          [&](const auto& aMessage) {
            this->queue.emplace_back(
              [this, index = this->IndexOf(send->worker), aMessage] {
                this->DeliverToMember(index, aMessage);
              });
          },
          send->message);
      } else if (const auto* write = std::get_if<WriteDecision>(&effect)) {
        this->queue.emplace_back([this, key = write->key] {
          this->DeliverToCoordinator(DecisionConfirmed{ key });
        });
      } else {
        this->hasStarted =
          this->hasStarted || std::holds_alternative<AttemptStarted>(effect);
      }
    }
  }

  void DeliverToMember(std::size_t aIndex, const MemberEvent& aEvent)
  {
    for (const auto& effect : this->members[aIndex].Handle(kStart, aEvent)) {
      if (const auto* report = std::get_if<SendToCoordinator>(&effect)) {
        ++this->toCoordinator;
        std::visit(
          [&](const auto& aMessage) {
            this->queue.emplace_back(
              [this, aMessage] { this->DeliverToCoordinator(aMessage); });
          },
          report->message);
      } else if (const auto* send = std::get_if<SendToPeer>(&effect)) {
        ++this->betweenMembers;
        std::visit(
          [&](const auto& aMessage) {
            this->queue.emplace_back(
              [this, index = this->IndexOf(send->worker), aMessage] {
                this->DeliverToMember(index, aMessage);
              });
          },
          send->message);
      } else if (const auto* start = std::get_if<StartTask>(&effect)) {
        this->queue.emplace_back([this, aIndex, key = start->key] {
          this->DeliverToMember(aIndex, TaskStarted{ key });
        });
      }
    }
  }

  std::shared_ptr<const job::GangPlan> plan;
  GangCoordinator coordinator;
  std::deque<GangMember> members;
  std::deque<std::function<void()>> queue;
};

/** Start of a gang across the coordinator and all members. */
void
WholeStart(benchmark::State& aState)
{
  for (auto _ : aState) {
    StartCounter counter(std::size_t(aState.range(0)));
    counter.Run();
    if (!counter.hasStarted) {
      aState.SkipWithError("the gang did not start");
      break;
    }
    aState.counters["from_coordinator"] = double(counter.fromCoordinator);
    aState.counters["to_coordinator"] = double(counter.toCoordinator);
    aState.counters["between_members"] = double(counter.betweenMembers);
  }
  aState.SetComplexityN(aState.range(0));
}

} // namespace

void*
operator new(std::size_t aSize)
{
  void* const block = std::malloc(aSize);
  if (block == nullptr) {
    throw std::bad_alloc();
  }
  heapBytes += malloc_usable_size(block);
  return block;
}

void
operator delete(void* aBlock) noexcept
{
  heapBytes -= malloc_usable_size(aBlock);
  std::free(aBlock);
}

void
operator delete(void* aBlock, std::size_t) noexcept
{
  operator delete(aBlock);
}

BENCHMARK(CoordinatorGang)->RangeMultiplier(4)->Range(1, 256)->Complexity();
BENCHMARK(CoordinatorTick)->RangeMultiplier(4)->Range(16, 1024)->Complexity();
BENCHMARK(FirstRankStart)->RangeMultiplier(4)->Range(1, 256)->Complexity();
BENCHMARK(FirstRankHeartbeat)->RangeMultiplier(4)->Range(1, 256)->Complexity();
BENCHMARK(WholeStart)->RangeMultiplier(4)->Range(1, 256)->Complexity();
BENCHMARK_MAIN();
