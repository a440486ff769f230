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

/** Identifies a short request within one entry process. */
using RequestId = base::StrongNumber<struct RequestTag>;

/** A short request that could not be admitted at once. */
struct Request
{
  RequestId id;
  base::AccountId account;
  base::WorkKindId kind;
  base::CallerId caller;
  /** Arrival time; the queue limit of its kind is measured from here. */
  base::TimePoint arrival;
  /** Time at which the caller stops waiting for the response. */
  base::TimePoint deadline;
  /** Slot time relative to an average request of its kind; 1 to 100. */
  std::uint32_t cost = 1;
};

/** Instructs the caller to send the request, which now holds the slot. */
struct Dispatch
{
  RequestId id;
  Slot slot;
};

/** Instructs the caller to answer "not run" with a suggested retry delay. */
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
  /** Maximum number of queued requests; bounds the memory of the queue. */
  std::size_t maxWaiting = 10'000;
  /** Service time assumed for a kind until its first request completes. */
  base::Duration assumedService = std::chrono::milliseconds(100);
  base::Duration minRetryAfter = std::chrono::milliseconds(100);
  base::Duration maxRetryAfter = std::chrono::seconds(30);
};

/**
 * Schedules the short requests that wait for a slot. Owned by a single thread;
 * the gate is shared with the I/O threads. Each submitted request produces
 * exactly one effect, unless it is cancelled first.
 *
 * Scheduling order: kinds below their floor, then accounts below theirs, then
 * urgency. Among accounts, the one with the fewest slots relative to its weight
 * comes first. The callers of an account are served by deficit round robin, in
 * which a newly active caller precedes callers with a backlog.
 *
 * Unused floor capacity is lent to other kinds, with one exception: floor slots
 * that a kind has used within the last half second are not lent to a kind that
 * holds its slots for so long that the owner would wait long, compared with its
 * own service time, to get one back.
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
   * Errors in Refuse: UnknownAccount, UnknownKind, DuplicateKey (the id is
   * already queued), QueueTimeout (the deadline has passed or cannot be met),
   * QueueFull (the expected wait exceeds the limit, or the queue has reached
   * its maximum size).
   */
  Effects Submit(const Request& aRequest, base::TimePoint aNow);
  /**
   * Returns a dispatched request to the front of its caller's queue. The
   * request found no target, was not written to any connection, and has
   * released its slot. It is dispatched on the next event rather than at once,
   * because the same target would still be busy. Does nothing if the request is
   * already queued.
   */
  Effects Requeue(const Request& aRequest, base::TimePoint aNow);
  /** Dispatches requests after a slot was released. */
  Effects Complete(base::TimePoint aNow);
  /**
   * Removes the request of a caller that disconnected. Returns false if the
   * request is no longer queued, that is, its effect has been returned already.
   */
  bool Cancel(RequestId aId);
  /** Refuses queued requests of withdrawn accounts and kinds as not run. */
  Effects PolicyChanged(std::unique_ptr<const ShareSnapshot> aShares,
                        base::TimePoint aNow);
  Effects CapacityChanged(std::uint32_t aSlots, base::TimePoint aNow);
  /** Refuses expired requests and lends slots that were withheld. */
  Effects Tick(base::TimePoint aNow);

  /** When Tick() is due; TimePoint::max() if the queue is empty. */
  base::TimePoint NextTick() const noexcept;
  std::size_t Waiting() const noexcept { return this->byId.size(); }

private:
  struct QueuedRequest
  {
    Request request;
    base::TimePoint expiry;
  };
  struct CallerQueue
  {
    base::CallerId caller;
    std::list<QueuedRequest> waiting;
    /** Cost that the caller may still dispatch in the current round. */
    std::uint32_t deficit = 0;
    bool isNew = true;
  };
  using Callers = std::list<CallerQueue>;
  /** Queued requests of one account and one kind of work. */
  struct ClassQueue
  {
    /**
     * Callers that have just become active. They are served first, but after
     * as many requests as there were new callers, one of the old callers is
     * served. Otherwise a steady stream of new callers would starve callers
     * with a backlog.
     */
    Callers newCallers;
    Callers oldCallers;
    /** New callers to serve before the next old caller. */
    std::size_t newCallerTurns = 1;
    /** Number of callers with a queued request. */
    std::size_t activeCallers = 0;
    /** Smoothed time between dispatches since the class became backlogged. */
    base::Duration interval{};
    std::uint32_t intervals = 0;
    /** Last dispatch, or the time at which the class became backlogged. */
    base::TimePoint lastDispatch;
    std::unordered_map<base::CallerId, Callers::iterator> byCaller;
  };
  /** Peak slots in use in the current and the previous quarter second. */
  struct Peak
  {
    std::uint32_t current = 0;
    std::uint32_t previous = 0;
  };
  /** Usage of an account or a kind relative to its floor and weight. */
  struct ShareUsage
  {
    bool isBelowFloor = false;
    /** Slots in use relative to the floor; lower is served first. */
    double floorRatio = 0;
    /** Slots in use relative to the weight; lower is served first. */
    double shareRatio = 0;
  };
  struct QueuePosition
  {
    std::size_t classIndex;
    Callers::iterator caller;
    std::list<QueuedRequest>::iterator queued;
  };

  /** Replaces the shares and empties all queues. */
  void ResetShares(std::unique_ptr<const ShareSnapshot> aShares);
  const AccountShare& AccountOf(std::size_t aClass) const;
  const KindShare& KindOf(std::size_t aClass) const;
  base::Duration ServiceTime(std::size_t aClass) const;
  base::Duration ServiceTimeOf(const KindShare& aKind) const;
  /** Estimated wait of one more request of the caller. */
  base::Duration ExpectedWait(std::size_t aClass,
                              const base::CallerId& aCaller,
                              base::TimePoint aNow) const;
  /** Expected time between two dispatches of the class. */
  base::Duration DispatchInterval(std::size_t aClass,
                                  base::TimePoint aNow) const;
  base::Duration RetryAfter(base::Duration aExcess) const;
  /**
   * Ensures space for one more request, evicting one if needed. Returns false
   * if the caller's own request must be refused.
   */
  bool MakeRoom(std::size_t aClass,
                const base::CallerId& aCaller,
                base::TimePoint aNow,
                Effects& aEffects);
  void Enqueue(std::size_t aClass,
               const Request& aRequest,
               base::TimePoint aExpiry,
               base::TimePoint aNow,
               bool aAtFront = false);
  /** Index of the request's class; UnknownAccount or UnknownKind if none. */
  base::Result<std::size_t> FindClass(const Request& aRequest) const;
  /** Latest time at which the request can be dispatched usefully. */
  base::TimePoint Expiry(std::size_t aClass, const Request& aRequest) const;
  /** Removes a queued request, and its caller if it has no other. */
  QueuedRequest Remove(RequestId aId);
  /** Selects the class for the next slot. Requires a queued request. */
  std::size_t ChooseClass();
  RequestId ChooseRequest(ClassQueue& aClass);
  /** Updates the recent peak slot usage of each kind. */
  void UpdatePeaks(base::TimePoint aNow);
  /** Number of free slots that the class must leave to other kinds. */
  std::uint32_t ReservedSlots(std::size_t aClass) const;
  void RefuseExpired(base::TimePoint aNow, Effects& aEffects);
  void DispatchReady(base::TimePoint aNow, Effects& aEffects);

  CapacityGate& gate;
  std::unique_ptr<const ShareSnapshot> shares;
  const QueueOptions options;
  std::vector<ClassQueue> classes;
  /** Queued requests per class; contiguous because every dispatch scans it. */
  std::vector<std::uint32_t> waitingByClass;
  /** Scratch space of ChooseClass(), kept here to avoid allocation. */
  std::vector<ShareUsage> accountUsages;
  std::vector<ShareUsage> kindUsages;
  std::vector<Peak> peakByKind;
  base::TimePoint peakPeriodStart;
  base::TimePoint lastPeakUpdate;
  /** True if requests are queued although slots are free. */
  bool hasWithheldSlots = false;
  std::unordered_map<RequestId, QueuePosition> byId;
  std::set<std::pair<base::TimePoint, RequestId>> byExpiry;
};

} // namespace amaranthwind::admission
