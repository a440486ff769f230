#include "amaranthwind/admission/AdmissionQueue.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <optional>
#include <tuple>

namespace amaranthwind::admission {

using base::ErrorCode;

namespace {

/** Cost that a caller may send in one round. */
constexpr std::uint32_t kQuantum = 1;
constexpr std::uint32_t kMaxCost = 100;
// Weight 1/8 of the newest interval, used after as many intervals. With 1/64
// as many requests were refused late in overload_driver.
constexpr std::uint32_t kIntervalSmoothing = 8;
// Under overload the expected wait of an accepted request is just below the
// limit, and the actual one varies around it. Without this margin (1/8 of the
// wait) 16% of the accepted quotes in overload_driver were refused only after
// the full wait; with it, 11%.
constexpr std::int64_t kWaitMarginDivisor = 8;

// How long the use of a floor counts as recent. In overload_driver a kind that
// takes 3 s and floods completed 500 requests with 0.3 s, 447 with 0.5 s and
// 397 with 1 s, while the worst p99 of the other kinds was 1.43, 1.06 and 1.02
// times its own.
constexpr base::Duration kRecent = std::chrono::milliseconds(500);
// An owner waits for about one release. Up to half of its own service time,
// its 99th percentile stays within 1.5 times that without the overload.
constexpr std::int64_t kSlowReturnDivisor = 2;
// How soon free slots that were not lent are looked at again.
constexpr base::Duration kRecheck = std::chrono::milliseconds(100);

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

/** Goes after all that are below their floor. */
constexpr double kNoFloor = std::numeric_limits<double>::max();

/** Slots in use relative to the share; lower goes first. */
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
  this->UseShares(std::move(aShares));
}

void
AdmissionQueue::UseShares(std::unique_ptr<const ShareSnapshot> aShares)
{
  this->shares = std::move(aShares);
  const std::size_t accounts = this->shares->Accounts().size();
  const std::size_t kinds = this->shares->Kinds().size();
  this->classes = std::vector<Class>(accounts * kinds);
  this->waitingByClass.assign(accounts * kinds, 0);
  this->accountStandings.assign(accounts, {});
  this->kindStandings.assign(kinds, {});
  this->peaks.assign(kinds, {});
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
  const Class& queue = this->classes[aClass];
  if (this->waitingByClass[aClass] > 0 &&
      queue.intervals >= kIntervalSmoothing) {
    return std::max(queue.interval, aNow - queue.lastDispatch);
  }
  const KindShare& kindShare = this->KindOf(aClass);
  if (this->gate.IsBelow(kindShare.usage->inUse.load(),
                         kindShare.floorPercent)) {
    // It gets the next slot that any request releases.
    double perSecond = 0;
    for (const KindShare& other : this->shares->Kinds()) {
      perSecond +=
        other.usage->inUse.load() /
        std::chrono::duration<double>(this->ServiceTimeOf(other)).count();
    }
    return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(perSecond == 0 ? 0 : 1 / perSecond));
  }
  // Too few dispatches seen: assume that account and kind spread their slots
  // over each other, and that the class gets at least one slot.
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
  const Class& queue = this->classes[aClass];
  auto known = queue.byCaller.find(aCaller);
  std::size_t ahead = 0;
  if (known == queue.byCaller.end()) {
    ahead = queue.newCallers.size() + 1;
  } else {
    // Round robin serves every caller once before a caller's next request.
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
  // The service time is an estimate. If it is longer than the deadline and
  // every request were refused for it, the estimate would never be corrected.
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
  Class& queue = this->classes[aClass];
  // Every class has its own part of the memory, so that a flood of one cannot
  // use up what the others need.
  const std::size_t part =
    std::max<std::size_t>(this->options.maxWaiting / this->classes.size(), 1);
  if (this->waitingByClass[aClass] < part) {
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
  this->Take(last);
  return true;
}

void
AdmissionQueue::Enqueue(std::size_t aClass,
                        const Request& aRequest,
                        base::TimePoint aExpiry,
                        base::TimePoint aNow,
                        bool aIsFirst)
{
  Class& queue = this->classes[aClass];
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
  auto waiter = caller->waiting.insert(aIsFirst ? caller->waiting.begin()
                                                : caller->waiting.end(),
                                       Waiter{ aRequest, aExpiry });
  this->byId.emplace(aRequest.id, Place{ aClass, caller, waiter });
  this->byExpiry.emplace(aExpiry, aRequest.id);
  ++this->waitingByClass[aClass];
}

AdmissionQueue::Waiter
AdmissionQueue::Take(RequestId aId)
{
  auto found = this->byId.find(aId);
  const Place place = found->second;
  this->byId.erase(found);
  Class& queue = this->classes[place.classIndex];
  Waiter waiter = std::move(*place.waiter);
  place.caller->waiting.erase(place.waiter);
  this->byExpiry.erase({ waiter.expiry, aId });
  --this->waitingByClass[place.classIndex];
  queue.activeCallers -= place.caller->waiting.empty() ? 1 : 0;
  // A caller that was served in this round stays in the round, without a
  // request, until its next turn: otherwise it would come back as new at once.
  if (place.caller->waiting.empty() && place.caller->isNew) {
    queue.byCaller.erase(place.caller->caller);
    queue.newCallers.erase(place.caller);
  }
  if (this->waitingByClass[place.classIndex] == 0) {
    queue.byCaller.clear();
    queue.newCallers.clear();
    queue.oldCallers.clear();
  }
  return waiter;
}

std::size_t
AdmissionQueue::ChooseClass()
{
  const auto accounts = this->shares->Accounts();
  const auto kinds = this->shares->Kinds();
  for (std::size_t i = 0; i < accounts.size(); ++i) {
    const std::uint32_t inUse = accounts[i].usage->inUse.load();
    const bool isBelow = this->gate.IsBelow(inUse, accounts[i].floorPercent);
    this->accountStandings[i] = { isBelow,
                                  isBelow
                                    ? Ratio(inUse, accounts[i].floorPercent)
                                    : kNoFloor,
                                  Ratio(inUse, accounts[i].weight) };
  }
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    const std::uint32_t inUse = kinds[i].usage->inUse.load();
    const bool isBelow = this->gate.IsBelow(inUse, kinds[i].floorPercent);
    this->kindStandings[i] = {
      isBelow, isBelow ? Ratio(inUse, kinds[i].floorPercent) : kNoFloor, 0
    };
  }
  // Lower goes first.
  using Rank = std::tuple<int, double, double, double, std::uint32_t>;
  std::optional<Rank> best;
  std::size_t chosen = 0;
  std::size_t index = 0;
  for (const Standing& account : this->accountStandings) {
    for (std::size_t i = 0; i < kinds.size(); ++i, ++index) {
      if (this->waitingByClass[index] == 0) {
        continue;
      }
      const Standing& kind = this->kindStandings[i];
      const std::uint32_t urgency = kinds[i].urgency;
      Rank rank;
      if (kind.isBelow) {
        rank = {
          0, kind.floorRatio, account.floorRatio, account.shareRatio, urgency
        };
      } else if (account.isBelow) {
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
AdmissionQueue::ChooseRequest(Class& aClass)
{
  while (true) {
    const bool useNew = !aClass.newCallers.empty() &&
                        (aClass.newTurns > 0 || aClass.oldCallers.empty());
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
      aClass.newTurns = useNew
                          ? std::max<std::size_t>(aClass.newTurns, 1) - 1
                          : std::max<std::size_t>(aClass.newCallers.size(), 1);
    }
    // The turn of a new caller ends with its first request; that of another
    // one when its deficit is used up.
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
AdmissionQueue::ObserveUse(base::TimePoint aNow)
{
  this->lastObserved = aNow;
  const auto kinds = this->shares->Kinds();
  const bool isNext = aNow - this->peakStart >= kRecent / 2;
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    Peak& peak = this->peaks[i];
    if (isNext) {
      peak.previous = std::exchange(peak.current, 0);
    }
    peak.current = std::max(peak.current, kinds[i].usage->inUse.load());
  }
  if (isNext) {
    this->peakStart = aNow;
  }
}

std::uint32_t
AdmissionQueue::KeptFree(std::size_t aClass) const
{
  const KindShare& kind = this->KindOf(aClass);
  if (this->gate.IsBelow(kind.usage->inUse.load(), kind.floorPercent)) {
    return 0;
  }
  // How often the borrowing kind gives back a slot. It counts alone: the
  // requests of an owner that needs more slots than it holds do not help it.
  const base::Duration interval =
    this->ServiceTimeOf(kind) / std::max(kind.usage->inUse.load(), 1U);
  std::uint32_t kept = 0;
  const auto kinds = this->shares->Kinds();
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    if (&kinds[i] != &kind &&
        interval * kSlowReturnDivisor > this->ServiceTimeOf(kinds[i])) {
      // Rounded up, like the floor itself in CapacityGate::IsBelow().
      const std::uint32_t floor =
        (this->gate.Capacity() * kinds[i].floorPercent + 99) / 100;
      const std::uint32_t used = kinds[i].usage->inUse.load();
      const std::uint32_t owed = std::min(
        floor, std::max(this->peaks[i].current, this->peaks[i].previous));
      kept += owed > used ? owed - used : 0;
    }
  }
  return kept;
}

void
AdmissionQueue::RefuseExpired(base::TimePoint aNow, Effects& aEffects)
{
  while (!this->byExpiry.empty() && this->byExpiry.begin()->first <= aNow) {
    const RequestId id = this->byExpiry.begin()->second;
    const std::size_t index = this->byId.at(id).classIndex;
    const Waiter waiter = this->Take(id);
    aEffects.emplace_back(
      Refuse{ id,
              MakeError(ErrorCode::QueueTimeout, waiter.request.kind.View()),
              this->RetryAfter(
                this->ExpectedWait(index, waiter.request.caller, aNow)) });
  }
}

void
AdmissionQueue::DispatchReady(base::TimePoint aNow, Effects& aEffects)
{
  // Published before the gate is asked; see CapacityGate::TryAcquire().
  this->gate.SetWaiting(static_cast<std::uint32_t>(this->byId.size()));
  this->ObserveUse(aNow);
  this->isHeldBack = false;
  while (!this->byId.empty() && this->gate.InUse() < this->gate.Capacity()) {
    const std::size_t index = this->ChooseClass();
    auto slot = this->gate.TryAcquire(
      this->AccountOf(index), this->KindOf(index), this->KeptFree(index));
    if (!slot) {
      this->isHeldBack = this->gate.InUse() < this->gate.Capacity();
      break;
    }
    Class& queue = this->classes[index];
    const base::Duration sample = aNow - queue.lastDispatch;
    queue.lastDispatch = aNow;
    ++queue.intervals;
    queue.interval +=
      (sample - queue.interval) / std::min(queue.intervals, kIntervalSmoothing);
    const RequestId id = this->ChooseRequest(queue);
    this->Take(id);
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
  this->Take(aId);
  this->gate.SetWaiting(static_cast<std::uint32_t>(this->byId.size()));
  return true;
}

Effects
AdmissionQueue::PolicyChanged(std::unique_ptr<const ShareSnapshot> aShares,
                              base::TimePoint aNow)
{
  Effects effects;
  this->RefuseExpired(aNow, effects);
  // In the order of expiry, which keeps the order within each caller.
  std::vector<Waiter> waiters;
  waiters.reserve(this->byId.size());
  while (!this->byExpiry.empty()) {
    waiters.push_back(this->Take(this->byExpiry.begin()->second));
  }
  this->UseShares(std::move(aShares));
  for (const Waiter& waiter : waiters) {
    const Request& request = waiter.request;
    const auto index = this->FindClass(request);
    if (index.has_value()) {
      this->Enqueue(index.value(), request, waiter.expiry, aNow);
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
  return this->isHeldBack ? std::min(expiry, this->lastObserved + kRecheck)
                          : expiry;
}

} // namespace amaranthwind::admission
