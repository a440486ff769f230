#include "RequestService.h"

#include "HttpReplies.h"
#include "amaranthwind/base/Random.h"
#include "amaranthwind/net/IoPool.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

namespace amaranthwind::entry {

using base::ErrorCode;
using protocol::ExecuteOutcome;
using protocol::ExecuteReply;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kLoopCapacity = 16384;
constexpr base::Duration kTickInterval = 50ms;
constexpr base::Duration kDefaultDeadline = 30s;
constexpr std::chrono::milliseconds kLongestDeadline = 10min;
constexpr base::Duration kRetryAfter = 500ms;
// A target replies at the deadline at the latest; the margin is for the
// transfer.
constexpr base::Duration kReplyMargin = 500ms;
constexpr std::uint32_t kMaxSends = 3;
// Long enough to include callers that send only a few requests per minute.
constexpr base::Duration kCallerSizeWindow = 60s;
constexpr base::Duration kNoPermitDelay = 2ms;
constexpr std::uint16_t kFirstServerError = 500;
constexpr std::size_t kMaxKeyLength = 128;
constexpr std::size_t kRankedTargets = 8;

base::RandomEngine&
ThreadLocalRandom()
{
  thread_local base::RandomEngine random(base::MakeSeed());
  return random;
}

base::Result<std::uint64_t>
ParseNumber(std::string_view aText, std::string_view aField)
{
  std::uint64_t number = 0;
  const auto parsed =
    std::from_chars(aText.data(), aText.data() + aText.size(), number);
  if (parsed.ec != std::errc{} || parsed.ptr != aText.data() + aText.size()) {
    return base::Fail(ErrorCode::WrongType, aField);
  }
  return number;
}

base::Result<base::Duration>
ParseDeadline(std::string_view aText)
{
  if (aText.empty()) {
    return kDefaultDeadline;
  }
  BOOST_OUTCOME_TRY(const auto number, ParseNumber(aText, "X-Deadline-Ms"));
  constexpr std::uint64_t kLongest = kLongestDeadline.count();
  if (number == 0 || number > kLongest) {
    return base::Fail(ErrorCode::OutOfRange, "X-Deadline-Ms");
  }
  return std::chrono::milliseconds(number);
}

base::Result<std::uint32_t>
ParseAttempt(std::string_view aText)
{
  if (aText.empty()) {
    return 0U;
  }
  BOOST_OUTCOME_TRY(const auto number, ParseNumber(aText, "Retry-Attempt"));
  if (number > UINT32_MAX) {
    return base::Fail(ErrorCode::OutOfRange, "Retry-Attempt");
  }
  return static_cast<std::uint32_t>(number);
}

std::vector<std::byte>
ToBytes(std::string_view aText)
{
  const auto* first = reinterpret_cast<const std::byte*>(aText.data());
  return { first, first + aText.size() };
}

/**
 * Converts a reply to the outcome that counts for the target's health. A
 * request that did not run is neutral, since that is no fault of the target.
 */
routing::Outcome
ToHealthOutcome(const ExecuteReply& aReply)
{
  switch (aReply.outcome) {
    case ExecuteOutcome::Done:
      return aReply.status >= kFirstServerError ? routing::Outcome::Failure
                                                : routing::Outcome::Success;
    case ExecuteOutcome::NotRun:
      return routing::Outcome::Neutral;
    case ExecuteOutcome::Unknown:
      break;
  }
  return routing::Outcome::Failure;
}

} // namespace

/** State of one request while the entry handles it. */
struct RequestService::Context
{
  admission::Request request;
  base::IdempotencyKey key;
  std::uint32_t attempt = 0;
  bool isIdempotent = false;
  std::vector<std::byte> body;
  frontend::HttpResponder respond;
  std::optional<admission::Slot> slot;
  std::optional<routing::TargetPermit> permit;
  routing::TargetHandle avoidedTarget;
  std::string witness;
  std::uint32_t lostTargets = 0;
  base::TimePoint dispatched;
  std::uint32_t sends = 0;
  /** An earlier attempt or an earlier send may have run. */
  bool mayHaveRun = false;
  telemetry::AccountMetrics accountMetrics;
  telemetry::RequestMetrics kindMetrics;
  bool isSmallCaller = false;
  std::optional<base::TimePoint> queuedAt;
};

RequestService::RequestService(const base::Clock& aClock,
                               protocol::Node& aNode,
                               net::IoPool& aPool,
                               MembershipService& aMembership,
                               telemetry::Metrics& aMetrics,
                               telemetry::Logger& aLogger)
  : clock(aClock)
  , node(aNode)
  , pool(aPool)
  , membership(aMembership)
  , logger(aLogger)
  , gate(0)
  , metrics(aMetrics)
  , entryMetrics(aMetrics)
  , unknownKind(aMetrics, base::WorkKindId("-"))
  , shares(this->AttachMetrics(this->shareTable.Build({})))
  , queue(this->gate, this->shareTable.Build({}))
  , picker(std::make_unique<routing::PowerOfTwoPicker>())
  , loop(kLoopCapacity)
{
}

RequestService::~RequestService() = default;

void
RequestService::Start()
{
  this->loop.SetTick(kTickInterval, [this] {
    const auto now = this->clock.Now();
    if (now >= this->nextRotation) {
      this->nextRotation = now + kCallerSizeWindow;
      this->callerSizes.Rotate();
    }
    this->RefreshCapacity();
    this->Apply(this->queue.Tick(now));
  });
  this->loop.Start();
}

void
RequestService::Stop()
{
  this->loop.Stop();
  this->waiting.clear();
}

void
RequestService::OnPolicy(const policy::Policy& aPolicy)
{
  this->shares.Publish(this->AttachMetrics(this->shareTable.Build(aPolicy)));
  // The admission thread gets its own snapshot, because it holds it for longer
  // than an RCU read section may last.
  auto holder =
    std::make_shared<std::unique_ptr<const admission::ShareSnapshot>>(
      this->shareTable.Build(aPolicy));
  this->loop.Post([this, holder] {
    this->Apply(
      this->queue.PolicyChanged(std::move(*holder), this->clock.Now()));
  });
}

std::unique_ptr<const SharesWithMetrics>
RequestService::AttachMetrics(
  std::unique_ptr<const admission::ShareSnapshot> aShares)
{
  auto measured = std::make_unique<SharesWithMetrics>();
  for (const auto& account : aShares->Accounts()) {
    measured->accounts.emplace_back(this->metrics, account.id);
  }
  for (const auto& kind : aShares->Kinds()) {
    measured->kinds.emplace_back(this->metrics, kind.id);
  }
  measured->shares = std::move(aShares);
  return measured;
}

void
RequestService::CountBadInput(std::string_view aKind) const
{
  const auto guard = this->shares.Read();
  const auto* kind = guard->shares->FindKind(aKind);
  const auto& counted = kind == nullptr
                          ? this->unknownKind
                          : guard->kinds[kind - guard->shares->Kinds().data()];
  counted.Outcome(telemetry::RequestOutcome::BadInput).Increment();
}

void
RequestService::OnRoutes()
{
  this->loop.Post([this] { this->RefreshCapacity(); });
}

void
RequestService::RefreshCapacity()
{
  const auto now = this->clock.Now();
  const std::uint32_t capacity =
    this->membership.CurrentRoutes()->snapshot->Capacity(now);
  if (capacity != this->gate.Capacity()) {
    this->Apply(this->queue.CapacityChanged(capacity, now));
  }
}

SharesUse
RequestService::CurrentUse() const
{
  SharesUse use;
  const auto append = [](const auto& aShares, std::vector<ShareUse>& aTo) {
    for (const auto& share : aShares) {
      aTo.push_back({ share.id.Text(),
                      share.usage->inUse.load(),
                      share.usage->meanServiceMicros.load() });
    }
  };
  const auto guard = this->shares.Read();
  append(guard->shares->Accounts(), use.accounts);
  append(guard->shares->Kinds(), use.kinds);
  return use;
}

void
RequestService::Handle(std::string_view aKind,
                       frontend::HttpRequest aRequest,
                       frontend::HttpResponder aRespond)
{
  auto context = this->Parse(aKind, aRequest);
  if (context.has_error()) {
    this->counters.notRun.fetch_add(1, std::memory_order_relaxed);
    this->CountBadInput(aKind);
    aRespond(MakeErrorResponse({ context.error(), true, std::nullopt }));
    return;
  }
  context.value()->respond = std::move(aRespond);
  this->retryBudget.CountFirstAttempt();
  if (this->TryAdmit(*context.value())) {
    this->Dispatch(context.value());
  } else {
    this->Submit(context.value());
  }
}

base::Result<RequestService::ContextPtr>
RequestService::Parse(std::string_view aKind, frontend::HttpRequest& aRequest)
{
  const auto account = aRequest.Header("X-Client-Account");
  if (account.empty()) {
    return base::Fail(ErrorCode::MissingField, "X-Client-Account");
  }
  const auto caller = aRequest.Header("X-Caller");
  if (caller.empty()) {
    return base::Fail(ErrorCode::MissingField, "X-Caller");
  }
  const auto key = aRequest.Header("Idempotency-Key");
  if (key.size() > kMaxKeyLength) {
    return base::Fail(ErrorCode::TooLarge, "Idempotency-Key");
  }
  BOOST_OUTCOME_TRY(const auto deadline,
                    ParseDeadline(aRequest.Header("X-Deadline-Ms")));
  BOOST_OUTCOME_TRY(const auto attempt,
                    ParseAttempt(aRequest.Header("Retry-Attempt")));
  auto context = std::make_shared<Context>();
  {
    const auto guard = this->shares.Read();
    const auto* share = guard->shares->FindAccount(account);
    if (share == nullptr) {
      return base::Fail(ErrorCode::UnknownAccount, account);
    }
    const auto* kind = guard->shares->FindKind(aKind);
    if (kind == nullptr) {
      return base::Fail(ErrorCode::UnknownKind, aKind);
    }
    context->accountMetrics =
      guard->accounts[share - guard->shares->Accounts().data()];
    context->kindMetrics = guard->kinds[kind - guard->shares->Kinds().data()];
    context->isIdempotent = kind->isIdempotent;
  }
  if (!context->isIdempotent && key.empty()) {
    return base::Fail(ErrorCode::MissingField, "Idempotency-Key");
  }
  const auto now = this->clock.Now();
  auto& request = context->request;
  request.id = admission::RequestId(
    this->lastId.fetch_add(1, std::memory_order_relaxed) + 1);
  request.account = base::AccountId(account);
  request.kind = base::WorkKindId(aKind);
  request.caller = base::CallerId(caller);
  request.arrival = now;
  request.deadline = now + deadline;
  context->isSmallCaller = this->callerSizes.CountAndIsSmall(account, caller);
  context->key = base::IdempotencyKey(key);
  context->attempt = attempt;
  context->mayHaveRun = attempt > 0;
  context->body = ToBytes(aRequest.body);
  return context;
}

bool
RequestService::TryAdmit(Context& aContext)
{
  const auto guard = this->shares.Read();
  const auto* account =
    guard->shares->FindAccount(aContext.request.account.View());
  const auto* kind = guard->shares->FindKind(aContext.request.kind.View());
  if (account == nullptr || kind == nullptr) {
    return false;
  }
  aContext.slot = this->gate.TryAdmit(*account, *kind);
  return aContext.slot.has_value();
}

void
RequestService::EnterQueue(Context& aContext)
{
  aContext.queuedAt = this->clock.Now();
  aContext.kindMetrics.queued.Add(1);
  aContext.accountMetrics.queued.Add(1);
}

void
RequestService::LeaveQueue(Context& aContext)
{
  if (!aContext.queuedAt) {
    return;
  }
  aContext.kindMetrics.queueWait.Observe(this->clock.Now() -
                                         *aContext.queuedAt);
  aContext.queuedAt.reset();
  aContext.kindMetrics.queued.Add(-1);
  aContext.accountMetrics.queued.Add(-1);
}

void
RequestService::Submit(const ContextPtr& aContext)
{
  this->EnterQueue(*aContext);
  this->counters.queued.fetch_add(1, std::memory_order_relaxed);
  const bool isAccepted =
    this->loop.TryPost([this, aContext] { this->SubmitOnLoop(aContext); });
  if (!isAccepted) {
    this->LeaveQueue(*aContext);
    this->RespondNotRun(
      *aContext, { ErrorCode::QueueFull, "admission" }, kRetryAfter);
  }
}

void
RequestService::SubmitOnLoop(const ContextPtr& aContext)
{
  this->waiting.emplace(aContext->request.id, aContext);
  this->Apply(this->queue.Submit(aContext->request, this->clock.Now()));
}

void
RequestService::RequeueOnLoop(const ContextPtr& aContext)
{
  this->EnterQueue(*aContext);
  this->waiting.emplace(aContext->request.id, aContext);
  this->Apply(this->queue.Requeue(aContext->request, this->clock.Now()));
}

void
RequestService::Apply(admission::Effects aEffects)
{
  for (auto& effect : aEffects) {
    if (auto* dispatch = std::get_if<admission::Dispatch>(&effect)) {
      auto found = this->waiting.extract(dispatch->id);
      found.mapped()->slot.emplace(std::move(dispatch->slot));
      this->LeaveQueue(*found.mapped());
      this->Dispatch(found.mapped());
    } else if (const auto* refuse = std::get_if<admission::Refuse>(&effect)) {
      const auto found = this->waiting.extract(refuse->id);
      this->LeaveQueue(*found.mapped());
      this->RespondNotRun(*found.mapped(), refuse->error, refuse->retryAfter);
    }
  }
}

void
RequestService::Dispatch(const ContextPtr& aContext)
{
  const auto routes = this->membership.CurrentRoutes();
  aContext->dispatched = this->clock.Now();
  if (aContext->dispatched >= aContext->request.deadline) {
    this->ReleaseSlot(*aContext);
    this->RespondNotRun(
      *aContext, { ErrorCode::QueueTimeout, "deadline" }, kRetryAfter);
    return;
  }
  const bool isChosen = aContext->isIdempotent
                          ? this->ChooseTarget(*aContext, *routes)
                          : this->ChooseOwner(*aContext, *routes);
  if (!isChosen) {
    this->OnNoPermit(aContext, !routes->snapshot->Serving().empty());
    return;
  }
  this->Send(aContext, routes->Of(aContext->permit->Target()));
}

bool
RequestService::ChooseTarget(Context& aContext, const Routes& aRoutes) const
{
  aContext.permit = this->picker->Pick(*aRoutes.snapshot,
                                       this->clock.Now(),
                                       ThreadLocalRandom(),
                                       aContext.avoidedTarget);
  return aContext.permit.has_value();
}

bool
RequestService::ChooseOwner(Context& aContext, const Routes& aRoutes) const
{
  std::array<const routing::RoutingEntry*, kRankedTargets> order{};
  const auto ranked =
    aRoutes.snapshot->Rank(aContext.key.View(), std::span(order));
  const routing::RoutingEntry* owner = nullptr;
  const routing::RoutingEntry* witness = nullptr;
  for (const auto* entry : ranked) {
    if (entry->status != routing::TargetStatus::Serving) {
      continue;
    }
    if (owner == nullptr) {
      owner = entry;
    } else if (witness == nullptr) {
      witness = entry;
    }
  }
  if (owner == nullptr) {
    return false;
  }
  aContext.witness =
    witness == nullptr ? std::string{} : aRoutes.Of(witness->handle).address;
  aContext.lostTargets = aRoutes.lostTargets;
  aContext.permit = aRoutes.snapshot->TryAcquire(*owner, this->clock.Now());
  return aContext.permit.has_value();
}

void
RequestService::OnNoPermit(const ContextPtr& aContext, bool aHasTargets)
{
  this->ReleaseSlot(*aContext);
  if (!aHasTargets) {
    this->RespondNotRun(
      *aContext, { ErrorCode::NoTarget, "executors" }, kRetryAfter);
    return;
  }
  // The gate had a slot, but the targets that may serve this request are full,
  // for instance the owner of its key. An immediate retry would find the same
  // full target.
  this->pool.RunAfter(kNoPermitDelay, [this, aContext] {
    this->loop.Post([this, aContext] { this->RequeueOnLoop(aContext); });
  });
}

void
RequestService::Send(const ContextPtr& aContext, const Route& aRoute)
{
  ++aContext->sends;
  const auto& request = aContext->request;
  protocol::Execute execute;
  execute.account = request.account;
  execute.caller = request.caller;
  execute.kind = request.kind;
  execute.key = aContext->key;
  execute.retryAttempt = aContext->attempt;
  execute.isIdempotent = aContext->isIdempotent;
  const auto left = request.deadline - aContext->dispatched;
  execute.deadline = std::chrono::ceil<std::chrono::milliseconds>(left);
  execute.witnessAddress = aContext->witness;
  execute.lostTargets = aContext->lostTargets;
  execute.body = aContext->body;
  this->node.Call(aRoute.connection,
                  execute,
                  left + kReplyMargin,
                  [this, aContext](const protocol::CallResult& aResult) {
                    this->OnResult(aContext, aResult);
                  });
}

void
RequestService::OnResult(const ContextPtr& aContext,
                         const protocol::CallResult& aResult)
{
  const auto* reply = aResult.reply == nullptr
                        ? nullptr
                        : std::get_if<ExecuteReply>(aResult.reply);
  if (reply != nullptr) {
    if (reply->outcome == ExecuteOutcome::NotRun && !aContext->isIdempotent) {
      // The owner of the key tracks all attempts with it, so none of them has
      // run.
      aContext->mayHaveRun = false;
    }
    this->OnReply(aContext, *reply);
    return;
  }
  if (!aResult.failure.mayHaveBeenSent) {
    this->OnNotSent(aContext);
    return;
  }
  if (this->IsDraining(aContext->permit->Target())) {
    this->entryMetrics.interruptedRequests.Increment();
  }
  ExecuteReply failed;
  failed.error = aResult.failure.error;
  failed.outcome = ExecuteOutcome::Unknown;
  this->OnReply(aContext, failed);
}

void
RequestService::OnNotSent(const ContextPtr& aContext)
{
  // The connection has closed, but the routes still contain it. Another send
  // adds no load to a target, so it uses no retry budget. It is delayed,
  // because a lost target looks idle and would be chosen again at once.
  --aContext->sends;
  aContext->permit->Finish(routing::Outcome::Failure, this->clock.Now());
  aContext->permit.reset();
  this->OnNoPermit(aContext, true);
}

void
RequestService::OnReply(const ContextPtr& aContext, const ExecuteReply& aReply)
{
  aContext->permit->Finish(ToHealthOutcome(aReply), this->clock.Now());
  aContext->avoidedTarget = aContext->permit->Target();
  aContext->permit.reset();
  this->ReleaseSlot(*aContext);
  if (aReply.outcome == ExecuteOutcome::Done) {
    this->RespondDone(*aContext, aReply);
    return;
  }
  if (aReply.outcome == ExecuteOutcome::Unknown) {
    aContext->mayHaveRun = true;
  }
  if (this->TryRetry(aContext)) {
    return;
  }
  if (aReply.outcome == ExecuteOutcome::NotRun) {
    this->RespondNotRun(
      *aContext,
      aReply.error,
      std::max<base::Duration>(aReply.retryAfter, kRetryAfter));
  } else {
    this->RespondUnknown(*aContext, aReply.error);
  }
}

bool
RequestService::IsDraining(routing::TargetHandle aTarget) const
{
  const auto routes = this->membership.CurrentRoutes();
  const auto entries = routes->snapshot->Entries();
  return std::any_of(entries.begin(), entries.end(), [&](const auto& aEntry) {
    return aEntry.handle == aTarget &&
           aEntry.status == routing::TargetStatus::Draining;
  });
}

bool
RequestService::TryRetry(const ContextPtr& aContext)
{
  // Only the caller may retry a non-idempotent request: the next attempt needs
  // a higher attempt number, which only the caller assigns.
  const bool isAllowed = aContext->isIdempotent &&
                         aContext->sends < kMaxSends &&
                         this->clock.Now() < aContext->request.deadline;
  if (!isAllowed) {
    return false;
  }
  if (!this->retryBudget.TrySpend()) {
    this->entryMetrics.refusedRetries.Increment();
    return false;
  }
  this->counters.retries.fetch_add(1, std::memory_order_relaxed);
  if (this->TryAdmit(*aContext)) {
    this->Dispatch(aContext);
  } else {
    this->Submit(aContext);
  }
  return true;
}

void
RequestService::ReleaseSlot(Context& aContext)
{
  if (!aContext.slot) {
    return;
  }
  const auto held = this->clock.Now() - aContext.dispatched;
  const double seconds = std::chrono::duration<double>(held).count();
  aContext.kindMetrics.slotSeconds.Increment(seconds);
  aContext.accountMetrics.slotSeconds.Increment(seconds);
  const bool hasWaiters = aContext.slot->Release(held);
  aContext.slot.reset();
  if (hasWaiters) {
    this->loop.Post(
      [this] { this->Apply(this->queue.Complete(this->clock.Now())); });
  }
}

void
RequestService::CountOutcome(Context& aContext,
                             telemetry::RequestOutcome aOutcome)
{
  const auto& kind = aContext.kindMetrics;
  kind.Outcome(aOutcome).Increment();
  if (aOutcome == telemetry::RequestOutcome::NotRun) {
    aContext.accountMetrics.notRun.Increment();
  }
  const auto& duration = aContext.isSmallCaller ? kind.durationSmallCallers
                                                : kind.durationLargeCallers;
  duration.Observe(this->clock.Now() - aContext.request.arrival);
}

void
RequestService::RespondDone(Context& aContext, const ExecuteReply& aReply)
{
  this->CountOutcome(aContext, telemetry::RequestOutcome::Done);
  this->counters.done.fetch_add(1, std::memory_order_relaxed);
  frontend::HttpResponse response;
  response.status = aReply.status;
  response.headers.push_back({ "X-Outcome", "done" });
  response.body.assign(reinterpret_cast<const char*>(aReply.body.data()),
                       aReply.body.size());
  aContext.respond(std::move(response));
}

void
RequestService::RespondNotRun(Context& aContext,
                              const base::Error& aError,
                              base::Duration aRetryAfter)
{
  this->CountOutcome(aContext,
                     aContext.mayHaveRun ? telemetry::RequestOutcome::Unknown
                                         : telemetry::RequestOutcome::NotRun);
  this->counters.notRun.fetch_add(1, std::memory_order_relaxed);
  auto response =
    MakeErrorResponse({ aError, !aContext.mayHaveRun, aRetryAfter });
  response.headers.push_back(
    { "X-Outcome", aContext.mayHaveRun ? "unknown" : "not-run" });
  aContext.respond(std::move(response));
}

void
RequestService::RespondUnknown(Context& aContext, const base::Error& aError)
{
  this->CountOutcome(aContext, telemetry::RequestOutcome::Unknown);
  this->counters.unknown.fetch_add(1, std::memory_order_relaxed);
  this->logger.Warning("request outcome unknown",
                       { { "request", aContext.request.id },
                         { "error", base::Describe(aError) } });
  const base::Error unknown{ ErrorCode::OutcomeUnknown,
                             base::Describe(aError) };
  auto response = MakeErrorResponse({ unknown, false, std::nullopt });
  response.headers.push_back({ "X-Outcome", "unknown" });
  aContext.respond(std::move(response));
}

} // namespace amaranthwind::entry
