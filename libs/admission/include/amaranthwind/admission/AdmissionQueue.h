#pragma once

#include "amaranthwind/admission/CapacityGate.h"
#include "amaranthwind/admission/Shares.h"
#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Error.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/base/Result.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace amaranthwind::admission {

/** Number of a short request within one entry process. */
using RequestId = base::StrongNumber<struct RequestTag>;

/** A short request that found no free capacity. */
struct Request
{
  RequestId id;
  base::AccountId account;
  base::WorkKindId kind;
  base::CallerId caller;
  /** When it arrived; the limit of its wait counts from here. */
  base::TimePoint arrival;
  /** When its caller stops waiting for the response. */
  base::TimePoint deadline;
  /** Slot time relative to a usual request of its kind; from 1 to 100. */
  std::uint32_t cost = 1;
};

/** Send the request to a target. It holds the slot from now on. */
struct Dispatch
{
  RequestId id;
  Slot slot;
};

/** Answer "not run" and name the time after which a retry may succeed. */
struct Refuse
{
  RequestId id;
  base::Error error;
  base::Duration retryAfter{};
};

using Effect = std::variant<Dispatch, Refuse>;
using Effects = std::vector<Effect>;

struct QueueOptions
{
  /** Requests waiting in the whole queue; bounds its memory. */
  std::size_t maxWaiting = 10'000;
  /** Assumed for a kind of work until its first request has ended. */
  base::Duration assumedService = std::chrono::milliseconds(100);
  base::Duration minRetryAfter = std::chrono::milliseconds(100);
  base::Duration maxRetryAfter = std::chrono::seconds(30);
};

/**
 * Orders the short requests that wait for a slot. Run by one thread; the gate
 * is shared with the I/O threads. Each submitted request gets exactly one
 * effect, unless it is cancelled first.
 *
 * Order: kinds below their floor, then accounts below theirs, then urgency;
 * among accounts the one with the fewest slots in relation to its weight;
 * among the callers of an account deficit round robin, where a caller that
 * was idle goes before those that keep a backlog.
 *
 * Unused floors are lent. Slots of a kind's floor that it has used within the
 * last half second are not lent to a kind that holds its slots so long that the
 * owner would wait long, compared with its own service time, to get one back.
 */
class AdmissionQueue
{
public:
  AdmissionQueue(CapacityGate& aGate,
                 std::unique_ptr<const ShareSnapshot> aShares,
                 QueueOptions aOptions = {});
  ~AdmissionQueue();
  AdmissionQueue(const AdmissionQueue&) = delete;
  AdmissionQueue& operator=(const AdmissionQueue&) = delete;

  /**
   * Errors in Refuse: UnknownAccount, UnknownKind, DuplicateKey (the id waits
   * already), QueueTimeout (the deadline has passed or cannot be met),
   * QueueFull (the wait would exceed the limit, or the memory is used up).
   */
  Effects Submit(const Request& aRequest, base::TimePoint aNow);
  /**
   * A dispatched request found no target, was written to no connection, and
   * has released its slot. It goes to the front of its caller's requests and
   * is dispatched at the next event, not at once: the same target would be
   * busy again. No effect if the request waits already.
   */
  Effects Requeue(const Request& aRequest, base::TimePoint aNow);
  /** A slot was released while requests were waiting. */
  Effects Complete(base::TimePoint aNow);
  /**
   * The caller has gone. False if the request does not wait any more: its
   * effect has been returned before.
   */
  bool Cancel(RequestId aId);
  /** Requests of withdrawn accounts and kinds are refused as not run. */
  Effects PolicyChanged(std::unique_ptr<const ShareSnapshot> aShares,
                        base::TimePoint aNow);
  Effects CapacityChanged(std::uint32_t aSlots, base::TimePoint aNow);
  /** Refuses requests that have waited too long; lends slots kept free. */
  Effects Tick(base::TimePoint aNow);

  /** When Tick() is due; TimePoint::max() if nothing waits. */
  base::TimePoint NextTick() const noexcept;
  std::size_t Waiting() const noexcept { return this->byId.size(); }

private:
  struct Waiter
  {
    Request request;
    base::TimePoint expiry;
  };
  struct CallerQueue
  {
    base::CallerId caller;
    std::list<Waiter> waiting;
    /** Cost that it may still send in this round. */
    std::uint32_t deficit = 0;
    bool isNew = true;
  };
  using Callers = std::list<CallerQueue>;
  /** The requests of one account and one kind of work. */
  struct Class
  {
    /**
     * Callers that were idle. They go before the others, but after as many
     * requests as there were new callers, one of the others is served: an
     * endless row of new callers must not starve those with a backlog.
     */
    Callers newCallers;
    Callers oldCallers;
    /** New callers that still go before the next of the others. */
    std::size_t newTurns = 1;
    /** Callers with a request waiting. */
    std::size_t activeCallers = 0;
    /** Smoothed time between two dispatches of this backlog. */
    base::Duration interval{};
    std::uint32_t intervals = 0;
    /** Last dispatch, or start of the backlog. */
    base::TimePoint lastDispatch;
    std::unordered_map<base::CallerId, Callers::iterator> byCaller;
  };
  /** Most slots in use in this quarter of a second and the one before. */
  struct Peak
  {
    std::uint32_t current = 0;
    std::uint32_t previous = 0;
  };
  /** An account or a kind as one choice sees it. */
  struct Standing
  {
    bool isBelow = false;
    /** Slots in use relative to the floor; lower goes first. */
    double floorRatio = 0;
    /** Slots in use relative to the weight; lower goes first. */
    double shareRatio = 0;
  };
  struct Place
  {
    std::size_t classIndex;
    Callers::iterator caller;
    std::list<Waiter>::iterator waiter;
  };

  /** Starts over with empty queues. */
  void UseShares(std::unique_ptr<const ShareSnapshot> aShares);
  const AccountShare& AccountOf(std::size_t aClass) const;
  const KindShare& KindOf(std::size_t aClass) const;
  base::Duration ServiceTime(std::size_t aClass) const;
  base::Duration ServiceTimeOf(const KindShare& aKind) const;
  /** Time until one more request of the caller would be dispatched. */
  base::Duration ExpectedWait(std::size_t aClass,
                              const base::CallerId& aCaller,
                              base::TimePoint aNow) const;
  /** Expected time between two dispatches of the class. */
  base::Duration DispatchInterval(std::size_t aClass,
                                  base::TimePoint aNow) const;
  base::Duration RetryAfter(base::Duration aExcess) const;
  /** Makes room for one more; false if the caller itself must be refused. */
  bool MakeRoom(std::size_t aClass,
                const base::CallerId& aCaller,
                base::TimePoint aNow,
                Effects& aEffects);
  void Enqueue(std::size_t aClass,
               const Request& aRequest,
               base::TimePoint aExpiry,
               base::TimePoint aNow,
               bool aIsFirst = false);
  /** The class of a request, or the reason why it has none. */
  base::Result<std::size_t> FindClass(const Request& aRequest) const;
  /** The latest time at which the request is worth dispatching. */
  base::TimePoint Expiry(std::size_t aClass, const Request& aRequest) const;
  /** Takes the request out; forgets its caller if nothing else waits. */
  Waiter Take(RequestId aId);
  /** The class that gets the next slot; requires that a request waits. */
  std::size_t ChooseClass();
  RequestId ChooseRequest(Class& aClass);
  /** Follows how many slots each kind has used lately. */
  void ObserveUse(base::TimePoint aNow);
  /** Free slots that the class must leave to other kinds. */
  std::uint32_t KeptFree(std::size_t aClass) const;
  void RefuseExpired(base::TimePoint aNow, Effects& aEffects);
  void DispatchReady(base::TimePoint aNow, Effects& aEffects);

  CapacityGate& gate;
  std::unique_ptr<const ShareSnapshot> shares;
  const QueueOptions options;
  std::vector<Class> classes;
  /** Requests waiting in each class; scanned for every choice. */
  std::vector<std::uint32_t> waitingByClass;
  /** Filled by ChooseClass(); members, so that it does not allocate. */
  std::vector<Standing> accountStandings;
  std::vector<Standing> kindStandings;
  /** Of each kind. */
  std::vector<Peak> peaks;
  base::TimePoint peakStart;
  base::TimePoint lastObserved;
  /** Requests wait although slots are free. */
  bool isHeldBack = false;
  std::unordered_map<RequestId, Place> byId;
  std::set<std::pair<base::TimePoint, RequestId>> byExpiry;
};

} // namespace amaranthwind::admission
