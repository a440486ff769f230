#include "amaranthwind/gang/GangCoordinator.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace amaranthwind::gang {

namespace {

namespace msm = boost::msm;
using Effects = std::vector<CoordinatorEffect>;

enum class AttemptPhase : std::uint8_t
{
  Preparing,
  DecidingCommit, // The commit record is being written.
  DecidingAbort,
  WaitingCommit, // The log is down; writing is retried later.
  WaitingAbort,
  Committed,
  Running,
  Stopping,
  Ending, // The end record is being written.
  Ended,
};

struct Attempt
{
  std::shared_ptr<const job::GangPlan> plan;
  std::vector<bool> hasPromised;
  std::size_t promised = 0;
  /** Deadline of the current phase. */
  std::optional<base::TimePoint> deadline;
  std::optional<Rank> rankAtFault;
  std::optional<base::Error> error;
  std::optional<StopReason> stopReason;
  base::Duration grace{};
  /** Stop orders go to all members instead of only to the first rank. */
  bool isStopBroadcast = false;
  /** A stop was requested before the decision was confirmed. */
  bool isStopPending = false;
};

/** Data that the actions of the state machine operate on. */
struct Context
{
  base::TimePoint now;
  const Fence& fence;
  const CoordinatorSettings& settings;
  Attempt& attempt;
  Effects& effects;

  AttemptKey Key() const { return KeyOf(*this->attempt.plan); }

  template<typename MakeMessage>
  void SendToAll(MakeMessage aMakeMessage)
  {
    const auto& members = this->attempt.plan->members;
    for (Rank rank = 0; rank < members.size(); ++rank) {
      this->effects.emplace_back(
        SendToMember{ members[rank].worker, aMakeMessage(rank) });
    }
  }

  void RequestDecision(Decision aDecision)
  {
    WriteDecision write{ this->Key(), aDecision, {} };
    for (const auto& member : this->attempt.plan->members) {
      write.members.push_back(member.worker);
    }
    this->attempt.deadline.reset();
    this->effects.emplace_back(std::move(write));
  }

  void ReportEnd(AttemptOutcome aOutcome, bool aIsAborted = false)
  {
    this->attempt.deadline.reset();
    this->effects.emplace_back(AttemptEnded{ this->Key(),
                                             aIsAborted,
                                             aOutcome,
                                             this->attempt.rankAtFault,
                                             this->attempt.stopReason,
                                             this->attempt.error });
  }
};

// Events of the state machine.

struct WithContext
{
  Context& context;
};
struct AllPromised : WithContext
{};
struct PrepareFailed : WithContext
{};
struct RecordConfirmed : WithContext
{};
struct LogUnavailable : WithContext
{};
struct RetryDue : WithContext
{};
struct Resumed : WithContext
{};
struct AllStarted : WithContext
{};
struct StopOrdered : WithContext
{};
struct StopExpired : WithContext
{};
struct EndRecorded : WithContext
{};
struct EndReported : WithContext
{
  const GangEnded& report;
};

// Actions.

struct WriteCommit
{
  template<typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event& aEvent, Fsm&, From&, To&)
  {
    aEvent.context.RequestDecision(Decision::Commit);
  }
};

struct WriteAbort
{
  template<typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event& aEvent, Fsm&, From&, To&)
  {
    aEvent.context.RequestDecision(Decision::Abort);
  }
};

struct WaitForLog
{
  template<typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event& aEvent, Fsm&, From&, To&)
  {
    Context& context = aEvent.context;
    context.attempt.deadline = context.now + context.settings.logRetryInterval;
    context.effects.emplace_back(AttemptWaitingForLog{ context.Key() });
  }
};

struct SendCommits
{
  template<typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event& aEvent, Fsm&, From&, To&)
  {
    Context& context = aEvent.context;
    context.attempt.deadline =
      context.now + context.settings.startReportTimeout;
    // If a stop is pending, no Commit is sent, so that the members stop without
    // having started.
    if (!context.attempt.isStopPending) {
      context.SendToAll([&](Rank aRank) {
        return Commit{ context.fence, context.Key(), aRank };
      });
    }
  }
};

struct SendAborts
{
  template<typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event& aEvent, Fsm&, From&, To&)
  {
    Context& context = aEvent.context;
    context.SendToAll([&](Rank) {
      return Abort{ context.fence, context.Key() };
    });
    context.ReportEnd(AttemptOutcome::NotRun, true);
  }
};

struct ReportStarted
{
  template<typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event& aEvent, Fsm&, From&, To&)
  {
    Context& context = aEvent.context;
    context.attempt.deadline.reset();
    context.effects.emplace_back(AttemptStarted{ context.Key() });
  }
};

/**
 * A requested stop is sent to the first rank, which forwards it: members that
 * stop before the first rank knows of the stop would be treated as failed.
 * After a loss, the stop is sent to all members.
 */
struct SendStop
{
  template<typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event& aEvent, Fsm&, From&, To&)
  {
    Context& context = aEvent.context;
    Attempt& attempt = context.attempt;
    const StopGang stop{ context.Key(),
                         context.fence,
                         attempt.stopReason.value_or(StopReason::Cancelled),
                         attempt.grace };
    attempt.deadline =
      context.now + attempt.grace + context.settings.stopReportTimeout;
    if (attempt.isStopBroadcast) {
      context.SendToAll([&](Rank) { return StopGang(stop); });
    } else {
      context.effects.emplace_back(
        SendToMember{ attempt.plan->members.front().worker, stop });
    }
  }
};

struct EndFromReport
{
  template<typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event& aEvent, Fsm&, From&, To&)
  {
    Context& context = aEvent.context;
    Attempt& attempt = context.attempt;
    const GangEnded& report = aEvent.report;
    if (report.rankAtFault) {
      attempt.rankAtFault = report.rankAtFault;
    }
    if (report.reason && !attempt.stopReason) {
      attempt.stopReason = report.reason;
    }
    const bool isOnRequest = attempt.stopReason == StopReason::Cancelled ||
                             attempt.stopReason == StopReason::Preempted;
    const bool hasSucceeded = std::all_of(
      report.results.begin(), report.results.end(), [](auto aResult) {
        return aResult == MemberResult::Succeeded;
      });
    if (!report.wasReleased) {
      context.ReportEnd(AttemptOutcome::NotRun);
    } else if (hasSucceeded) {
      attempt.stopReason.reset();
      attempt.rankAtFault.reset();
      context.ReportEnd(AttemptOutcome::Succeeded);
    } else if (isOnRequest && !attempt.rankAtFault) {
      context.ReportEnd(AttemptOutcome::Preempted);
    } else {
      context.ReportEnd(AttemptOutcome::Failed);
    }
  }
};

/** Without the first rank's report there is no proof that no task ran. */
struct EndAsFailed
{
  template<typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event& aEvent, Fsm&, From&, To&)
  {
    Context& context = aEvent.context;
    if (!context.attempt.rankAtFault) {
      context.attempt.rankAtFault = 0;
    }
    context.ReportEnd(AttemptOutcome::Failed);
  }
};

struct AcknowledgeEnd
{
  template<typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event& aEvent, Fsm&, From&, To&)
  {
    Context& context = aEvent.context;
    context.effects.emplace_back(
      SendToMember{ context.attempt.plan->members.front().worker,
                    GangEndedAck{ context.Key() } });
  }
};

template<AttemptPhase kPhase>
struct State : msm::front::state<>
{
  template<typename Event, typename Fsm>
  void on_entry(const Event&, Fsm& aMachine)
  {
    aMachine.phase = kPhase;
  }
};

struct AttemptMachineDef : msm::front::state_machine_def<AttemptMachineDef>
{
  using no_exception_thrown = int;
  using no_message_queue = int;

  AttemptPhase phase = AttemptPhase::Preparing;

  using Preparing = State<AttemptPhase::Preparing>;
  using DecidingCommit = State<AttemptPhase::DecidingCommit>;
  using DecidingAbort = State<AttemptPhase::DecidingAbort>;
  using WaitingCommit = State<AttemptPhase::WaitingCommit>;
  using WaitingAbort = State<AttemptPhase::WaitingAbort>;
  using InCommitted = State<AttemptPhase::Committed>;
  using Running = State<AttemptPhase::Running>;
  using Stopping = State<AttemptPhase::Stopping>;
  using Ending = State<AttemptPhase::Ending>;
  using Ended = State<AttemptPhase::Ended>;
  using initial_state = Preparing;

  template<typename From, typename Event, typename To, typename Action>
  using Row = msm::front::Row<From, Event, To, Action, msm::front::none>;

  // Once a decision is written, it may be rewritten but never changed.
  // TokenLost removes an attempt in any state.
  // clang-format off
  using transition_table = boost::mpl::vector<
    //  from            event            to              action
    Row<Preparing,      AllPromised,     DecidingCommit, WriteCommit>,
    Row<Preparing,      PrepareFailed,   DecidingAbort,  WriteAbort>,
    Row<Preparing,      Resumed,         InCommitted,    SendCommits>,
    Row<DecidingCommit, LogUnavailable,  WaitingCommit,  WaitForLog>,
    Row<DecidingCommit, RecordConfirmed, InCommitted,    SendCommits>,
    Row<WaitingCommit,  RetryDue,        DecidingCommit, WriteCommit>,
    Row<WaitingCommit,  RecordConfirmed, InCommitted,    SendCommits>,
    Row<DecidingAbort,  LogUnavailable,  WaitingAbort,   WaitForLog>,
    Row<DecidingAbort,  RecordConfirmed, Ended,          SendAborts>,
    Row<WaitingAbort,   RetryDue,        DecidingAbort,  WriteAbort>,
    Row<WaitingAbort,   RecordConfirmed, Ended,          SendAborts>,
    Row<InCommitted,    AllStarted,      Running,        ReportStarted>,
    Row<InCommitted,    StopOrdered,     Stopping,       SendStop>,
    Row<InCommitted,    EndReported,     Ending,         EndFromReport>,
    Row<Running,        StopOrdered,     Stopping,       SendStop>,
    Row<Running,        EndReported,     Ending,         EndFromReport>,
    Row<Stopping,       StopOrdered,     Stopping,       SendStop>,
    Row<Stopping,       EndReported,     Ending,         EndFromReport>,
    Row<Stopping,       StopExpired,     Ending,         EndAsFailed>,
    Row<Ending,         EndRecorded,     Ended,          AcknowledgeEnd>>;
  // clang-format on

  /** Late and repeated events are expected and ignored. */
  template<typename Fsm, typename Event>
  void no_transition(const Event&, Fsm&, int)
  {
  }
};

using AttemptMachine = msm::back::state_machine<AttemptMachineDef>;

} // namespace

class GangCoordinator::Impl
{
public:
  Impl(Fence aFence, CoordinatorSettings aSettings)
    : fence(std::move(aFence))
    , settings(aSettings)
  {
  }

  Effects Handle(base::TimePoint aNow, const CoordinatorEvent& aEvent)
  {
    Effects effects;
    if (!this->isSuperseded) {
      this->now = aNow;
      this->effects = &effects;
      std::visit([this](const auto& aAlternative) { this->On(aAlternative); },
                 aEvent);
      this->effects = nullptr;
    }
    return effects;
  }

  std::optional<base::TimePoint> NextDeadline() const
  {
    std::optional<base::TimePoint> next;
    for (const auto& [key, entry] : this->entries) {
      const auto& deadline = entry.attempt.deadline;
      if (deadline && (!next || *deadline < *next)) {
        next = deadline;
      }
    }
    return next;
  }

  AttemptState StateOf(const AttemptKey& aKey) const
  {
    const auto found = this->entries.find(aKey);
    if (found == this->entries.end()) {
      return AttemptState::Unknown;
    }
    return found->second.machine.phase < AttemptPhase::Committed
             ? AttemptState::Undecided
             : AttemptState::Committed;
  }

  std::size_t AttemptCount() const { return this->entries.size(); }

private:
  struct Entry
  {
    AttemptMachine machine;
    Attempt attempt;
  };

  using Entries = std::map<AttemptKey, Entry>;

  Entry* FindEntry(const AttemptKey& aKey)
  {
    const auto found = this->entries.find(aKey);
    return found == this->entries.end() ? nullptr : &found->second;
  }

  Entry* AddEntry(const std::shared_ptr<const job::GangPlan>& aPlan)
  {
    const auto [position, isNew] = this->entries.try_emplace(KeyOf(*aPlan));
    if (!isNew || aPlan->members.empty()) {
      return nullptr;
    }
    Entry& entry = position->second;
    entry.attempt.plan = aPlan;
    entry.attempt.hasPromised.resize(aPlan->members.size());
    entry.machine.start();
    return &entry;
  }

  Context MakeContext(Entry& aEntry)
  {
    return {
      this->now, this->fence, this->settings, aEntry.attempt, *this->effects
    };
  }

  /** Returns false if the attempt has ended and its entry was erased. */
  template<typename Event, typename... Args>
  bool Process(Entry& aEntry, Args&&... aArgs)
  {
    Context context = this->MakeContext(aEntry);
    aEntry.machine.process_event(
      Event{ { context }, std::forward<Args>(aArgs)... });
    if (aEntry.machine.phase != AttemptPhase::Ended) {
      return true;
    }
    this->entries.erase(context.Key());
    return false;
  }

  void FailPrepare(Entry& aEntry,
                   std::optional<Rank> aRank,
                   std::optional<base::Error> aError)
  {
    if (aEntry.machine.phase == AttemptPhase::Preparing) {
      aEntry.attempt.rankAtFault = aRank;
      aEntry.attempt.error = std::move(aError);
      this->Process<PrepareFailed>(aEntry);
    }
  }

  void Stop(Entry& aEntry,
            StopReason aReason,
            base::Duration aGrace,
            bool aIsBroadcast)
  {
    Attempt& attempt = aEntry.attempt;
    const bool isFirstOrder = !attempt.stopReason;
    if (isFirstOrder) {
      attempt.stopReason = aReason;
      attempt.grace = aGrace;
    } else if (aGrace >= attempt.grace &&
               (attempt.isStopBroadcast || !aIsBroadcast)) {
      return; // Not stricter than the previous order.
    }
    attempt.grace = std::min(attempt.grace, aGrace);
    attempt.isStopBroadcast = attempt.isStopBroadcast || aIsBroadcast;
    if (aEntry.machine.phase < AttemptPhase::Committed) {
      attempt.isStopPending = true;
      attempt.isStopBroadcast = true;
    } else {
      this->Process<StopOrdered>(aEntry);
    }
  }

  void Supersede()
  {
    this->entries.clear();
    this->isSuperseded = true;
    this->effects->emplace_back(CoordinatorSuperseded{});
  }

  void On(const StartGang& aEvent)
  {
    Entry* entry = this->AddEntry(aEvent.plan);
    if (entry == nullptr) {
      return;
    }
    Context context = this->MakeContext(*entry);
    entry->attempt.deadline = this->now + this->settings.prepareTimeout;
    context.SendToAll([&](Rank aRank) {
      return Prepare{ this->fence, aEvent.plan, aRank };
    });
  }

  void On(const DeferEndAck& aEvent) { this->deferredAcks.insert(aEvent.gang); }

  void On(const AllowEndAck& aEvent) { this->deferredAcks.erase(aEvent.gang); }

  void On(const ResumeGang& aEvent)
  {
    this->deferredAcks.erase(aEvent.plan->gang);
    if (Entry* entry = this->AddEntry(aEvent.plan); entry != nullptr) {
      this->Process<Resumed>(*entry);
    }
  }

  void On(const Promise& aEvent)
  {
    if (aEvent.refusal && aEvent.refusal->code == base::ErrorCode::StaleToken &&
        aEvent.key.planToken == this->fence.token) {
      this->Supersede();
      return;
    }
    Entry* entry = this->FindEntry(aEvent.key);
    if (entry == nullptr || aEvent.rank >= entry->attempt.hasPromised.size()) {
      return;
    }
    if (aEvent.refusal) {
      this->FailPrepare(*entry, aEvent.rank, aEvent.refusal);
      return;
    }
    Attempt& attempt = entry->attempt;
    if (!attempt.hasPromised[aEvent.rank]) {
      attempt.hasPromised[aEvent.rank] = true;
      ++attempt.promised;
    }
    if (attempt.promised == attempt.hasPromised.size()) {
      this->Process<AllPromised>(*entry);
    }
  }

  void On(const DecisionConfirmed& aEvent)
  {
    Entry* entry = this->FindEntry(aEvent.key);
    if (entry != nullptr && this->Process<RecordConfirmed>(*entry) &&
        entry->attempt.isStopPending) {
      entry->attempt.isStopPending = false;
      this->Process<StopOrdered>(*entry);
    }
  }

  void On(const DecisionUnconfirmed& aEvent)
  {
    if (Entry* entry = this->FindEntry(aEvent.key); entry != nullptr) {
      this->Process<LogUnavailable>(*entry);
    }
  }

  void On(const CommitRefused& aEvent)
  {
    if (aEvent.error.code == base::ErrorCode::StaleToken) {
      if (aEvent.token == this->fence.token) {
        this->Supersede();
      }
      return; // The refused order is from an older coordinator.
    }
    Entry* entry = this->FindEntry(aEvent.key);
    if (entry == nullptr || entry->machine.phase < AttemptPhase::Committed) {
      return;
    }
    if (!entry->attempt.rankAtFault) {
      entry->attempt.rankAtFault = aEvent.rank;
      entry->attempt.error = aEvent.error;
    }
    this->Stop(*entry, StopReason::MemberLost, {}, true);
  }

  void On(const GangStarted& aEvent)
  {
    if (Entry* entry = this->FindEntry(aEvent.key); entry != nullptr) {
      this->Process<AllStarted>(*entry);
    }
  }

  void On(const MemberEnded& aEvent)
  {
    Entry* entry = this->FindEntry(aEvent.key);
    if (entry == nullptr || entry->machine.phase < AttemptPhase::Committed) {
      return;
    }
    // A member reports to the coordinator only if it cannot rely on the first
    // rank, or in reply to a repeated order. A member that succeeded is no
    // reason to stop the others.
    if (aEvent.result == MemberResult::Succeeded) {
      return;
    }
    if (!entry->attempt.rankAtFault) {
      entry->attempt.rankAtFault = 0;
    }
    this->Stop(*entry, StopReason::FirstRankLost, {}, true);
  }

  void On(const GangEnded& aEvent)
  {
    if (Entry* entry = this->FindEntry(aEvent.key); entry != nullptr) {
      this->Process<EndReported>(*entry, aEvent);
    } else if (this->deferredAcks.contains(aEvent.key.gang)) {
      return; // The first rank will repeat the report.
    } else if (aEvent.key.planToken <= this->fence.token) {
      // The end is in the log, and the previous acknowledgement was lost.
      this->effects->emplace_back(
        SendToMember{ base::TargetId{}, GangEndedAck{ aEvent.key } });
    } else {
      this->Supersede(); // The plan is from a newer coordinator.
    }
  }

  void On(const EndConfirmed& aEvent)
  {
    if (Entry* entry = this->FindEntry(aEvent.key); entry != nullptr) {
      this->Process<EndRecorded>(*entry);
    }
  }

  void On(const WorkerLost& aEvent)
  {
    for (auto position = this->entries.begin();
         position != this->entries.end();) {
      Entry& entry = (position++)->second;
      const auto& members = entry.attempt.plan->members;
      const auto found =
        std::find_if(members.begin(), members.end(), [&](const auto& aMember) {
          return aMember.worker == aEvent.worker;
        });
      if (found == members.end()) {
        continue;
      }
      const auto rank = static_cast<Rank>(found - members.begin());
      if (entry.machine.phase == AttemptPhase::Preparing) {
        this->FailPrepare(entry, rank, std::nullopt);
        continue;
      }
      this->HandleMemberLoss(entry, rank);
    }
  }

  /** Only checks first ranks, as these monitor the other members. */
  void On(const WorkerReported& aEvent)
  {
    for (auto position = this->entries.begin();
         position != this->entries.end();) {
      const AttemptKey& key = position->first;
      Entry& entry = (position++)->second;
      const bool isKnown =
        std::find(aEvent.attempts.begin(), aEvent.attempts.end(), key) !=
        aEvent.attempts.end();
      if (!isKnown && entry.machine.phase >= AttemptPhase::Committed &&
          entry.attempt.plan->members.front().worker == aEvent.worker) {
        this->HandleMemberLoss(entry, 0);
      }
    }
  }

  void HandleMemberLoss(Entry& aEntry, Rank aRank)
  {
    if (!aEntry.attempt.rankAtFault) {
      aEntry.attempt.rankAtFault = aRank;
    }
    this->Stop(aEntry, StopReason::MemberLost, {}, true);
  }

  void On(const StopRequested& aEvent)
  {
    Entry* entry = this->FindEntry(aEvent.key);
    if (entry == nullptr) {
      return;
    }
    if (entry->machine.phase == AttemptPhase::Preparing) {
      entry->attempt.stopReason = aEvent.reason;
      this->FailPrepare(*entry, std::nullopt, std::nullopt);
      return;
    }
    this->Stop(*entry, aEvent.reason, aEvent.grace, false);
  }

  void On(const TokenLost&) { this->Supersede(); }

  void On(const Tick&)
  {
    for (auto position = this->entries.begin();
         position != this->entries.end();) {
      Entry& entry = (position++)->second;
      if (entry.attempt.deadline && *entry.attempt.deadline <= this->now) {
        this->HandleDeadline(entry);
      }
    }
  }

  /** Called when the deadline of the current phase has passed. */
  void HandleDeadline(Entry& aEntry)
  {
    Attempt& attempt = aEntry.attempt;
    switch (aEntry.machine.phase) {
      case AttemptPhase::Preparing: {
        const auto missing = std::find(
          attempt.hasPromised.begin(), attempt.hasPromised.end(), false);
        this->FailPrepare(
          aEntry,
          static_cast<Rank>(missing - attempt.hasPromised.begin()),
          base::Error{ base::ErrorCode::TimedOut, "prepare" });
        break;
      }
      case AttemptPhase::WaitingCommit:
      case AttemptPhase::WaitingAbort:
        this->Process<RetryDue>(aEntry);
        break;
      case AttemptPhase::Committed:
        this->Stop(aEntry, StopReason::StartTimeout, {}, true);
        break;
      case AttemptPhase::Stopping:
        if (attempt.isStopBroadcast) {
          this->Process<StopExpired>(aEntry);
        } else {
          this->Stop(aEntry, StopReason::FirstRankLost, {}, true);
        }
        break;
      default:
        break;
    }
  }

  Fence fence;
  CoordinatorSettings settings;
  Entries entries;
  /** Gangs of a former coordinator whose end must not be acknowledged yet. */
  std::set<job::GangId> deferredAcks;
  bool isSuperseded = false;
  base::TimePoint now;
  Effects* effects = nullptr;
};

GangCoordinator::GangCoordinator(Fence aFence, CoordinatorSettings aSettings)
  : impl(std::make_unique<Impl>(std::move(aFence), aSettings))
{
}

GangCoordinator::~GangCoordinator() = default;
GangCoordinator::GangCoordinator(GangCoordinator&&) noexcept = default;
GangCoordinator&
GangCoordinator::operator=(GangCoordinator&&) noexcept = default;

std::vector<CoordinatorEffect>
GangCoordinator::Handle(base::TimePoint aNow, const CoordinatorEvent& aEvent)
{
  return this->impl->Handle(aNow, aEvent);
}

std::optional<base::TimePoint>
GangCoordinator::NextDeadline() const
{
  return this->impl->NextDeadline();
}

AttemptState
GangCoordinator::StateOf(const AttemptKey& aKey) const
{
  return this->impl->StateOf(aKey);
}

std::size_t
GangCoordinator::AttemptCount() const
{
  return this->impl->AttemptCount();
}

} // namespace amaranthwind::gang
