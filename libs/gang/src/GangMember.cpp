#include "amaranthwind/gang/GangMember.h"

#include "GangRecord.h"

#include <algorithm>
#include <map>
#include <utility>

namespace amaranthwind::gang {

namespace {

using Effects = std::vector<MemberEffect>;

/** An ended member repeats its result to the first rank for this long. */
constexpr base::Duration kResultRepeatTime = std::chrono::seconds(10);

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
        return aItem.second.IsOver() && !MustReportEnd(aItem.second);
      });
  }

  std::vector<MemberStatus> Status() const
  {
    std::vector<MemberStatus> status;
    for (const auto& [key, record] : this->records) {
      if (!record.IsOver() || MustReportEnd(record)) {
        status.push_back({ key,
                           record.rank,
                           record.life.Phase(),
                           record.result,
                           record.reserved });
      }
    }
    return status;
  }

private:
  /** Carries out the transitions of one record. */
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

    void Free() override { this->owner.Free(this->record); }
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
    if (!this->Accept(aEvent.fence)) {
      this->RefusePrepare(aEvent, base::ErrorCode::StaleToken);
      return;
    }
    if (const GangRecord* known = this->Find(key); known != nullptr) {
      if (known->IsOver()) {
        this->RefusePrepare(aEvent, base::ErrorCode::Cancelled);
      } else {
        this->PostToCoordinator(aEvent.fence.cell,
                                Promise{ key, aEvent.rank, std::nullopt });
      }
      return;
    }
    this->DropVoidPromises(key);
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
    fleet::Resources wanted = this->reserved;
    wanted += need;
    if (!this->capacity.Covers(wanted)) {
      this->RefusePrepare(aEvent, base::ErrorCode::NoTarget);
      return;
    }
    GangRecord& record =
      this->Add(key, aEvent.fence.cell, aEvent.plan, aEvent.rank);
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
    if (!this->Accept(aEvent.fence)) {
      refuse(base::ErrorCode::StaleToken);
      return;
    }
    GangRecord* record = this->Find(aEvent.key);
    if (record == nullptr) {
      refuse(base::ErrorCode::UnknownJob);
    } else if (record->life.Phase() == MemberPhase::Aborted) {
      refuse(base::ErrorCode::Cancelled);
    } else if (record->life.Phase() == MemberPhase::Promised) {
      this->Step(*record, MemberStep::CommitSeen);
    } else {
      this->RepeatReport(*record);
    }
  }

  void On(const Abort& aEvent)
  {
    if (!this->Accept(aEvent.fence)) {
      return;
    }
    GangRecord* record = this->Find(aEvent.key);
    if (record == nullptr) {
      // Remembered, so that a Prepare that arrives late gets no promise.
      record = &this->records[aEvent.key];
      record->key = aEvent.key;
      record->cell = aEvent.fence.cell;
    }
    this->Step(*record, MemberStep::AbortSeen);
  }

  void On(const StopGang& aEvent)
  {
    if (aEvent.fence && !this->Accept(*aEvent.fence)) {
      return;
    }
    GangRecord* record = this->Find(aEvent.key);
    if (record == nullptr) {
      return;
    }
    if (IsGangActive(*record)) {
      this->StopAll(*record, aEvent.reason, aEvent.grace, std::nullopt);
    } else if (record->IsOver() && aEvent.fence) {
      this->RepeatReport(*record);
    } else if (record->IsOver()) {
      if (record->first == nullptr) {
        this->SendAlive(*record, this->settings.silenceTimeout);
      }
    } else {
      record->mustReportToCoordinator =
        record->mustReportToCoordinator || aEvent.fence.has_value();
      this->StopSelf(*record, aEvent.reason, aEvent.grace);
    }
  }

  void On(const GangEndedAck& aEvent)
  {
    GangRecord* record = this->Find(aEvent.key);
    if (record != nullptr && record->first != nullptr &&
        record->first->life.Phase() == FirstRankPhase::Over) {
      record->first->isAcknowledged = true;
      record->first->peers.clear();
      record->plan.reset();
    }
  }

  void On(const OutcomeReply& aEvent)
  {
    GangRecord* record = this->Find(aEvent.key);
    if (record == nullptr) {
      return;
    }
    if (aEvent.state == AttemptState::Committed) {
      this->Step(*record, MemberStep::CommitSeen);
    } else if (aEvent.state == AttemptState::Aborted) {
      this->Step(*record, MemberStep::AbortSeen);
    }
  }

  void On(const Committed& aEvent)
  {
    this->HearMember(
      aEvent.key, aEvent.rank, MemberPhase::Committed, MemberResult::None);
  }

  void On(const Release& aEvent)
  {
    GangRecord* record = this->Find(aEvent.key);
    if (record != nullptr && record->first == nullptr) {
      // A Release proves the commit.
      this->Step(*record, MemberStep::CommitSeen);
      this->BeReleased(*record);
    }
  }

  void On(const MemberAlive& aEvent)
  {
    GangRecord* record = this->Find(aEvent.key);
    if (aEvent.rank != 0) {
      if (record != nullptr && record->first != nullptr &&
          aEvent.rank < record->first->peers.size()) {
        Peer& peer = record->first->peers[aEvent.rank];
        const bool isProof =
          peer.contact.Hear(this->now, aEvent) && aEvent.echo != 0;
        peer.isWatched = peer.isWatched || isProof;
        if (isProof && std::exchange(peer.isAwaited, false) &&
            --record->first->awaited == 0) {
          this->RenewLeaseOf(*record);
        }
      }
      this->HearMember(aEvent.key, aEvent.rank, aEvent.phase, aEvent.result);
      return;
    }
    if (record == nullptr || record->first != nullptr) {
      return;
    }
    const bool isNew = record->firstRank.Hear(this->now, aEvent);
    // The first rank sends this only after it has committed itself, and its
    // own task only starts after Release.
    this->Step(*record, MemberStep::CommitSeen);
    if (aEvent.phase == MemberPhase::Starting ||
        aEvent.phase == MemberPhase::Running) {
      this->BeReleased(*record);
    }
    // An immediate reply gives the first rank the newest possible proof.
    if (isNew && !record->firstRank.IsLost(this->now)) {
      this->Beat(*record);
    }
  }

  void On(const TaskStarted& aEvent)
  {
    if (GangRecord* record = this->Find(aEvent.key); record != nullptr) {
      this->Step(*record, MemberStep::TaskStartSeen);
    }
  }

  void On(const TaskEnded& aEvent)
  {
    GangRecord* record = this->Find(aEvent.key);
    if (record == nullptr || !record->HasTask()) {
      return;
    }
    // A lease ends at the moment in which a peer is lost: that comes first.
    this->OnTime(*record);
    const bool isStopping = record->life.Phase() == MemberPhase::Stopping;
    if (aEvent.result == MemberResult::Succeeded) {
      record->result = MemberResult::Succeeded;
    } else {
      record->result =
        isStopping ? MemberResult::Stopped : MemberResult::Failed;
    }
    this->Step(*record, MemberStep::TaskEndSeen);
  }

  void On(const AdoptTask& aEvent)
  {
    const AttemptKey key = KeyOf(*aEvent.plan);
    if (aEvent.rank >= aEvent.plan->members.size() ||
        this->Find(key) != nullptr) {
      return;
    }
    GangRecord& record = this->Add(key, aEvent.cell, aEvent.plan, aEvent.rank);
    record.firstRank.provenAt = this->now;
    record.firstRank.allowance = aEvent.leaseLeft;
    if (record.first != nullptr) {
      record.first->report.wasReleased = true;
      for (Rank rank = 1; rank < record.first->peers.size(); ++rank) {
        Peer& peer = record.first->peers[rank];
        peer.isWatched = true;
        peer.contact.provenAt = this->now;
        peer.contact.allowance = aEvent.leaseLeft;
      }
      Actions actions(*this, record);
      record.first->life.Process(FirstRankStep::TaskFound, actions);
    }
    this->Step(record, MemberStep::TaskFound);
    this->Beat(record);
  }

  void On(const Drain&) { this->isDraining = true; }

  void On(const HandOver&)
  {
    this->isDraining = true;
    this->isHandedOver = true;
    for (auto& [key, record] : this->records) {
      if (record.life.Phase() == MemberPhase::Starting ||
          record.life.Phase() == MemberPhase::Running) {
        this->effects->emplace_back(
          RenewLease{ key, this->settings.handoverTimeout });
        this->SendAlive(record, this->settings.handoverTimeout);
      }
    }
  }

  void On(const Tick&)
  {
    if (this->isHandedOver) {
      return; // A heartbeat now would take the longer allowance back.
    }
    for (auto position = this->records.begin();
         position != this->records.end();) {
      GangRecord& record = position->second;
      this->OnTime(record);
      const bool isForgotten =
        record.IsOver() && !MustReportEnd(record) &&
        this->now - record.endedAt >= this->settings.endedRetention;
      position =
        isForgotten ? this->records.erase(position) : std::next(position);
    }
    this->LimitEnded();
  }

  // Time.

  template<typename Consider>
  void ForEachDeadline(const GangRecord& aRecord, Consider aConsider) const
  {
    const MemberPhase phase = aRecord.life.Phase();
    if (phase == MemberPhase::Promised) {
      aConsider(aRecord.nextQuery);
    } else if (!aRecord.IsOver() || this->RepeatsResult(aRecord)) {
      aConsider(aRecord.nextHeartbeat);
    }
    if (phase == MemberPhase::Stopping) {
      aConsider(aRecord.nextStopTask);
    }
    if (aRecord.first == nullptr) {
      if (phase > MemberPhase::Promised && phase < MemberPhase::Stopping) {
        aConsider(aRecord.firstRank.LossTime());
      }
    } else if (aRecord.first->life.Phase() == FirstRankPhase::Over) {
      if (!aRecord.first->isAcknowledged) {
        aConsider(aRecord.first->nextReport);
      }
    } else if (phase != MemberPhase::Promised &&
               phase != MemberPhase::Aborted) {
      aConsider(aRecord.nextHeartbeat);
      if (aRecord.first->deadline) {
        aConsider(*aRecord.first->deadline);
      }
      if (aRecord.first->nextLoss) {
        aConsider(*aRecord.first->nextLoss);
      }
    }
  }

  void OnTime(GangRecord& aRecord)
  {
    const MemberPhase phase = aRecord.life.Phase();
    if (phase == MemberPhase::Promised) {
      this->AskOutcome(aRecord);
      return;
    }
    if (aRecord.first == nullptr && phase > MemberPhase::Promised &&
        phase < MemberPhase::Stopping && aRecord.firstRank.IsLost(this->now)) {
      this->LoseFirstRank(aRecord);
    }
    if (phase == MemberPhase::Stopping && this->now >= aRecord.nextStopTask) {
      aRecord.grace = {};
      this->Step(aRecord, MemberStep::StopSeen);
    }
    if (aRecord.first != nullptr && phase != MemberPhase::Aborted) {
      this->OnTimeOfFirstRank(aRecord);
    }
    const bool isActive = !aRecord.IsOver() || this->RepeatsResult(aRecord) ||
                          IsGangActive(aRecord);
    if (isActive && this->now >= aRecord.nextHeartbeat) {
      this->Beat(aRecord);
    }
    if (!isActive && !MustReportEnd(aRecord)) {
      aRecord.plan.reset();
    }
  }

  void OnTimeOfFirstRank(GangRecord& aRecord)
  {
    FirstRank& first = *aRecord.first;
    const FirstRankPhase phase = first.life.Phase();
    if (phase == FirstRankPhase::Over) {
      if (!first.isAcknowledged && this->now >= first.nextReport) {
        this->RepeatReport(aRecord);
      }
      return;
    }
    if (phase == FirstRankPhase::Stopping) {
      if (first.deadline && this->now >= *first.deadline) {
        first.deadline.reset();
        for (Rank rank = 0; rank < first.peers.size(); ++rank) {
          if (rank != aRecord.rank) {
            first.Advance(rank, MemberPhase::Ended, MemberResult::Lost);
          }
        }
        this->Settle(aRecord);
      }
      return;
    }
    first.nextLoss.reset();
    for (Rank rank = 1; rank < first.peers.size(); ++rank) {
      const Peer& peer = first.peers[rank];
      if (!peer.isWatched || peer.phase == MemberPhase::Ended) {
        continue;
      }
      if (peer.contact.IsLost(this->now)) {
        this->StopAll(aRecord, StopReason::MemberLost, {}, rank);
        return;
      }
      const base::TimePoint loss = peer.contact.LossTime();
      first.nextLoss = first.nextLoss ? std::min(*first.nextLoss, loss) : loss;
    }
    if (first.deadline && this->now >= *first.deadline) {
      const auto late = std::find_if(
        first.peers.begin(), first.peers.end(), [&](const Peer& aPeer) {
          return aPeer.phase < (phase == FirstRankPhase::Collecting
                                  ? MemberPhase::Committed
                                  : MemberPhase::Running);
        });
      this->StopAll(aRecord,
                    StopReason::StartTimeout,
                    {},
                    static_cast<Rank>(late - first.peers.begin()));
    }
  }

  void AskOutcome(GangRecord& aRecord)
  {
    if (this->now < aRecord.nextQuery) {
      return;
    }
    this->effects->emplace_back(QueryOutcome{ { aRecord.key, aRecord.cell },
                                              aRecord.hasAskedCoordinator });
    aRecord.hasAskedCoordinator = !aRecord.hasAskedCoordinator;
    aRecord.nextQuery = this->now + this->settings.queryInterval;
  }

  void Beat(GangRecord& aRecord)
  {
    // A member replies to the first rank and sends on its own only if it does
    // not hear from it.
    aRecord.nextHeartbeat =
      this->now + (aRecord.first != nullptr
                     ? this->settings.heartbeatInterval
                     : this->settings.heartbeatInterval * 3 / 2);
    this->RenewLeaseOf(aRecord);
    if (aRecord.first != nullptr &&
        aRecord.first->life.Phase() == FirstRankPhase::Stopping) {
      this->SendStopToPeers(aRecord);
    } else {
      this->SendAlive(aRecord, this->settings.silenceTimeout);
    }
  }

  void RenewLeaseOf(const GangRecord& aRecord)
  {
    // Not renewed while a task is killed: the lease then ends it even if the
    // worker does not carry the order out.
    if (aRecord.HasTask() && (aRecord.life.Phase() != MemberPhase::Stopping ||
                              aRecord.grace > base::Duration::zero())) {
      this->effects->emplace_back(
        RenewLease{ aRecord.key, this->LeaseLeft(aRecord) });
    }
  }

  // Transitions of a member.

  void Step(GangRecord& aRecord, MemberStep aStep)
  {
    const MemberPhase before = aRecord.life.Phase();
    Actions actions(*this, aRecord);
    aRecord.life.Process(aStep, actions);
    const MemberPhase phase = aRecord.life.Phase();
    if (phase == before) {
      return;
    }
    if (aRecord.first != nullptr) {
      aRecord.first->Advance(aRecord.rank, phase, aRecord.result);
      this->Settle(aRecord);
    } else if (phase >= MemberPhase::Running && phase <= MemberPhase::Ended) {
      this->SendAlive(aRecord, this->settings.silenceTimeout);
    }
  }

  void Free(GangRecord& aRecord)
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
    aRecord.firstRank.provenAt = this->now;
    aRecord.firstRank.allowance = this->settings.silenceTimeout;
    if (aRecord.first != nullptr) {
      aRecord.first->deadline = this->now + this->settings.startTimeout;
    } else {
      this->PostToPeer(aRecord, 0, Committed{ aRecord.key, aRecord.rank });
    }
  }

  void StartTask(GangRecord& aRecord)
  {
    this->effects->emplace_back(gang::StartTask{
      aRecord.key, aRecord.rank, aRecord.plan, this->LeaseLeft(aRecord) });
  }

  /**
   * Until the first peer would be lost if all stayed silent; for a task that
   * writes its checkpoint, until it is killed.
   */
  base::Duration LeaseLeft(const GangRecord& aRecord) const
  {
    if (aRecord.life.Phase() == MemberPhase::Stopping) {
      return aRecord.nextStopTask - this->now;
    }
    if (aRecord.first == nullptr) {
      return aRecord.firstRank.LossTime() - this->now;
    }
    base::Duration left = this->settings.silenceTimeout;
    for (const Peer& peer : aRecord.first->peers) {
      if (peer.isWatched && peer.phase != MemberPhase::Ended) {
        left = std::min(left, peer.contact.LossTime() - this->now);
      }
    }
    return left;
  }

  void BeReleased(GangRecord& aRecord)
  {
    if (aRecord.life.Phase() == MemberPhase::Committed &&
        aRecord.firstRank.IsLost(this->now)) {
      this->LoseFirstRank(aRecord);
    } else {
      this->Step(aRecord, MemberStep::ReleaseSeen);
    }
  }

  void LoseFirstRank(GangRecord& aRecord)
  {
    aRecord.mustReportToCoordinator = true;
    this->StopSelf(aRecord, StopReason::FirstRankLost, {});
  }

  void StopTask(GangRecord& aRecord)
  {
    aRecord.nextStopTask = this->now + (aRecord.grace > base::Duration::zero()
                                          ? aRecord.grace
                                          : this->settings.reportInterval);
    this->effects->emplace_back(gang::StopTask{ aRecord.key, aRecord.grace });
  }

  void StopSelf(GangRecord& aRecord, StopReason aReason, base::Duration aGrace)
  {
    const bool isHarder = this->now + aGrace < aRecord.nextStopTask &&
                          aRecord.grace > base::Duration::zero();
    if (aRecord.life.Phase() == MemberPhase::Stopping && !isHarder) {
      return;
    }
    aRecord.stopReason = aReason;
    aRecord.grace = aGrace;
    this->Step(aRecord, MemberStep::StopSeen);
  }

  // Transitions of the first rank.

  void Step(GangRecord& aRecord, FirstRankStep aStep)
  {
    Actions actions(*this, aRecord);
    aRecord.first->life.Process(aStep, actions);
  }

  /** Takes the first rank as far as what it knows of the members allows. */
  void Settle(GangRecord& aRecord)
  {
    FirstRank& first = *aRecord.first;
    const std::size_t count = first.peers.size();
    if (first.life.Phase() == FirstRankPhase::Collecting &&
        first.committed == count && !first.failedRank) {
      this->Step(aRecord, FirstRankStep::AllCommitted);
      this->Step(aRecord, MemberStep::ReleaseSeen);
    }
    if (first.life.Phase() < FirstRankPhase::Stopping && first.failedRank) {
      this->StopAll(aRecord, StopReason::MemberFailed, {}, *first.failedRank);
    }
    if (first.life.Phase() == FirstRankPhase::Released &&
        first.running == count) {
      this->Step(aRecord, FirstRankStep::AllRunning);
    }
    if (first.ended == count) {
      this->Step(aRecord, FirstRankStep::AllEnded);
    }
  }

  void SendRelease(GangRecord& aRecord)
  {
    FirstRank& first = *aRecord.first;
    first.report.wasReleased = true;
    first.deadline = this->now + this->settings.releaseTimeout;
    for (Rank rank = 1; rank < first.peers.size(); ++rank) {
      Peer& peer = first.peers[rank];
      if (!peer.isWatched) {
        peer.isWatched = true;
        peer.contact.provenAt = this->now;
        peer.contact.allowance = this->settings.silenceTimeout;
      }
      this->PostToPeer(aRecord, rank, Release{ aRecord.key });
    }
  }

  void ReportStarted(GangRecord& aRecord)
  {
    aRecord.first->deadline.reset();
    this->PostToCoordinator(aRecord.cell, GangStarted{ aRecord.key });
  }

  void StopAll(GangRecord& aRecord,
               StopReason aReason,
               base::Duration aGrace,
               std::optional<Rank> aRankAtFault)
  {
    FirstRank& first = *aRecord.first;
    const bool isStopping = first.life.Phase() == FirstRankPhase::Stopping;
    if (isStopping && aGrace >= aRecord.grace) {
      return;
    }
    if (!isStopping) {
      first.report.reason = aReason;
      first.report.rankAtFault = aRankAtFault;
    }
    first.nextLoss.reset();
    first.deadline = this->now + aGrace + this->settings.stopTimeout;
    aRecord.stopReason = first.report.reason.value_or(aReason);
    aRecord.grace = aGrace;
    // First, so that the end of the own task counts as a part of the stop.
    this->Step(aRecord, FirstRankStep::StopNeeded);
    this->Step(aRecord, MemberStep::StopSeen);
    this->Settle(aRecord);
  }

  void SendStop(GangRecord& aRecord)
  {
    aRecord.nextHeartbeat = this->now + this->settings.heartbeatInterval;
    this->SendStopToPeers(aRecord);
  }

  void SendStopToPeers(GangRecord& aRecord)
  {
    for (Rank rank = 1; rank < aRecord.first->peers.size(); ++rank) {
      if (aRecord.first->peers[rank].phase != MemberPhase::Ended) {
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
    GangEnded& report = aRecord.first->report;
    for (const Peer& peer : aRecord.first->peers) {
      report.results.push_back(peer.result);
    }
    aRecord.first->nextReport = this->now + this->settings.reportInterval;
    this->PostToCoordinator(aRecord.cell, report);
  }

  // Helpers.

  /** What a coordinator that repeats an order has not heard yet. */
  void RepeatReport(GangRecord& aRecord)
  {
    if (aRecord.first == nullptr) {
      if (aRecord.life.Phase() == MemberPhase::Ended) {
        this->PostToCoordinator(
          aRecord.cell,
          MemberEnded{ aRecord.key, aRecord.rank, aRecord.result });
      }
    } else if (aRecord.first->life.Phase() == FirstRankPhase::Over) {
      aRecord.first->nextReport = this->now + this->settings.reportInterval;
      this->PostToCoordinator(aRecord.cell, aRecord.first->report);
    } else if (aRecord.first->life.Phase() == FirstRankPhase::Running) {
      this->ReportStarted(aRecord);
    }
  }

  /** The first rank hears of a member's phase. */
  void HearMember(const AttemptKey& aKey,
                  Rank aRank,
                  MemberPhase aPhase,
                  MemberResult aResult)
  {
    GangRecord* record = this->Find(aKey);
    if (record == nullptr ||
        (record->first != nullptr && !IsGangActive(*record))) {
      if (aPhase < MemberPhase::Ended) {
        this->effects->emplace_back(SendToPeer{
          {},
          {},
          StopGang{ aKey, std::nullopt, StopReason::UnknownAttempt, {} } });
      }
      return;
    }
    if (record->first == nullptr || aRank >= record->first->peers.size()) {
      return;
    }
    // A member commits only on a decision, which holds for the first rank too.
    this->Step(*record, MemberStep::CommitSeen);
    record->first->Advance(aRank, aPhase, aResult);
    this->Settle(*record);
  }

  bool Accept(const Fence& aFence)
  {
    base::FencingToken& highest = this->tokens[aFence.cell];
    if (aFence.token < highest) {
      return false;
    }
    highest = aFence.token;
    return true;
  }

  GangRecord* Find(const AttemptKey& aKey)
  {
    const auto found = this->records.find(aKey);
    return found == this->records.end() ? nullptr : &found->second;
  }

  GangRecord& Add(const AttemptKey& aKey,
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
      record.first = std::make_unique<FirstRank>();
      record.first->peers.resize(aPlan->members.size());
      record.first->report.key = aKey;
      record.first->report.wasReleased = false;
    }
    return record;
  }

  /**
   * A coordinator uses an attempt number again only if the log held no decision
   * on it when its epoch began: older plans of that attempt are void.
   */
  void DropVoidPromises(const AttemptKey& aKey)
  {
    for (auto position = this->records.lower_bound({ aKey.gang, {} });
         position != this->records.end() && position->first < aKey;
         ++position) {
      this->Step(position->second, MemberStep::AbortSeen);
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

  void SendAlive(GangRecord& aRecord, base::Duration aAllowance)
  {
    const auto time =
      static_cast<std::uint64_t>(this->now.time_since_epoch().count());
    // Grows also over a restart of the daemon, as the clock of the VM does.
    this->sequence = std::max(this->sequence + 1, time);
    MemberAlive alive;
    alive.key = aRecord.key;
    alive.rank = aRecord.rank;
    alive.sequence = this->sequence;
    alive.phase = aRecord.life.Phase();
    alive.result = aRecord.result;
    alive.allowance = aAllowance;
    if (aRecord.first == nullptr) {
      alive.echo = aRecord.firstRank.sequence;
      this->PostToPeer(aRecord, 0, alive);
      return;
    }
    aRecord.first->awaited = 0;
    for (Rank rank = 1; rank < aRecord.first->peers.size(); ++rank) {
      Peer& peer = aRecord.first->peers[rank];
      peer.isAwaited = peer.phase != MemberPhase::Ended;
      if (peer.isAwaited) {
        ++aRecord.first->awaited;
        alive.echo = peer.contact.sequence;
        this->PostToPeer(aRecord, rank, alive);
      }
    }
  }

  static bool IsGangActive(const GangRecord& aRecord)
  {
    return aRecord.first != nullptr &&
           aRecord.life.Phase() != MemberPhase::Aborted &&
           aRecord.first->life.Phase() != FirstRankPhase::Over;
  }

  static bool MustReportEnd(const GangRecord& aRecord)
  {
    return aRecord.first != nullptr &&
           aRecord.life.Phase() != MemberPhase::Aborted &&
           !aRecord.first->isAcknowledged;
  }

  bool RepeatsResult(const GangRecord& aRecord) const
  {
    return aRecord.first == nullptr &&
           aRecord.life.Phase() == MemberPhase::Ended &&
           this->now - aRecord.endedAt < kResultRepeatTime;
  }

  /** Forgets the attempts that ended first. */
  void LimitEnded()
  {
    const auto isEnded = [](const auto& aItem) {
      return aItem.second.IsOver();
    };
    auto ended =
      std::count_if(this->records.begin(), this->records.end(), isEnded);
    while (ended > static_cast<std::ptrdiff_t>(this->settings.endedLimit)) {
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
      --ended;
    }
  }

  const base::TargetId worker;
  const fleet::Resources capacity;
  const MemberSettings settings;
  fleet::Resources reserved;
  bool isDraining = false;
  bool isHandedOver = false;
  std::uint64_t sequence = 0;
  std::map<base::ZoneId, base::FencingToken> tokens;
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
