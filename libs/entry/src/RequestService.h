#pragma once

#include "CallerSizes.h"
#include "MembershipService.h"
#include "PolicyKeeper.h"
#include "amaranthwind/admission/AdmissionQueue.h"
#include "amaranthwind/admission/CapacityGate.h"
#include "amaranthwind/admission/RetryBudget.h"
#include "amaranthwind/admission/Shares.h"
#include "amaranthwind/base/EventLoop.h"
#include "amaranthwind/base/RcuCell.h"
#include "amaranthwind/frontend/HttpServer.h"
#include "amaranthwind/protocol/Node.h"
#include "amaranthwind/routing/TargetPicker.h"
#include "amaranthwind/telemetry/Logger.h"
#include "amaranthwind/telemetry/StandardMetrics.h"

#include <atomic>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace amaranthwind::entry {

/** Counters of short requests since the start of the process. */
struct RequestCounters
{
  std::atomic<std::uint64_t> done{ 0 };
  std::atomic<std::uint64_t> notRun{ 0 };
  std::atomic<std::uint64_t> unknown{ 0 };
  std::atomic<std::uint64_t> retries{ 0 };
  std::atomic<std::uint64_t> queued{ 0 };
};

/** Current usage of the share of an account or kind, for the state dump. */
struct ShareUse
{
  std::string id;
  std::uint32_t inUse = 0;
  std::uint32_t meanServiceMicros = 0;
};
struct SharesUse
{
  std::vector<ShareUse> accounts;
  std::vector<ShareUse> kinds;
};

/**
 * Shares with the metrics of each account and kind at the same indexes, so that
 * a request needs no metric look-up by name. Immutable.
 */
struct SharesWithMetrics
{
  std::unique_ptr<const admission::ShareSnapshot> shares;
  std::vector<telemetry::AccountMetrics> accounts;
  std::vector<telemetry::RequestMetrics> kinds;
};

/**
 * Serves short requests. An I/O thread reads shares and routes under
 * read-copy-update, acquires a slot and a permit with atomics, and sends the
 * request. Only a request without a free slot goes through the admission
 * thread.
 */
class RequestService
{
public:
  RequestService(const base::Clock& aClock,
                 protocol::Node& aNode,
                 net::IoPool& aPool,
                 MembershipService& aMembership,
                 telemetry::Metrics& aMetrics,
                 telemetry::Logger& aLogger);
  ~RequestService();
  RequestService(const RequestService&) = delete;
  RequestService& operator=(const RequestService&) = delete;

  void Start();
  void Stop();

  /** POST /v1/requests/<kind>. */
  void Handle(std::string_view aKind,
              frontend::HttpRequest aRequest,
              frontend::HttpResponder aRespond);

  /** Usually called on the thread that reads the log. */
  void OnPolicy(const policy::Policy& aPolicy);
  /** The routes, and thereby the capacity, have changed. */
  void OnRoutes();

  const RequestCounters& Counters() const noexcept { return this->counters; }
  std::uint32_t InUse() const noexcept { return this->gate.InUse(); }
  std::uint32_t Waiting() const noexcept { return this->gate.Waiting(); }
  std::uint32_t Capacity() const noexcept { return this->gate.Capacity(); }
  std::uint32_t RetriesLeft() const noexcept
  {
    return this->retryBudget.Remaining();
  }
  SharesUse CurrentUse() const;

private:
  struct Context;
  using ContextPtr = std::shared_ptr<Context>;

  base::Result<ContextPtr> Parse(std::string_view aKind,
                                 frontend::HttpRequest& aRequest);
  std::unique_ptr<const SharesWithMetrics> AttachMetrics(
    std::unique_ptr<const admission::ShareSnapshot> aShares);
  void CountBadInput(std::string_view aKind) const;
  bool TryAdmit(Context& aContext);
  void EnterQueue(Context& aContext);
  void LeaveQueue(Context& aContext);
  void Submit(const ContextPtr& aContext);
  void SubmitOnLoop(const ContextPtr& aContext);
  void RequeueOnLoop(const ContextPtr& aContext);
  void Apply(admission::Effects aEffects);
  void Dispatch(const ContextPtr& aContext);
  bool ChooseTarget(Context& aContext, const Routes& aRoutes) const;
  bool ChooseOwner(Context& aContext, const Routes& aRoutes) const;
  void OnNoPermit(const ContextPtr& aContext, bool aHasTargets);
  void Send(const ContextPtr& aContext, const Route& aRoute);
  void OnResult(const ContextPtr& aContext,
                const protocol::CallResult& aResult);
  void OnReply(const ContextPtr& aContext,
               const protocol::ExecuteReply& aReply);
  bool IsDraining(routing::TargetHandle aTarget) const;
  void OnNotSent(const ContextPtr& aContext);
  bool TryRetry(const ContextPtr& aContext);
  void ReleaseSlot(Context& aContext);
  void CountOutcome(Context& aContext, telemetry::RequestOutcome aOutcome);
  void RespondDone(Context& aContext, const protocol::ExecuteReply& aReply);
  void RespondNotRun(Context& aContext,
                     const base::Error& aError,
                     base::Duration aRetryAfter);
  void RespondUnknown(Context& aContext, const base::Error& aError);
  void RefreshCapacity();

  const base::Clock& clock;
  protocol::Node& node;
  net::IoPool& pool;
  MembershipService& membership;
  telemetry::Logger& logger;
  admission::ShareTable shareTable;
  admission::CapacityGate gate;
  telemetry::Metrics& metrics;
  const telemetry::EntryMetrics entryMetrics;
  /** Metrics of requests whose kind does not exist. */
  const telemetry::RequestMetrics unknownKind;
  CallerSizes callerSizes;
  base::TimePoint nextRotation{};
  base::RcuCell<SharesWithMetrics> shares;
  admission::AdmissionQueue queue;
  admission::RetryBudget retryBudget;
  std::unique_ptr<routing::TargetPicker> picker;
  std::atomic<std::uint64_t> lastId{ 0 };
  RequestCounters counters;
  /** Requests in the queue; accessed only on the loop. */
  std::unordered_map<admission::RequestId, ContextPtr> waiting;
  base::EventLoop loop;
};

} // namespace amaranthwind::entry
