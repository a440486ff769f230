#include "amaranthwind/gang/GangMember.h"

#include "GangRecord.h"

#include <algorithm>
#include <map>
#include <utility>

namespace amaranthwind::gang {

namespace {

using Effects = std::vector<MemberEffect>;

/** How long an ended member keeps sending its result to the first rank. */
constexpr base::Duration kResultResendTime = std::chrono::seconds(10);

} // namespace

class GangMember::Impl
{
public:
  Impl(base::TargetId aWorker,
       fleet::Resources aCapacity,
       MemberSettings aSettings)
    : worker(std::move(aWorker))
    , capacity(aCapacity)
    , settings(aSettings)
  {
  }

  Effects Handle(base::TimePoint aNow, const MemberEvent& aEvent)
  {
    Effects result;
    this->now = aNow;
    this->effects = &result;
    std::visit([this](const auto& aAlternative) { this->On(aAlternative); },
               aEvent);
    this->effects = nullptr;
    return result;
  }

  std::optional<base::TimePoint> NextDeadline() const
  {
    std::optional<base::TimePoint> next;
    if (this->isHandedOver) {
      return next;
    }
    const auto consider = [&](base::TimePoint aTime) {
      next = next ? std::min(*next, aTime) : aTime;
    };
    for (const auto& [key, record] : this->records) {
      this->ForEachDeadline(record, consider);
    }
    return next;
  }

  fleet::Resources Reserved() const { return this->reserved; }

  bool IsIdle() const
  {
    return std::all_of(
      this->records.begin(), this->records.end(), [](const auto& aItem) {
        return aItem.second.HasEnded() && !MustReportEnd(aItem.second);
      });
  }

  std::vector<MemberStatus> Status() const
  {
    std::vector<MemberStatus> status;
    for (const auto& [key, record] : this->records) {
      if (!record.HasEnded() || MustReportEnd(record)) {
        status.push_back({ key,
                           record.rank,
                           record.lifeCycle.Phase(),
                           record.result,
                           record.reserved });
      }
    }
    return status;
  }

private:
  /** Performs the transition actions of one record. */
  class Actions final
    : public MemberActions
    , public FirstRankActions
  {
  public:
    Actions(Impl& aOwner, GangRecord& aRecord)
      : owner(aOwner)
      , record(aRecord)
    {
    }

    void FreeResources() override { this->owner.FreeResources(this->record); }
    void SendCommitted() override { this->owner.SendCommitted(this->record); }
    void StartTask() override { this->owner.StartTask(this->record); }
    void StopTask() override { this->owner.StopTask(this->record); }
    void SendRelease() override { this->owner.SendRelease(this->record); }
    void ReportStarted() override { this->owner.ReportStarted(this->record); }
    void SendStop() override { this->owner.SendStop(this->record); }
    void ReportEnded() override { this->owner.ReportEnded(this->record); }

  private:
    Impl& owner;
    GangRecord& record;
  };

  // Events.

  void On(const Prepare& aEvent)
  {
    const job::GangPlan& plan = *aEvent.plan;
    const AttemptKey key = KeyOf(plan);
    if (!this->AcceptFence(aEvent.fence)) {
      this->RefusePrepare(aEvent, base::ErrorCode::StaleToken);
      return;
    }
    if (const GangRecord* known = this->FindRecord(key); known != nullptr) {
      if (known->HasEnded()) {
        this->RefusePrepare(aEvent, base::ErrorCode::Cancelled);
      } else {
        this->PostToCoordinator(aEvent.fence.cell,
                                Promise{ key, aEvent.rank, std::nullopt });
      }
      return;
    }
    this->AbortSupersededPromises(key);
    if (aEvent.rank >= plan.members.size() ||
        plan.members[aEvent.rank].worker != this->worker) {
      this->RefusePrepare(aEvent, base::ErrorCode::Malformed);
      return;
    }
    if (this->isDraining) {
      this->RefusePrepare(aEvent, base::ErrorCode::Draining);
      return;
    }
    const fleet::Resources& need = plan.members[aEvent.rank].resources;
    fleet::Resources total = this->reserved;
    total += need;
    if (!this->capacity.Covers(total)) {
      this->RefusePrepare(aEvent, base::ErrorCode::NoTarget);
      return;
    }
    GangRecord& record =
      this->AddRecord(key, aEvent.fence.cell, aEvent.plan, aEvent.rank);
    record.nextQuery = this->now + this->settings.queryAfter;
    this->PostToCoordinator(record.cell,
                            Promise{ key, aEvent.rank, std::nullopt });
  }

  void On(const Commit& aEvent)
  {
    const auto refuse = [&](base::ErrorCode aCode) {
      this->PostToCoordinator(
        aEvent.fence.cell,
        CommitRefused{
          aEvent.key, aEvent.rank, aEvent.fence.token, { aCode, "commit" } });
    };
    if (!this->AcceptFence(aEvent.fence)) {
      refuse(base::ErrorCode::StaleToken);
      return;
    }
    GangRecord* record = this->FindRecord(aEvent.key);
    if (record == nullptr) {
      refuse(base::ErrorCode::UnknownJob);
    } else if (record->lifeCycle.Phase() == MemberPhase::Aborted) {
      refuse(base::ErrorCode::Cancelled);
    } else if (record->lifeCycle.Phase() == MemberPhase::Promised) {
      this->ProcessTrigger(*record, MemberTrigger::CommitReceived);
    } else {
      this->ResendReport(*record);
    }
  }

  void On(const Abort& aEvent)
  {
    if (!this->AcceptFence(aEvent.fence)) {
      return;
    }
    GangRecord* record = this->FindRecord(aEvent.key);
    if (record == nullptr) {
      // Record the abort, so that a late Prepare is refused.
      record = &this->records[aEvent.key];
      record->key = aEvent.key;
      record->cell = aEvent.fence.cell;
    }
    this->ProcessTrigger(*record, MemberTrigger::AbortReceived);
  }

  void On(const StopGang& aEvent)
  {
    if (aEvent.fence && !this->AcceptFence(*aEvent.fence)) {
      return;
    }
    GangRecord* record = this->FindRecord(aEvent.key);
    if (record == nullptr) {
      return;
    }
    if (IsGangActive(*record)) {
      this->StopWholeGang(*record, aEvent.reason, aEvent.grace, std::nullopt);
    } else if (record->HasEnded() && aEvent.fence) {
      this->ResendReport(*record);
    } else if (record->HasEnded()) {
      if (record->gangState == nullptr) {
        this->SendHeartbeat(*record, this->settings.peerTimeout);
      }
    } else {
      record->mustReportToCoordinator =
        record->mustReportToCoordinator || aEvent.fence.has_value();
      this->StopOwnTask(*record, aEvent.reason, aEvent.grace);
    }
  }

  void On(const GangEndedAck& aEvent)
  {
    GangRecord* record = this->FindRecord(aEvent.key);
    if (record != nullptr && record->gangState != nullptr &&
        record->gangState->lifeCycle.Phase() == FirstRankPhase::Ended) {
      record->gangState->isAcknowledged = true;
      record->gangState->peers.clear();
      record->plan.reset();
    }
  }

  void On(const OutcomeReply& aEvent)
  {
    GangRecord* record = this->FindRecord(aEvent.key);
    if (record == nullptr) {
      return;
    }
    if (aEvent.state == AttemptState::Committed) {
      this->ProcessTrigger(*record, MemberTrigger::CommitReceived);
    } else if (aEvent.state == AttemptState::Aborted) {
      this->ProcessTrigger(*record, MemberTrigger::AbortReceived);
    }
  }

  void On(const Committed& aEvent)
  {
    this->UpdateMemberPhase(
      aEvent.key, aEvent.rank, MemberPhase::Committed, MemberResult::None);
  }

  void On(const Release& aEvent)
  {
    GangRecord* record = this->FindRecord(aEvent.key);
    if (record != nullptr && record->gangState == nullptr) {
      // Release is only sent after all members have committed.
      this->ProcessTrigger(*record, MemberTrigger::CommitReceived);
      this->HandleRelease(*record);
    }
  }

  void On(const MemberHeartbeat& aEvent)
  {
    GangRecord* record = this->FindRecord(aEvent.key);
    if (aEvent.rank != 0) {
      if (record != nullptr && record->gangState != nullptr &&
          aEvent.rank < record->gangState->peers.size()) {
        Peer& peer = record->gangState->peers[aEvent.rank];
        const bool isProof =
          peer.liveness.Update(this->now, aEvent) && aEvent.echo != 0;
        peer.isMonitored = peer.isMonitored || isProof;
        if (isProof && std::exchange(peer.isReplyPending, false) &&
            --record->gangState->pendingReplies == 0) {
          this->RenewTaskLease(*record);
        }
      }
      this->UpdateMemberPhase(
        aEvent.key, aEvent.rank, aEvent.phase, aEvent.result);
      return;
    }
    if (record == nullptr || record->gangState != nullptr) {
      return;
    }
    const bool isNew = record->firstRankLiveness.Update(this->now, aEvent);
    // The first rank sends heartbeats only after it has committed, and its own
    // task starts only after Release.
    this->ProcessTrigger(*record, MemberTrigger::CommitReceived);
    if (aEvent.phase == MemberPhase::Starting ||
        aEvent.phase == MemberPhase::Running) {
      this->HandleRelease(*record);
    }
    // Reply immediately to give the first rank the newest possible proof.
    if (isNew && !record->firstRankLiveness.IsLost(this->now)) {
      this->RunHeartbeat(*record);
    }
  }

  void On(const TaskStarted& aEvent)
  {
    if (GangRecord* record = this->FindRecord(aEvent.key); record != nullptr) {
      this->ProcessTrigger(*record, MemberTrigger::TaskStartReported);
    }
  }

  void On(const TaskEnded& aEvent)
  {
    GangRecord* record = this->FindRecord(aEvent.key);
    if (record == nullptr || !record->HasTask()) {
      return;
    }
    // A task lease expires at the moment a peer counts as lost, so check for
    // the lost peer before handling the end of the task.
    this->HandleTimeouts(*record);
    const bool isStopping = record->lifeCycle.Phase() == MemberPhase::Stopping;
    if (aEvent.result == MemberResult::Succeeded) {
      record->result = MemberResult::Succeeded;
    } else {
      record->result =
        isStopping ? MemberResult::Stopped : MemberResult::Failed;
    }
    this->ProcessTrigger(*record, MemberTrigger::TaskEndReported);
  }

  void On(const AdoptTask& aEvent)
  {
    const AttemptKey key = KeyOf(*aEvent.plan);
    if (aEvent.rank >= aEvent.plan->members.size() ||
        this->FindRecord(key) != nullptr) {
      return;
    }
    GangRecord& record =
      this->AddRecord(key, aEvent.cell, aEvent.plan, aEvent.rank);
    record.firstRankLiveness.lastAliveAt = this->now;
    record.firstRankLiveness.livenessTimeout = aEvent.leaseLeft;
    if (record.gangState != nullptr) {
      record.gangState->report.wasReleased = true;
      for (Rank rank = 1; rank < record.gangState->peers.size(); ++rank) {
        Peer& peer = record.gangState->peers[rank];
        peer.isMonitored = true;
        peer.liveness.lastAliveAt = this->now;
        peer.liveness.livenessTimeout = aEvent.leaseLeft;
      }
      Actions actions(*this, record);
      record.gangState->lifeCycle.Process(FirstRankTrigger::TaskAdopted,
                                          actions);
    }
    this->ProcessTrigger(record, MemberTrigger::TaskAdopted);
    this->RunHeartbeat(record);
  }

  void On(const Drain&) { this->isDraining = true; }

  void On(const HandOver&)
  {
    this->isDraining = true;
    this->isHandedOver = true;
    for (auto& [key, record] : this->records) {
      if (record.lifeCycle.Phase() == MemberPhase::Starting ||
          record.lifeCycle.Phase() == MemberPhase::Running) {
        this->effects->emplace_back(
          RenewLease{ key, this->settings.handoverTimeout });
        this->SendHeartbeat(record, this->settings.handoverTimeout);
      }
    }
  }

  void On(const Tick&)
  {
    if (this->isHandedOver) {
      return; // Another heartbeat would revoke the longer handover timeout.
    }
    for (auto position = this->records.begin();
         position != this->records.end();) {
      GangRecord& record = position->second;
      this->HandleTimeouts(record);
      const bool isExpired =
        record.HasEnded() && !MustReportEnd(record) &&
        this->now - record.endedAt >= this->settings.endedRetention;
      position =
        isExpired ? this->records.erase(position) : std::next(position);
    }
    this->EvictEndedRecords();
  }

  // Timeouts.

  template<typename Consider>
  void ForEachDeadline(const GangRecord& aRecord, Consider aConsider) const
  {
    const MemberPhase phase = aRecord.lifeCycle.Phase();
    if (phase == MemberPhase::Promised) {
      aConsider(aRecord.nextQuery);
    } else if (!aRecord.HasEnded() || this->IsResendingResult(aRecord)) {
      aConsider(aRecord.nextHeartbeat);
    }
    if (phase == MemberPhase::Stopping) {
      aConsider(aRecord.nextStopTask);
    }
    if (aRecord.gangState == nullptr) {
      if (phase > MemberPhase::Promised && phase < MemberPhase::Stopping) {
        aConsider(aRecord.firstRankLiveness.LossTime());
      }
    } else if (aRecord.gangState->lifeCycle.Phase() == FirstRankPhase::Ended) {
      if (!aRecord.gangState->isAcknowledged) {
        aConsider(aRecord.gangState->nextReport);
      }
    } else if (phase != MemberPhase::Promised &&
               phase != MemberPhase::Aborted) {
      aConsider(aRecord.nextHeartbeat);
      if (aRecord.gangState->deadline) {
        aConsider(*aRecord.gangState->deadline);
      }
      if (aRecord.gangState->nextLossTime) {
        aConsider(*aRecord.gangState->nextLossTime);
      }
    }
  }

  void HandleTimeouts(GangRecord& aRecord)
  {
    const MemberPhase phase = aRecord.lifeCycle.Phase();
    if (phase == MemberPhase::Promised) {
      this->SendOutcomeQuery(aRecord);
      return;
    }
    if (aRecord.gangState == nullptr && phase > MemberPhase::Promised &&
        phase < MemberPhase::Stopping &&
        aRecord.firstRankLiveness.IsLost(this->now)) {
      this->HandleFirstRankLoss(aRecord);
    }
    if (phase == MemberPhase::Stopping && this->now >= aRecord.nextStopTask) {
      aRecord.grace = {};
      this->ProcessTrigger(aRecord, MemberTrigger::StopOrdered);
    }
    if (aRecord.gangState != nullptr && phase != MemberPhase::Aborted) {
      this->HandleFirstRankTimeouts(aRecord);
    }
    const bool isActive = !aRecord.HasEnded() ||
                          this->IsResendingResult(aRecord) ||
                          IsGangActive(aRecord);
    if (isActive && this->now >= aRecord.nextHeartbeat) {
      this->RunHeartbeat(aRecord);
    }
    if (!isActive && !MustReportEnd(aRecord)) {
      aRecord.plan.reset();
    }
  }

  void HandleFirstRankTimeouts(GangRecord& aRecord)
  {
    GangState& gangState = *aRecord.gangState;
    const FirstRankPhase phase = gangState.lifeCycle.Phase();
    if (phase == FirstRankPhase::Ended) {
      if (!gangState.isAcknowledged && this->now >= gangState.nextReport) {
        this->ResendReport(aRecord);
      }
      return;
    }
    if (phase == FirstRankPhase::Stopping) {
      if (gangState.deadline && this->now >= *gangState.deadline) {
        gangState.deadline.reset();
        for (Rank rank = 0; rank < gangState.peers.size(); ++rank) {
          if (rank != aRecord.rank) {
            gangState.Advance(rank, MemberPhase::Ended, MemberResult::Lost);
          }
        }
        this->AdvanceGang(aRecord);
      }
      return;
    }
    gangState.nextLossTime.reset();
    for (Rank rank = 1; rank < gangState.peers.size(); ++rank) {
      const Peer& peer = gangState.peers[rank];
      if (!peer.isMonitored || peer.phase == MemberPhase::Ended) {
        continue;
      }
      if (peer.liveness.IsLost(this->now)) {
        this->StopWholeGang(aRecord, StopReason::MemberLost, {}, rank);
        return;
      }
      const base::TimePoint lossTime = peer.liveness.LossTime();
      gangState.nextLossTime = gangState.nextLossTime
                                 ? std::min(*gangState.nextLossTime, lossTime)
                                 : lossTime;
    }
    if (gangState.deadline && this->now >= *gangState.deadline) {
      const auto lateMember = std::find_if(
        gangState.peers.begin(), gangState.peers.end(), [&](const Peer& aPeer) {
          return aPeer.phase < (phase == FirstRankPhase::Collecting
                                  ? MemberPhase::Committed
                                  : MemberPhase::Running);
        });
      this->StopWholeGang(
        aRecord,
        StopReason::StartTimeout,
        {},
        static_cast<Rank>(lateMember - gangState.peers.begin()));
    }
  }

  void SendOutcomeQuery(GangRecord& aRecord)
  {
    if (this->now < aRecord.nextQuery) {
      return;
    }
    this->effects->emplace_back(QueryOutcome{ { aRecord.key, aRecord.cell },
                                              aRecord.hasAskedCoordinator });
    aRecord.hasAskedCoordinator = !aRecord.hasAskedCoordinator;
    aRecord.nextQuery = this->now + this->settings.queryInterval;
  }

  void RunHeartbeat(GangRecord& aRecord)
  {
    // A member normally replies to the first rank's heartbeats. It uses a
    // longer interval, so that it only sends on its own if these fail to
    // arrive.
    aRecord.nextHeartbeat =
      this->now + (aRecord.gangState != nullptr
                     ? this->settings.heartbeatInterval
                     : this->settings.heartbeatInterval * 3 / 2);
    this->RenewTaskLease(aRecord);
    if (aRecord.gangState != nullptr &&
        aRecord.gangState->lifeCycle.Phase() == FirstRankPhase::Stopping) {
      this->SendStopToPeers(aRecord);
    } else {
      this->SendHeartbeat(aRecord, this->settings.peerTimeout);
    }
  }

  void RenewTaskLease(const GangRecord& aRecord)
  {
    // Not renewed while a task is being killed, so that the expiring lease ends
    // it even if the worker does not carry out the order.
    if (aRecord.HasTask() &&
        (aRecord.lifeCycle.Phase() != MemberPhase::Stopping ||
         aRecord.grace > base::Duration::zero())) {
      this->effects->emplace_back(
        RenewLease{ aRecord.key, this->RemainingLease(aRecord) });
    }
  }

  // Transitions of a member.

  void ProcessTrigger(GangRecord& aRecord, MemberTrigger aTrigger)
  {
    const MemberPhase before = aRecord.lifeCycle.Phase();
    Actions actions(*this, aRecord);
    aRecord.lifeCycle.Process(aTrigger, actions);
    const MemberPhase phase = aRecord.lifeCycle.Phase();
    if (phase == before) {
      return;
    }
    if (aRecord.gangState != nullptr) {
      aRecord.gangState->Advance(aRecord.rank, phase, aRecord.result);
      this->AdvanceGang(aRecord);
    } else if (phase >= MemberPhase::Running && phase <= MemberPhase::Ended) {
      this->SendHeartbeat(aRecord, this->settings.peerTimeout);
    }
  }

  void FreeResources(GangRecord& aRecord)
  {
    if (!aRecord.HasTask()) {
      aRecord.result = MemberResult::NotStarted;
    }
    this->reserved -= aRecord.reserved;
    aRecord.reserved = {};
    aRecord.endedAt = this->now;
    if (aRecord.mustReportToCoordinator) {
      this->PostToCoordinator(
        aRecord.cell, MemberEnded{ aRecord.key, aRecord.rank, aRecord.result });
    }
  }

  void SendCommitted(GangRecord& aRecord)
  {
    aRecord.nextHeartbeat = this->now;
    aRecord.firstRankLiveness.lastAliveAt = this->now;
    aRecord.firstRankLiveness.livenessTimeout = this->settings.peerTimeout;
    if (aRecord.gangState != nullptr) {
      aRecord.gangState->deadline = this->now + this->settings.startTimeout;
    } else {
      this->PostToPeer(aRecord, 0, Committed{ aRecord.key, aRecord.rank });
    }
  }

  void StartTask(GangRecord& aRecord)
  {
    this->effects->emplace_back(gang::StartTask{
      aRecord.key, aRecord.rank, aRecord.plan, this->RemainingLease(aRecord) });
  }

  /**
   * Time until the first peer would count as lost if no further heartbeat
   * arrived or, for a task that writes its checkpoint, until it is killed.
   */
  base::Duration RemainingLease(const GangRecord& aRecord) const
  {
    if (aRecord.lifeCycle.Phase() == MemberPhase::Stopping) {
      return aRecord.nextStopTask - this->now;
    }
    if (aRecord.gangState == nullptr) {
      return aRecord.firstRankLiveness.LossTime() - this->now;
    }
    base::Duration left = this->settings.peerTimeout;
    for (const Peer& peer : aRecord.gangState->peers) {
      if (peer.isMonitored && peer.phase != MemberPhase::Ended) {
        left = std::min(left, peer.liveness.LossTime() - this->now);
      }
    }
    return left;
  }

  void HandleRelease(GangRecord& aRecord)
  {
    if (aRecord.lifeCycle.Phase() == MemberPhase::Committed &&
        aRecord.firstRankLiveness.IsLost(this->now)) {
      this->HandleFirstRankLoss(aRecord);
    } else {
      this->ProcessTrigger(aRecord, MemberTrigger::ReleaseReceived);
    }
  }

  void HandleFirstRankLoss(GangRecord& aRecord)
  {
    aRecord.mustReportToCoordinator = true;
    this->StopOwnTask(aRecord, StopReason::FirstRankLost, {});
  }

  void StopTask(GangRecord& aRecord)
  {
    aRecord.nextStopTask = this->now + (aRecord.grace > base::Duration::zero()
                                          ? aRecord.grace
                                          : this->settings.reportInterval);
    this->effects->emplace_back(gang::StopTask{ aRecord.key, aRecord.grace });
  }

  void StopOwnTask(GangRecord& aRecord,
                   StopReason aReason,
                   base::Duration aGrace)
  {
    const bool isStricter = this->now + aGrace < aRecord.nextStopTask &&
                            aRecord.grace > base::Duration::zero();
    if (aRecord.lifeCycle.Phase() == MemberPhase::Stopping && !isStricter) {
      return;
    }
    aRecord.stopReason = aReason;
    aRecord.grace = aGrace;
    this->ProcessTrigger(aRecord, MemberTrigger::StopOrdered);
  }

  // Transitions of the first rank.

  void ProcessTrigger(GangRecord& aRecord, FirstRankTrigger aTrigger)
  {
    Actions actions(*this, aRecord);
    aRecord.gangState->lifeCycle.Process(aTrigger, actions);
  }

  /** Performs all gang transitions that the members' phases allow. */
  void AdvanceGang(GangRecord& aRecord)
  {
    GangState& gangState = *aRecord.gangState;
    const std::size_t count = gangState.peers.size();
    if (gangState.lifeCycle.Phase() == FirstRankPhase::Collecting &&
        gangState.committedCount == count && !gangState.failedRank) {
      this->ProcessTrigger(aRecord, FirstRankTrigger::AllCommitted);
      this->ProcessTrigger(aRecord, MemberTrigger::ReleaseReceived);
    }
    if (gangState.lifeCycle.Phase() < FirstRankPhase::Stopping &&
        gangState.failedRank) {
      this->StopWholeGang(
        aRecord, StopReason::MemberFailed, {}, *gangState.failedRank);
    }
    if (gangState.lifeCycle.Phase() == FirstRankPhase::Released &&
        gangState.runningCount == count) {
      this->ProcessTrigger(aRecord, FirstRankTrigger::AllRunning);
    }
    if (gangState.endedCount == count) {
      this->ProcessTrigger(aRecord, FirstRankTrigger::AllEnded);
    }
  }

  void SendRelease(GangRecord& aRecord)
  {
    GangState& gangState = *aRecord.gangState;
    gangState.report.wasReleased = true;
    gangState.deadline = this->now + this->settings.releaseTimeout;
    for (Rank rank = 1; rank < gangState.peers.size(); ++rank) {
      Peer& peer = gangState.peers[rank];
      if (!peer.isMonitored) {
        peer.isMonitored = true;
        peer.liveness.lastAliveAt = this->now;
        peer.liveness.livenessTimeout = this->settings.peerTimeout;
      }
      this->PostToPeer(aRecord, rank, Release{ aRecord.key });
    }
  }

  void ReportStarted(GangRecord& aRecord)
  {
    aRecord.gangState->deadline.reset();
    this->PostToCoordinator(aRecord.cell, GangStarted{ aRecord.key });
  }

  void StopWholeGang(GangRecord& aRecord,
                     StopReason aReason,
                     base::Duration aGrace,
                     std::optional<Rank> aRankAtFault)
  {
    GangState& gangState = *aRecord.gangState;
    const bool isStopping =
      gangState.lifeCycle.Phase() == FirstRankPhase::Stopping;
    if (isStopping && aGrace >= aRecord.grace) {
      return;
    }
    if (!isStopping) {
      gangState.report.reason = aReason;
      gangState.report.rankAtFault = aRankAtFault;
    }
    gangState.nextLossTime.reset();
    gangState.deadline = this->now + aGrace + this->settings.stopTimeout;
    aRecord.stopReason = gangState.report.reason.value_or(aReason);
    aRecord.grace = aGrace;
    // Before this member's own task is stopped, so that the end of the task
    // counts as part of the stop instead of as a failure.
    this->ProcessTrigger(aRecord, FirstRankTrigger::StopNeeded);
    this->ProcessTrigger(aRecord, MemberTrigger::StopOrdered);
    this->AdvanceGang(aRecord);
  }

  void SendStop(GangRecord& aRecord)
  {
    aRecord.nextHeartbeat = this->now + this->settings.heartbeatInterval;
    this->SendStopToPeers(aRecord);
  }

  void SendStopToPeers(GangRecord& aRecord)
  {
    for (Rank rank = 1; rank < aRecord.gangState->peers.size(); ++rank) {
      if (aRecord.gangState->peers[rank].phase != MemberPhase::Ended) {
        this->PostToPeer(
          aRecord,
          rank,
          StopGang{
            aRecord.key, std::nullopt, aRecord.stopReason, aRecord.grace });
      }
    }
  }

  void ReportEnded(GangRecord& aRecord)
  {
    GangEnded& report = aRecord.gangState->report;
    for (const Peer& peer : aRecord.gangState->peers) {
      report.results.push_back(peer.result);
    }
    aRecord.gangState->nextReport = this->now + this->settings.reportInterval;
    this->PostToCoordinator(aRecord.cell, report);
  }

  // Helpers.

  /** Resends the report that a coordinator which repeats an order has missed.
   */
  void ResendReport(GangRecord& aRecord)
  {
    if (aRecord.gangState == nullptr) {
      if (aRecord.lifeCycle.Phase() == MemberPhase::Ended) {
        this->PostToCoordinator(
          aRecord.cell,
          MemberEnded{ aRecord.key, aRecord.rank, aRecord.result });
      }
    } else if (aRecord.gangState->lifeCycle.Phase() == FirstRankPhase::Ended) {
      aRecord.gangState->nextReport = this->now + this->settings.reportInterval;
      this->PostToCoordinator(aRecord.cell, aRecord.gangState->report);
    } else if (aRecord.gangState->lifeCycle.Phase() ==
               FirstRankPhase::Running) {
      this->ReportStarted(aRecord);
    }
  }

  /** Handles a member's phase that the first rank received. */
  void UpdateMemberPhase(const AttemptKey& aKey,
                         Rank aRank,
                         MemberPhase aPhase,
                         MemberResult aResult)
  {
    GangRecord* record = this->FindRecord(aKey);
    if (record == nullptr ||
        (record->gangState != nullptr && !IsGangActive(*record))) {
      if (aPhase < MemberPhase::Ended) {
        this->effects->emplace_back(SendToPeer{
          {},
          {},
          StopGang{ aKey, std::nullopt, StopReason::UnknownAttempt, {} } });
      }
      return;
    }
    if (record->gangState == nullptr ||
        aRank >= record->gangState->peers.size()) {
      return;
    }
    // A member commits only on a decision, which also applies to the first
    // rank.
    this->ProcessTrigger(*record, MemberTrigger::CommitReceived);
    record->gangState->Advance(aRank, aPhase, aResult);
    this->AdvanceGang(*record);
  }

  bool AcceptFence(const Fence& aFence)
  {
    base::FencingToken& highest = this->highestTokens[aFence.cell];
    if (aFence.token < highest) {
      return false;
    }
    highest = aFence.token;
    return true;
  }

  GangRecord* FindRecord(const AttemptKey& aKey)
  {
    const auto found = this->records.find(aKey);
    return found == this->records.end() ? nullptr : &found->second;
  }

  GangRecord& AddRecord(const AttemptKey& aKey,
                        const base::ZoneId& aCell,
                        const std::shared_ptr<const job::GangPlan>& aPlan,
                        Rank aRank)
  {
    GangRecord& record = this->records[aKey];
    record.key = aKey;
    record.cell = aCell;
    record.plan = aPlan;
    record.rank = aRank;
    record.reserved = aPlan->members[aRank].resources;
    this->reserved += record.reserved;
    if (aRank == 0) {
      record.gangState = std::make_unique<GangState>();
      record.gangState->peers.resize(aPlan->members.size());
      record.gangState->report.key = aKey;
      record.gangState->report.wasReleased = false;
    }
    return record;
  }

  /**
   * Aborts promises for older plans of the same attempt. A coordinator reuses
   * an attempt number only if the log held no decision on it when its epoch
   * began, so the older plans are void.
   */
  void AbortSupersededPromises(const AttemptKey& aKey)
  {
    for (auto position = this->records.lower_bound({ aKey.gang, {} });
         position != this->records.end() && position->first < aKey;
         ++position) {
      this->ProcessTrigger(position->second, MemberTrigger::AbortReceived);
    }
  }

  void RefusePrepare(const Prepare& aPrepare, base::ErrorCode aCode)
  {
    this->PostToCoordinator(aPrepare.fence.cell,
                            Promise{ KeyOf(*aPrepare.plan),
                                     aPrepare.rank,
                                     base::Error{ aCode, "prepare" } });
  }

  void PostToCoordinator(const base::ZoneId& aCell,
                         MemberToCoordinator aMessage)
  {
    this->effects->emplace_back(
      SendToCoordinator{ aCell, std::move(aMessage) });
  }

  void PostToPeer(const GangRecord& aRecord, Rank aRank, PeerMessage aMessage)
  {
    if (aRecord.plan != nullptr) {
      const job::GangMemberPlan& peer = aRecord.plan->members[aRank];
      this->effects->emplace_back(
        SendToPeer{ peer.worker, peer.address, std::move(aMessage) });
    }
  }

  void SendHeartbeat(GangRecord& aRecord, base::Duration aLivenessTimeout)
  {
    const auto time =
      static_cast<std::uint64_t>(this->now.time_since_epoch().count());
    // Also increases across a restart of the daemon, as the clock of the VM
    // does.
    this->sequence = std::max(this->sequence + 1, time);
    MemberHeartbeat heartbeat;
    heartbeat.key = aRecord.key;
    heartbeat.rank = aRecord.rank;
    heartbeat.sequence = this->sequence;
    heartbeat.phase = aRecord.lifeCycle.Phase();
    heartbeat.result = aRecord.result;
    heartbeat.livenessTimeout = aLivenessTimeout;
    if (aRecord.gangState == nullptr) {
      heartbeat.echo = aRecord.firstRankLiveness.sequence;
      this->PostToPeer(aRecord, 0, heartbeat);
      return;
    }
    aRecord.gangState->pendingReplies = 0;
    for (Rank rank = 1; rank < aRecord.gangState->peers.size(); ++rank) {
      Peer& peer = aRecord.gangState->peers[rank];
      peer.isReplyPending = peer.phase != MemberPhase::Ended;
      if (peer.isReplyPending) {
        ++aRecord.gangState->pendingReplies;
        heartbeat.echo = peer.liveness.sequence;
        this->PostToPeer(aRecord, rank, heartbeat);
      }
    }
  }

  static bool IsGangActive(const GangRecord& aRecord)
  {
    return aRecord.gangState != nullptr &&
           aRecord.lifeCycle.Phase() != MemberPhase::Aborted &&
           aRecord.gangState->lifeCycle.Phase() != FirstRankPhase::Ended;
  }

  static bool MustReportEnd(const GangRecord& aRecord)
  {
    return aRecord.gangState != nullptr &&
           aRecord.lifeCycle.Phase() != MemberPhase::Aborted &&
           !aRecord.gangState->isAcknowledged;
  }

  bool IsResendingResult(const GangRecord& aRecord) const
  {
    return aRecord.gangState == nullptr &&
           aRecord.lifeCycle.Phase() == MemberPhase::Ended &&
           this->now - aRecord.endedAt < kResultResendTime;
  }

  /** Evicts the records that ended first, down to the configured limit. */
  void EvictEndedRecords()
  {
    const auto isEnded = [](const auto& aItem) {
      return aItem.second.HasEnded();
    };
    auto endedCount =
      std::count_if(this->records.begin(), this->records.end(), isEnded);
    while (endedCount >
           static_cast<std::ptrdiff_t>(this->settings.endedLimit)) {
      auto oldest = this->records.end();
      for (auto position = this->records.begin();
           position != this->records.end();
           ++position) {
        if (isEnded(*position) &&
            (oldest == this->records.end() ||
             position->second.endedAt < oldest->second.endedAt)) {
          oldest = position;
        }
      }
      this->records.erase(oldest);
      --endedCount;
    }
  }

  const base::TargetId worker;
  const fleet::Resources capacity;
  const MemberSettings settings;
  fleet::Resources reserved;
  bool isDraining = false;
  bool isHandedOver = false;
  std::uint64_t sequence = 0;
  std::map<base::ZoneId, base::FencingToken> highestTokens;
  std::map<AttemptKey, GangRecord> records;
  base::TimePoint now;
  Effects* effects = nullptr;
};

GangMember::GangMember(base::TargetId aWorker,
                       fleet::Resources aCapacity,
                       MemberSettings aSettings)
  : impl(std::make_unique<Impl>(std::move(aWorker), aCapacity, aSettings))
{
}

GangMember::~GangMember() = default;
GangMember::GangMember(GangMember&&) noexcept = default;
GangMember&
GangMember::operator=(GangMember&&) noexcept = default;

std::vector<MemberEffect>
GangMember::Handle(base::TimePoint aNow, const MemberEvent& aEvent)
{
  return this->impl->Handle(aNow, aEvent);
}

std::optional<base::TimePoint>
GangMember::NextDeadline() const
{
  return this->impl->NextDeadline();
}

fleet::Resources
GangMember::Reserved() const
{
  return this->impl->Reserved();
}

bool
GangMember::IsIdle() const
{
  return this->impl->IsIdle();
}

std::vector<MemberStatus>
GangMember::Status() const
{
  return this->impl->Status();
}

} // namespace amaranthwind::gang
