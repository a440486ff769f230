#include "LeaderLog.h"

#include "amaranthwind/codec/ClaimCodec.h"
#include "amaranthwind/membership/LeaderTopic.h"

#include <algorithm>
#include <utility>

namespace amaranthwind::coordinator {

using base::ErrorCode;
using base::LogOffset;
using membership::kLeaderKey;
using membership::kLeaderTopic;
using membership::TokenOf;
using namespace std::chrono_literals;

namespace {

/** Interval between checks for a silent leader. */
constexpr base::Duration kCheckInterval = 400ms;
/**
 * Long-poll timeout for reads of claims and heartbeats. The view can be twice
 * as old when the next answer arrives, which must stay well below
 * LeaderElectionOptions::maxViewAge: an older view does not prove that the
 * leader is silent.
 */
constexpr base::Duration kReadWait = 600ms;

} // namespace

class LeaderLog::HeartbeatFollower final : public journal::FollowerObserver
{
public:
  explicit HeartbeatFollower(LeaderLog& aOwner)
    : owner(aOwner)
    , follower({ .topic = { std::string(kLeaderTopic), 1 }, .wait = kReadWait },
               aOwner.clock,
               aOwner.executor,
               aOwner.log,
               *this)
  {
  }
  void Start() { this->follower.Start(); }
  void Stop() { this->follower.Stop(); }
  void Confirm(std::function<void(bool)> aHandler)
  {
    this->follower.Confirm(std::move(aHandler));
  }

  void OnLoaded(std::span<const journal::KeyedRecord> aNewest) override
  {
    this->OnRecords(aNewest);
  }
  void OnRecords(std::span<const journal::KeyedRecord> aRecords) override
  {
    for (const auto& record : aRecords) {
      if (record.key != kHeartbeatKey) {
        continue;
      }
      const auto pulse = codec::DecodePulse(record.value);
      if (pulse.has_error()) {
        this->owner.logger.Warning(
          "failed to decode leader heartbeat",
          { { "offset", record.offset },
            { "error", base::Describe(pulse.error()) } });
        continue;
      }
      this->owner.election.OnPulse(pulse.value(), this->owner.clock.Now());
    }
  }
  void OnCurrent(base::TimePoint aAsOf) override
  {
    this->owner.election.OnCurrent(aAsOf, this->owner.clock.Now());
    this->owner.ClaimIfDue();
  }
  void OnUnavailable(const base::Error&) override {}

private:
  LeaderLog& owner;
  journal::KeyedFollower follower;
};

LeaderLog::LeaderLog(const membership::LeaderElectionOptions& aOptions,
                     const base::Clock& aClock,
                     base::ProgressExecutor& aExecutor,
                     base::Executor& aHeartbeatExecutor,
                     journal::KeyedLog& aLog,
                     telemetry::Logger& aLogger,
                     LeaderObserver& aObserver)
  : options(aOptions)
  , clock(aClock)
  , executor(aExecutor)
  , log(aLog)
  , logger(aLogger)
  , observer(aObserver)
  , election(aOptions)
  , heartbeats(aOptions, aExecutor, aHeartbeatExecutor, aLog, aLogger)
  , heartbeatFollower(std::make_unique<HeartbeatFollower>(*this))
  , claimFollower(std::make_unique<journal::KeyedFollower>(
      journal::FollowerOptions{ .topic = { std::string(kLeaderTopic), 0 },
                                .wait = kReadWait },
      aClock,
      aExecutor,
      aLog,
      *this))
  , claimBackoff({ .first = 50ms, .max = 500ms })
{
}

LeaderLog::~LeaderLog()
{
  *this->isAlive = false;
}

void
LeaderLog::Start(std::string_view aAddress)
{
  this->ownClaim = { this->options.self,
                     this->options.incarnation,
                     std::string(aAddress),
                     false,
                     false };
  this->claimFollower->Start();
  this->heartbeatFollower->Start();
  this->CheckPeriodically();
}

void
LeaderLog::Stop()
{
  *this->isAlive = false;
  this->heartbeats.Stop();
  this->claimFollower->Stop();
  this->heartbeatFollower->Stop();
}

void
LeaderLog::ScheduleAfter(base::Duration aDelay, void (LeaderLog::*aTask)())
{
  this->executor.RunAfter(aDelay, [this, alive = this->isAlive, aTask] {
    if (*alive) {
      (this->*aTask)();
    }
  });
}

void
LeaderLog::OnLoaded(std::span<const journal::KeyedRecord> aNewest)
{
  this->hasLoadedClaims = true;
  this->OnRecords(aNewest);
}

void
LeaderLog::OnRecords(std::span<const journal::KeyedRecord> aRecords)
{
  for (const auto& record : aRecords) {
    this->claimLogEnd = LogOffset(record.offset.Get() + 1);
    if (record.key == kLeaderKey) {
      this->OnClaimRecord(record);
    }
  }
  this->ClaimIfDue();
}

void
LeaderLog::OnClaimRecord(const journal::KeyedRecord& aRecord)
{
  const auto claim = codec::DecodeClaim(aRecord.value);
  if (claim.has_error()) {
    this->logger.Warning("failed to decode leadership claim",
                         { { "offset", aRecord.offset },
                           { "error", base::Describe(claim.error()) } });
    return;
  }
  const bool wasLeader = this->election.IsLeader();
  const base::FencingToken token = TokenOf(aRecord.offset);
  this->election.OnClaim(claim.value(), token, this->clock.Now());
  if (wasLeader && !this->election.IsLeader()) {
    this->EndTerm();
  }
  if (claim.value() != this->ownClaim) {
    this->former = membership::LeaderTerm{ claim.value(), token };
    this->logger.Info(
      "leadership claimed",
      { { "holder", claim.value().holder },
        { "token", token },
        { "resigned", claim.value().isResigned ? "yes" : "no" } });
  } else if (token > this->lastOwnToken) {
    // The answer to the append was lost or has not arrived yet.
    this->BecomeLeader(token);
  }
}

void
LeaderLog::OnCurrent(base::TimePoint aAsOf)
{
  // Does not cover heartbeats, which are read by a follower of their own.
  this->confirmedAt = std::max(this->confirmedAt, aAsOf);
}

void
LeaderLog::OnUnavailable(const base::Error& aError)
{
  this->logger.Warning(
    "log unavailable",
    { { "topic", kLeaderTopic }, { "error", base::Describe(aError) } });
}

void
LeaderLog::ClaimIfDue()
{
  if (!this->hasLoadedClaims || this->isClaiming || this->isResigned) {
    return;
  }
  const base::TimePoint now = this->clock.Now();
  if (this->election.ShouldClaim(now)) {
    this->Claim();
  } else if (this->election.ShouldConfirmSilence(now) &&
             !std::exchange(this->isConfirmingSilence, true)) {
    this->heartbeatFollower->Confirm([this, alive = this->isAlive](bool) {
      // The answer was passed to OnCurrent(). Without one, a later check
      // tries again.
      if (*alive) {
        this->isConfirmingSilence = false;
      }
    });
  }
}

void
LeaderLog::CheckPeriodically()
{
  this->ClaimIfDue();
  this->ScheduleAfter(kCheckInterval, &LeaderLog::CheckPeriodically);
}

void
LeaderLog::Claim()
{
  this->isClaiming = true;
  this->claimSentAt = this->clock.Now();
  this->logger.Info(
    "claiming leadership",
    { { "former", this->former ? this->former->claim.holder.View() : "none" },
      { "expected", this->claimLogEnd } });
  const journal::KeyedValue record{ std::string(kLeaderKey),
                                    codec::EncodeClaim(this->ownClaim) };
  this->log.Append(
    { std::string(kLeaderTopic), 0 },
    std::span(&record, 1),
    { .expectedEnd = this->claimLogEnd, .stamp = std::nullopt },
    [this, alive = this->isAlive](base::Result<LogOffset> aResult) {
      this->executor.Post([this, alive, result = std::move(aResult)] {
        if (*alive) {
          this->OnClaimAnswer(result);
        }
      });
    });
}

void
LeaderLog::OnClaimAnswer(const base::Result<LogOffset>& aResult)
{
  if (!this->isClaiming || this->election.IsLeader()) {
    return;
  }
  if (aResult.has_value()) {
    // The answer may have waited; another entry may have claimed since then.
    this->confirmedAt = std::max(this->confirmedAt, this->claimSentAt);
    this->BecomeLeader(TokenOf(aResult.value()));
    return;
  }
  this->logger.Warning("leadership claim failed",
                       { { "error", base::Describe(aResult.error()) } });
  if (aResult.error().code == ErrorCode::AppendUnconfirmed) {
    // The follower will show whether the claim took effect. If it did, another
    // claim would fail its offset condition, so waiting is safe.
    this->ScheduleAfter(this->claimBackoff.Next() + kReadWait,
                        &LeaderLog::AbandonClaim);
    return;
  }
  this->ScheduleAfter(this->claimBackoff.Next(), &LeaderLog::AbandonClaim);
}

void
LeaderLog::AbandonClaim()
{
  if (!this->election.IsLeader()) {
    this->isClaiming = false;
  }
}

void
LeaderLog::BecomeLeader(base::FencingToken aToken)
{
  this->isClaiming = false;
  this->lastOwnToken = aToken;
  this->claimBackoff.Reset();
  if (this->isResigned || aToken < this->newerToken ||
      !this->election.OnClaimed(aToken, this->clock.Now())) {
    return;
  }
  this->isSettled = false;
  this->logger.Info("became leader", { { "token", aToken } });
  this->observer.OnElected(aToken, this->former);
  this->heartbeats.Start(aToken, this->isSettled);
}

void
LeaderLog::EndTerm()
{
  this->heartbeats.Stop();
  this->observer.OnDeposed();
}

void
LeaderLog::MarkSettled()
{
  this->isSettled = true;
  this->heartbeats.MarkSettled();
}

void
LeaderLog::OnNewerLeader(base::FencingToken aToken)
{
  this->newerToken = std::max(this->newerToken, aToken);
  if (this->election.IsLeader() &&
      this->election.OwnToken() < this->newerToken) {
    this->StepDown();
  }
}

void
LeaderLog::StepDown()
{
  if (this->election.IsLeader()) {
    this->election.StepDown();
    this->EndTerm();
  }
}

void
LeaderLog::Resign()
{
  this->isResigned = true;
  if (!this->election.IsLeader()) {
    return;
  }
  membership::LeaderClaim resignation = this->ownClaim;
  resignation.isResigned = true;
  resignation.isSettled = this->isSettled;
  const journal::KeyedValue record{ std::string(kLeaderKey),
                                    codec::EncodeClaim(resignation) };
  this->logger.Info("resigning leadership",
                    { { "token", this->election.OwnToken() } });
  this->StepDown();
  this->log.Append({ std::string(kLeaderTopic), 0 },
                   std::span(&record, 1),
                   { .expectedEnd = this->claimLogEnd, .stamp = std::nullopt },
                   [](const auto&) {
                     // If it fails, the others detect the missing heartbeats.
                   });
}

} // namespace amaranthwind::coordinator
