#pragma once

#include "HeartbeatWriter.h"
#include "amaranthwind/base/Backoff.h"
#include "amaranthwind/base/ProgressExecutor.h"
#include "amaranthwind/journal/KeyedFollower.h"
#include "amaranthwind/membership/LeaderElection.h"
#include "amaranthwind/telemetry/Logger.h"

#include <memory>
#include <optional>

namespace amaranthwind::coordinator {

/** Notified of leadership changes, on the executor. */
class LeaderObserver
{
public:
  virtual ~LeaderObserver() = default;
  /** This entry became the leader. aFormer is the previous term, if any. */
  virtual void OnElected(
    base::FencingToken aToken,
    const std::optional<membership::LeaderTerm>& aFormer) = 0;
  /** This entry is no longer the leader. */
  virtual void OnDeposed() = 0;
};

/**
 * Runs membership::LeaderElection on the log: follows claims and heartbeats,
 * appends claims, and writes heartbeats while this entry is the leader.
 * Confined to one executor, except for the heartbeats.
 */
class LeaderLog final : public journal::FollowerObserver
{
public:
  LeaderLog(const membership::LeaderElectionOptions& aOptions,
            const base::Clock& aClock,
            base::ProgressExecutor& aExecutor,
            base::Executor& aHeartbeatExecutor,
            journal::KeyedLog& aLog,
            telemetry::Logger& aLogger,
            LeaderObserver& aObserver);
  ~LeaderLog() override;
  LeaderLog(const LeaderLog&) = delete;
  LeaderLog& operator=(const LeaderLog&) = delete;

  /** @param aAddress Address of this entry, published in its claims. */
  void Start(std::string_view aAddress);
  /** Gives up the leadership for good; this entry claims no more. */
  void Resign();
  /** Ends the leadership because another entry is known to lead. */
  void StepDown();
  /**
   * Another entry leads with the given token. Ends an older leadership of this
   * entry, also one whose claim has not been answered yet.
   */
  void OnNewerLeader(base::FencingToken aToken);
  /** The current term is settled, see membership::LeaderPulse::isSettled. */
  void MarkSettled();
  void Stop();

  bool IsLeader() const noexcept { return this->election.IsLeader(); }
  const membership::LeaderElection& Election() const noexcept
  {
    return this->election;
  }
  /** When the log last confirmed the view of the leadership. */
  base::TimePoint ConfirmedAt() const noexcept { return this->confirmedAt; }

  void OnLoaded(std::span<const journal::KeyedRecord> aNewest) override;
  void OnRecords(std::span<const journal::KeyedRecord> aRecords) override;
  void OnCurrent(base::TimePoint aAsOf) override;
  void OnUnavailable(const base::Error& aError) override;

private:
  /**
   * Heartbeats have their own partition, so that they do not advance the end
   * offset on which claims are conditioned.
   */
  class HeartbeatFollower;

  void ClaimIfDue();
  void CheckPeriodically();
  void Claim();
  void OnClaimRecord(const journal::KeyedRecord& aRecord);
  void OnClaimAnswer(const base::Result<base::LogOffset>& aResult);
  void AbandonClaim();
  void BecomeLeader(base::FencingToken aToken);
  void EndTerm();
  void ScheduleAfter(base::Duration aDelay, void (LeaderLog::*aTask)());

  const membership::LeaderElectionOptions options;
  const base::Clock& clock;
  base::Executor& executor;
  journal::KeyedLog& log;
  telemetry::Logger& logger;
  LeaderObserver& observer;
  membership::LeaderElection election;
  HeartbeatWriter heartbeats;
  membership::LeaderClaim ownClaim;
  /** Latest claim by another holder or an earlier incarnation of this one. */
  std::optional<membership::LeaderTerm> former;
  std::unique_ptr<HeartbeatFollower> heartbeatFollower;
  std::unique_ptr<journal::KeyedFollower> claimFollower;
  base::LogOffset claimLogEnd;
  base::TimePoint confirmedAt{};
  base::Backoff claimBackoff;
  bool hasLoadedClaims = false;
  bool isClaiming = false;
  bool isConfirmingSilence = false;
  base::TimePoint claimSentAt{};
  /** Newest token with which another entry is known to lead. */
  base::FencingToken newerToken{ 0 };
  /** Whether the current term is settled. */
  bool isSettled = false;
  /** Token of the newest own claim seen in the log. */
  base::FencingToken lastOwnToken;
  bool isResigned = false;
  /** Disables callbacks that run after Stop() or destruction. */
  std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

} // namespace amaranthwind::coordinator
