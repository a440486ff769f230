#include "amaranthwind/admission/AdmissionQueue.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <optional>
#include <tuple>

namespace amaranthwind::admission {

using base::ErrorCode;

namespace {

/** Cost that a caller may dispatch per round. */
constexpr std::uint32_t kQuantum = 1;
constexpr std::uint32_t kMaxCost = 100;
// The newest interval has weight 1/8; the estimate is used after 8 intervals.
// In simulated overload, a weight of 1/64 refuses as many requests late.
constexpr std::uint32_t kIntervalSmoothing = 8;
// Safety margin of 1/8 of the expected wait. Under overload the expected wait
// of an accepted request is just below the limit, and the actual wait varies
// around it. In simulated overload, 16% of the accepted quotes are refused only
// after the full wait without the margin, and 11% with it.
constexpr std::int64_t kWaitMarginDivisor = 8;

// Window in which floor usage counts as recent. In simulation with windows
// of 0.3 s, 0.5 s and 1 s, an overloading kind with a service time of 3 s
// completes 500, 447 and 397 requests, while the worst p99 of the other kinds
// is 1.43, 1.06 and 1.02 times its value without overload.
constexpr base::Duration kUsageWindow = std::chrono::milliseconds(500);
// Floor slots are lent while the expected time to the next release is at most
// half of the owner's service time. The owner waits for about one release, so
// its p99 latency then stays within 1.5 times the value without overload.
constexpr std::int64_t kReclaimDelayDivisor = 2;
// Delay before withheld slots are considered for lending again.
constexpr base::Duration kLendRecheckInterval = std::chrono::milliseconds(100);

std::uint32_t
CostOf(const Request& aRequest)
{
  return std::clamp(aRequest.cost, 1U, kMaxCost);
}

base::Error
MakeError(ErrorCode aCode, std::string_view aSubject)
{
  return { aCode, std::string(aSubject) };
}

/** Ranks after every account or kind that is below its floor. */
constexpr double kFloorReachedRatio = std::numeric_limits<double>::max();

/** Slots in use relative to the share; lower is served first. */
double
Ratio(std::uint32_t aInUse, std::uint32_t aShare)
{
  return static_cast<double>(aInUse) / static_cast<double>(aShare);
}

} // namespace

AdmissionQueue::AdmissionQueue(CapacityGate& aGate,
                               std::unique_ptr<const ShareSnapshot> aShares,
                               QueueOptions aOptions)
  : gate(aGate)
  , options(aOptions)
{
  this->ResetShares(std::move(aShares));
}

void
AdmissionQueue::ResetShares(std::unique_ptr<const ShareSnapshot> aShares)
{
  this->shares = std::move(aShares);
  const std::size_t accounts = this->shares->Accounts().size();
  const std::size_t kinds = this->shares->Kinds().size();
  this->classes = std::vector<ClassQueue>(accounts * kinds);
  this->waitingByClass.assign(accounts * kinds, 0);
  this->accountUsages.assign(accounts, {});
  this->kindUsages.assign(kinds, {});
  this->peakByKind.assign(kinds, {});
}

AdmissionQueue::~AdmissionQueue()
{
  this->gate.SetWaiting(0);
}

const AccountShare&
AdmissionQueue::AccountOf(std::size_t aClass) const
{
  return this->shares->Accounts()[aClass / this->shares->Kinds().size()];
}

const KindShare&
AdmissionQueue::KindOf(std::size_t aClass) const
{
  return this->shares->Kinds()[aClass % this->shares->Kinds().size()];
}

base::Duration
AdmissionQueue::ServiceTime(std::size_t aClass) const
{
  return this->ServiceTimeOf(this->KindOf(aClass));
}

base::Duration
AdmissionQueue::ServiceTimeOf(const KindShare& aKind) const
{
  const std::uint32_t micros = aKind.usage->meanServiceMicros.load();
  return micros == 0 ? this->options.assumedService
                     : base::Duration(std::chrono::microseconds(micros));
}

base::Duration
AdmissionQueue::DispatchInterval(std::size_t aClass, base::TimePoint aNow) const
{
  const ClassQueue& queue = this->classes[aClass];
  if (this->waitingByClass[aClass] > 0 &&
      queue.intervals >= kIntervalSmoothing) {
    return std::max(queue.interval, aNow - queue.lastDispatch);
  }
  const KindShare& kindShare = this->KindOf(aClass);
  if (this->gate.IsBelowPercent(kindShare.usage->inUse.load(),
                                kindShare.floorPercent)) {
    // A kind below its floor receives the next slot released by any request.
    double perSecond = 0;
    for (const KindShare& other : this->shares->Kinds()) {
      perSecond +=
        other.usage->inUse.load() /
        std::chrono::duration<double>(this->ServiceTimeOf(other)).count();
    }
    return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(perSecond == 0 ? 0 : 1 / perSecond));
  }
  // Too few dispatches for an estimate: assume that the slots of the account
  // and of the kind are distributed independently and that the class has at
  // least one slot.
  const std::uint64_t account = this->AccountOf(aClass).usage->inUse.load();
  const std::uint64_t kind = kindShare.usage->inUse.load();
  const std::uint64_t all = std::max(this->gate.InUse(), 1U);
  const std::uint64_t slots = std::max<std::uint64_t>(account * kind / all, 1);
  return this->ServiceTime(aClass) / static_cast<std::int64_t>(slots);
}

base::Duration
AdmissionQueue::ExpectedWait(std::size_t aClass,
                             const base::CallerId& aCaller,
                             base::TimePoint aNow) const
{
  const ClassQueue& queue = this->classes[aClass];
  auto known = queue.byCaller.find(aCaller);
  std::size_t ahead = 0;
  if (known == queue.byCaller.end()) {
    ahead = queue.newCallers.size() + 1;
  } else {
    // Round robin serves every active caller once per request of this caller.
    ahead = (known->second->waiting.size() + 1) * queue.activeCallers;
  }
  return this->DispatchInterval(aClass, aNow) *
         static_cast<std::int64_t>(
           std::min<std::size_t>(this->waitingByClass[aClass], ahead) + 1);
}

base::Duration
AdmissionQueue::RetryAfter(base::Duration aExcess) const
{
  return std::clamp(
    aExcess, this->options.minRetryAfter, this->options.maxRetryAfter);
}

base::Result<std::size_t>
AdmissionQueue::FindClass(const Request& aRequest) const
{
  const AccountShare* account =
    this->shares->FindAccount(aRequest.account.View());
  if (account == nullptr) {
    return base::Fail(ErrorCode::UnknownAccount, aRequest.account.View());
  }
  const KindShare* kind = this->shares->FindKind(aRequest.kind.View());
  if (kind == nullptr) {
    return base::Fail(ErrorCode::UnknownKind, aRequest.kind.View());
  }
  const auto accountIndex =
    static_cast<std::size_t>(account - this->shares->Accounts().data());
  const auto kindIndex =
    static_cast<std::size_t>(kind - this->shares->Kinds().data());
  return accountIndex * this->shares->Kinds().size() + kindIndex;
}

base::TimePoint
AdmissionQueue::Expiry(std::size_t aClass, const Request& aRequest) const
{
  // The service time is an estimate. If requests were refused whenever it
  // exceeds the deadline, no request would run and correct the estimate.
  const base::Duration service = std::min(
    this->ServiceTime(aClass), (aRequest.deadline - aRequest.arrival) / 2);
  return std::min(aRequest.arrival + this->KindOf(aClass).queueLimit,
                  aRequest.deadline - service);
}

Effects
AdmissionQueue::Submit(const Request& aRequest, base::TimePoint aNow)
{
  Effects effects;
  this->RefuseExpired(aNow, effects);
  auto refuse = [&](ErrorCode aCode, base::Duration aRetryAfter) {
    effects.emplace_back(Refuse{
      aRequest.id, MakeError(aCode, aRequest.kind.View()), aRetryAfter });
  };
  const auto index = this->FindClass(aRequest);
  if (!index.has_value()) {
    effects.emplace_back(Refuse{ aRequest.id, index.error(), {} });
  } else if (this->byId.contains(aRequest.id)) {
    refuse(ErrorCode::DuplicateKey, {});
  } else if (aRequest.deadline <= aNow) {
    refuse(ErrorCode::QueueTimeout, {});
  } else {
    const bool mustWait =
      !this->byId.empty() || this->gate.InUse() >= this->gate.Capacity();
    const base::Duration wait =
      mustWait ? this->ExpectedWait(index.value(), aRequest.caller, aNow)
               : base::Duration::zero();
    const base::TimePoint expiry = this->Expiry(index.value(), aRequest);
    const base::TimePoint latest = aNow + wait + wait / kWaitMarginDivisor;
    if (mustWait && latest > expiry) {
      refuse(ErrorCode::QueueFull, this->RetryAfter(latest - expiry));
    } else if (!this->MakeRoom(index.value(), aRequest.caller, aNow, effects)) {
      refuse(ErrorCode::QueueFull, this->RetryAfter(wait));
    } else {
      this->Enqueue(index.value(), aRequest, expiry, aNow);
    }
  }
  this->DispatchReady(aNow, effects);
  return effects;
}

Effects
AdmissionQueue::Requeue(const Request& aRequest, base::TimePoint aNow)
{
  Effects effects;
  const auto index = this->FindClass(aRequest);
  if (!index.has_value()) {
    effects.emplace_back(Refuse{ aRequest.id, index.error(), {} });
  } else if (!this->byId.contains(aRequest.id)) {
    this->Enqueue(index.value(),
                  aRequest,
                  this->Expiry(index.value(), aRequest),
                  aNow,
                  true);
  }
  this->RefuseExpired(aNow, effects);
  this->gate.SetWaiting(static_cast<std::uint32_t>(this->byId.size()));
  return effects;
}

bool
AdmissionQueue::MakeRoom(std::size_t aClass,
                         const base::CallerId& aCaller,
                         base::TimePoint aNow,
                         Effects& aEffects)
{
  ClassQueue& queue = this->classes[aClass];
  // Each class has its own share of the queue memory, so that one overloaded
  // class cannot exhaust the space of the others.
  const std::size_t classLimit =
    std::max<std::size_t>(this->options.maxWaiting / this->classes.size(), 1);
  if (this->waitingByClass[aClass] < classLimit) {
    return true;
  }
  auto longest = queue.byCaller.end();
  std::size_t length = 0;
  for (auto item = queue.byCaller.begin(); item != queue.byCaller.end();
       ++item) {
    if (item->second->waiting.size() > length) {
      longest = item;
      length = item->second->waiting.size();
    }
  }
  auto own = queue.byCaller.find(aCaller);
  const std::size_t ownLength =
    own == queue.byCaller.end() ? 0 : own->second->waiting.size();
  if (ownLength + 1 >= length) {
    return false;
  }
  const RequestId last = longest->second->waiting.back().request.id;
  aEffects.emplace_back(
    Refuse{ last,
            MakeError(ErrorCode::QueueFull, this->KindOf(aClass).id.View()),
            this->RetryAfter(
              this->ExpectedWait(aClass, longest->second->caller, aNow)) });
  this->Remove(last);
  return true;
}

void
AdmissionQueue::Enqueue(std::size_t aClass,
                        const Request& aRequest,
                        base::TimePoint aExpiry,
                        base::TimePoint aNow,
                        bool aAtFront)
{
  ClassQueue& queue = this->classes[aClass];
  if (this->waitingByClass[aClass] == 0) {
    queue.lastDispatch = aNow;
    queue.interval = {};
    queue.intervals = 0;
  }
  auto known = queue.byCaller.find(aRequest.caller);
  if (known == queue.byCaller.end()) {
    queue.newCallers.push_back(CallerQueue{
      .caller = aRequest.caller, .waiting = {}, .deficit = kQuantum });
    known =
      queue.byCaller.emplace(aRequest.caller, std::prev(queue.newCallers.end()))
        .first;
  }
  auto caller = known->second;
  queue.activeCallers += caller->waiting.empty() ? 1 : 0;
  auto queued = caller->waiting.insert(aAtFront ? caller->waiting.begin()
                                                : caller->waiting.end(),
                                       QueuedRequest{ aRequest, aExpiry });
  this->byId.emplace(aRequest.id, QueuePosition{ aClass, caller, queued });
  this->byExpiry.emplace(aExpiry, aRequest.id);
  ++this->waitingByClass[aClass];
}

AdmissionQueue::QueuedRequest
AdmissionQueue::Remove(RequestId aId)
{
  auto found = this->byId.find(aId);
  const QueuePosition position = found->second;
  this->byId.erase(found);
  ClassQueue& queue = this->classes[position.classIndex];
  QueuedRequest queued = std::move(*position.queued);
  position.caller->waiting.erase(position.queued);
  this->byExpiry.erase({ queued.expiry, aId });
  --this->waitingByClass[position.classIndex];
  queue.activeCallers -= position.caller->waiting.empty() ? 1 : 0;
  // A caller that was served in this round stays in the round with an empty
  // queue until its next turn. Otherwise it would immediately return as new.
  if (position.caller->waiting.empty() && position.caller->isNew) {
    queue.byCaller.erase(position.caller->caller);
    queue.newCallers.erase(position.caller);
  }
  if (this->waitingByClass[position.classIndex] == 0) {
    queue.byCaller.clear();
    queue.newCallers.clear();
    queue.oldCallers.clear();
  }
  return queued;
}

std::size_t
AdmissionQueue::ChooseClass()
{
  const auto accounts = this->shares->Accounts();
  const auto kinds = this->shares->Kinds();
  for (std::size_t i = 0; i < accounts.size(); ++i) {
    const std::uint32_t inUse = accounts[i].usage->inUse.load();
    const bool isBelowFloor =
      this->gate.IsBelowPercent(inUse, accounts[i].floorPercent);
    this->accountUsages[i] = { isBelowFloor,
                               isBelowFloor
                                 ? Ratio(inUse, accounts[i].floorPercent)
                                 : kFloorReachedRatio,
                               Ratio(inUse, accounts[i].weight) };
  }
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    const std::uint32_t inUse = kinds[i].usage->inUse.load();
    const bool isBelowFloor =
      this->gate.IsBelowPercent(inUse, kinds[i].floorPercent);
    this->kindUsages[i] = { isBelowFloor,
                            isBelowFloor ? Ratio(inUse, kinds[i].floorPercent)
                                         : kFloorReachedRatio,
                            0 };
  }
  // Lower ranks are served first.
  using Rank = std::tuple<int, double, double, double, std::uint32_t>;
  std::optional<Rank> best;
  std::size_t chosen = 0;
  std::size_t index = 0;
  for (const ShareUsage& account : this->accountUsages) {
    for (std::size_t i = 0; i < kinds.size(); ++i, ++index) {
      if (this->waitingByClass[index] == 0) {
        continue;
      }
      const ShareUsage& kind = this->kindUsages[i];
      const std::uint32_t urgency = kinds[i].urgency;
      Rank rank;
      if (kind.isBelowFloor) {
        rank = {
          0, kind.floorRatio, account.floorRatio, account.shareRatio, urgency
        };
      } else if (account.isBelowFloor) {
        rank = { 1, account.floorRatio, urgency, account.shareRatio, 0 };
      } else {
        rank = { 2, urgency, account.shareRatio, 0, 0 };
      }
      if (!best || rank < *best) {
        best = rank;
        chosen = index;
      }
    }
  }
  return chosen;
}

RequestId
AdmissionQueue::ChooseRequest(ClassQueue& aClass)
{
  while (true) {
    const bool useNew =
      !aClass.newCallers.empty() &&
      (aClass.newCallerTurns > 0 || aClass.oldCallers.empty());
    Callers& callers = useNew ? aClass.newCallers : aClass.oldCallers;
    auto caller = callers.begin();
    if (caller->waiting.empty()) {
      aClass.byCaller.erase(caller->caller);
      callers.erase(caller);
      continue;
    }
    const Request& next = caller->waiting.front().request;
    const bool isAffordable = caller->deficit >= CostOf(next);
    if (isAffordable) {
      caller->deficit -= CostOf(next);
      aClass.newCallerTurns =
        useNew ? std::max<std::size_t>(aClass.newCallerTurns, 1) - 1
               : std::max<std::size_t>(aClass.newCallers.size(), 1);
    }
    // The turn of a new caller ends with its first request, that of an old
    // caller when its deficit is exhausted.
    if (useNew || !isAffordable) {
      caller->isNew = false;
      caller->deficit += kQuantum;
      aClass.oldCallers.splice(aClass.oldCallers.end(), callers, caller);
    }
    if (isAffordable) {
      return next.id;
    }
  }
}

void
AdmissionQueue::UpdatePeaks(base::TimePoint aNow)
{
  this->lastPeakUpdate = aNow;
  const auto kinds = this->shares->Kinds();
  const bool isNewPeriod = aNow - this->peakPeriodStart >= kUsageWindow / 2;
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    Peak& peak = this->peakByKind[i];
    if (isNewPeriod) {
      peak.previous = std::exchange(peak.current, 0);
    }
    peak.current = std::max(peak.current, kinds[i].usage->inUse.load());
  }
  if (isNewPeriod) {
    this->peakPeriodStart = aNow;
  }
}

std::uint32_t
AdmissionQueue::ReservedSlots(std::size_t aClass) const
{
  const KindShare& kind = this->KindOf(aClass);
  if (this->gate.IsBelowPercent(kind.usage->inUse.load(), kind.floorPercent)) {
    return 0;
  }
  // Interval at which the borrowing kind releases slots. Releases by the owner
  // are not counted, because they do not help an owner that needs more slots
  // than it holds.
  const base::Duration interval =
    this->ServiceTimeOf(kind) / std::max(kind.usage->inUse.load(), 1U);
  std::uint32_t reserved = 0;
  const auto kinds = this->shares->Kinds();
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    if (&kinds[i] != &kind &&
        interval * kReclaimDelayDivisor > this->ServiceTimeOf(kinds[i])) {
      // Rounded up, consistent with CapacityGate::IsBelowPercent().
      const std::uint32_t floor =
        (this->gate.Capacity() * kinds[i].floorPercent + 99) / 100;
      const std::uint32_t used = kinds[i].usage->inUse.load();
      const std::uint32_t entitled = std::min(
        floor,
        std::max(this->peakByKind[i].current, this->peakByKind[i].previous));
      reserved += entitled > used ? entitled - used : 0;
    }
  }
  return reserved;
}

void
AdmissionQueue::RefuseExpired(base::TimePoint aNow, Effects& aEffects)
{
  while (!this->byExpiry.empty() && this->byExpiry.begin()->first <= aNow) {
    const RequestId id = this->byExpiry.begin()->second;
    const std::size_t index = this->byId.at(id).classIndex;
    const QueuedRequest queued = this->Remove(id);
    aEffects.emplace_back(
      Refuse{ id,
              MakeError(ErrorCode::QueueTimeout, queued.request.kind.View()),
              this->RetryAfter(
                this->ExpectedWait(index, queued.request.caller, aNow)) });
  }
}

void
AdmissionQueue::DispatchReady(base::TimePoint aNow, Effects& aEffects)
{
  // Must be published before acquiring; see CapacityGate::TryAcquire().
  this->gate.SetWaiting(static_cast<std::uint32_t>(this->byId.size()));
  this->UpdatePeaks(aNow);
  this->hasWithheldSlots = false;
  while (!this->byId.empty() && this->gate.InUse() < this->gate.Capacity()) {
    const std::size_t index = this->ChooseClass();
    auto slot = this->gate.TryAcquire(
      this->AccountOf(index), this->KindOf(index), this->ReservedSlots(index));
    if (!slot) {
      this->hasWithheldSlots = this->gate.InUse() < this->gate.Capacity();
      break;
    }
    ClassQueue& queue = this->classes[index];
    const base::Duration sample = aNow - queue.lastDispatch;
    queue.lastDispatch = aNow;
    ++queue.intervals;
    queue.interval +=
      (sample - queue.interval) / std::min(queue.intervals, kIntervalSmoothing);
    const RequestId id = this->ChooseRequest(queue);
    this->Remove(id);
    aEffects.emplace_back(Dispatch{ id, std::move(*slot) });
  }
  this->gate.SetWaiting(static_cast<std::uint32_t>(this->byId.size()));
}

Effects
AdmissionQueue::Complete(base::TimePoint aNow)
{
  return this->Tick(aNow);
}

Effects
AdmissionQueue::Tick(base::TimePoint aNow)
{
  Effects effects;
  this->RefuseExpired(aNow, effects);
  this->DispatchReady(aNow, effects);
  return effects;
}

bool
AdmissionQueue::Cancel(RequestId aId)
{
  if (!this->byId.contains(aId)) {
    return false;
  }
  this->Remove(aId);
  this->gate.SetWaiting(static_cast<std::uint32_t>(this->byId.size()));
  return true;
}

Effects
AdmissionQueue::PolicyChanged(std::unique_ptr<const ShareSnapshot> aShares,
                              base::TimePoint aNow)
{
  Effects effects;
  this->RefuseExpired(aNow, effects);
  // Expiry order preserves the order of requests within each caller.
  std::vector<QueuedRequest> queuedRequests;
  queuedRequests.reserve(this->byId.size());
  while (!this->byExpiry.empty()) {
    queuedRequests.push_back(this->Remove(this->byExpiry.begin()->second));
  }
  this->ResetShares(std::move(aShares));
  for (const QueuedRequest& queued : queuedRequests) {
    const Request& request = queued.request;
    const auto index = this->FindClass(request);
    if (index.has_value()) {
      this->Enqueue(index.value(), request, queued.expiry, aNow);
    } else {
      effects.emplace_back(Refuse{ request.id, index.error(), {} });
    }
  }
  this->DispatchReady(aNow, effects);
  return effects;
}

Effects
AdmissionQueue::CapacityChanged(std::uint32_t aSlots, base::TimePoint aNow)
{
  this->gate.SetCapacity(aSlots);
  return this->Tick(aNow);
}

base::TimePoint
AdmissionQueue::NextTick() const noexcept
{
  if (this->byExpiry.empty()) {
    return base::TimePoint::max();
  }
  const base::TimePoint expiry = this->byExpiry.begin()->first;
  return this->hasWithheldSlots
           ? std::min(expiry, this->lastPeakUpdate + kLendRecheckInterval)
           : expiry;
}

} // namespace amaranthwind::admission
