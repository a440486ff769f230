#pragma once

#include "amaranthwind/base/Backoff.h"
#include "amaranthwind/base/Executor.h"
#include "amaranthwind/journal/KeyedFollower.h"
#include "amaranthwind/membership/LeaderElection.h"
#include "amaranthwind/telemetry/Logger.h"

#include <memory>
#include <optional>

namespace amaranthwind::coordinator {

/** Told on the executor. */
class LeaderObserver
{
public:
  virtual ~LeaderObserver() = default;
  /** This entry leads. aFormer is the claim before, if there was one. */
  virtual void OnElected(
    base::FencingToken aToken,
    const std::optional<membership::LeaderClaim>& aFormer) = 0;
  /** Another entry leads now. */
  virtual void OnDeposed() = 0;
};

/**
 * Carries out membership::LeaderElection on the log: follows claims and
 * pulses, appends claims, and writes pulses while this entry leads. Lives on
 * one executor.
 */
class LeaderLog final : public journal::FollowerObserver
{
public:
  LeaderLog(const membership::LeaderElectionOptions& aOptions,
            const base::Clock& aClock,
            base::Executor& aExecutor,
            journal::KeyedLog& aLog,
            telemetry::Logger& aLogger,
            LeaderObserver& aObserver);
  ~LeaderLog() override;
  LeaderLog(const LeaderLog&) = delete;
  LeaderLog& operator=(const LeaderLog&) = delete;

  /** @param aAddress Where this entry is reached while it leads. */
  void Start(std::string_view aAddress);
  /** From now on this entry neither leads nor claims. */
  void Resign(bool aIsSettled);
  /** Another entry is known to lead. */
  void StepDown();
  void Stop();

  bool IsLeader() const noexcept { return this->election.IsLeader(); }
  const membership::LeaderElection& Election() const noexcept
  {
    return this->election;
  }
  /** When the log last confirmed what is known of the leadership. */
  base::TimePoint ConfirmedAt() const noexcept { return this->confirmedAt; }

  void OnLoaded(std::span<const journal::KeyedRecord> aNewest) override;
  void OnRecords(std::span<const journal::KeyedRecord> aRecords) override;
  void OnCurrent(base::TimePoint aAsOf) override;
  void OnUnavailable(const base::Error& aError) override;

private:
  /** Pulses are in a partition of their own, so that they move no claim. */
  class HeartbeatFollower;

  void ClaimIfDue();
  void CheckPeriodically();
  void Claim();
  void OnClaimAnswer(const base::Result<base::LogOffset>& aResult);
  void AbandonClaim();
  void BecomeLeader(base::FencingToken aToken);
  void WriteHeartbeat();
  void ScheduleAfter(base::Duration aDelay, void (LeaderLog::*aTask)());

  const membership::LeaderElectionOptions options;
  const base::Clock& clock;
  base::Executor& executor;
  journal::KeyedLog& log;
  telemetry::Logger& logger;
  LeaderObserver& observer;
  membership::LeaderElection election;
  membership::LeaderClaim ownClaim;
  /** The claim of another holder, or of a former life, before the own one. */
  std::optional<membership::LeaderClaim> former;
  std::unique_ptr<HeartbeatFollower> heartbeatFollower;
  std::unique_ptr<journal::KeyedFollower> claimFollower;
  base::LogOffset claimLogEnd;
  base::TimePoint confirmedAt{};
  base::Backoff claimBackoff;
  bool hasLoadedClaims = false;
  bool isClaiming = false;
  /** Of the newest own claim that was seen in the log. */
  base::FencingToken lastOwnToken;
  bool isResigned = false;
  /** Makes tasks of a stopped object do nothing. */
  std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

} // namespace amaranthwind::coordinator
