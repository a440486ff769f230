#pragma once

#include "amaranthwind/membership/TargetRegistry.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <boost/mpl/vector.hpp>

namespace amaranthwind::membership::lifecycle {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

/** Common part of all events: the target and the output for effects. */
struct Event
{
  const base::TargetId& target;
  /** Incarnation of the target before the event. */
  base::Incarnation incarnation;
  TargetEffects& effects;
};

struct Hello : Event
{};
struct Heartbeat : Event
{};
struct Drain : Event
{};
struct HeartbeatOverdue : Event
{};
struct HeartbeatTimeout : Event
{};
struct ConnectionClosed : Event
{};
/** Hello with a different incarnation. */
struct Restart : Event
{};

template<typename Effect>
struct Emit
{
  template<typename Ev, typename Fsm, typename Source, typename Target>
  void operator()(const Ev& aEvent, Fsm&, Source&, Target&) const
  {
    aEvent.effects.push_back(Effect{ aEvent.target, aEvent.incarnation });
  }
};

template<LossReason Reason>
struct EmitLost
{
  template<typename Ev, typename Fsm, typename Source, typename Target>
  void operator()(const Ev& aEvent, Fsm&, Source&, Target&) const
  {
    aEvent.effects.push_back(
      TargetLost{ aEvent.target, aEvent.incarnation, Reason });
  }
};

/** State that records itself as the current state of the machine on entry. */
template<TargetState State>
struct TrackedState : msm::front::state<>
{
  template<typename Ev, typename Fsm>
  void on_entry(const Ev&, Fsm& aMachine)
  {
    aMachine.current = State;
  }
};

struct Definition : msm::front::state_machine_def<Definition>
{
  // Events are processed one at a time, so no queue per target is needed.
  using no_message_queue = int;
  using no_exception_thrown = int;

  TargetState current = TargetState::Announced;

  using Announced = TrackedState<TargetState::Announced>;
  using Active = TrackedState<TargetState::Active>;
  using Suspect = TrackedState<TargetState::Suspect>;
  using Draining = TrackedState<TargetState::Draining>;
  using Lost = TrackedState<TargetState::Lost>;
  using Left = TrackedState<TargetState::Left>;
  using initial_state = Announced;

  using Usable = Emit<BecameUsable>;
  using Suspected = Emit<BecameSuspect>;
  using Cleared = Emit<SuspicionCleared>;
  using Stop = Emit<StopNewWork>;
  using Leave = Emit<TargetLeft>;
  using LostClosed = EmitLost<LossReason::Closed>;
  using LostSilent = EmitLost<LossReason::Silent>;
  using LostRestart = EmitLost<LossReason::Restarted>;

  // mpl::vector holds 20 rows unless BOOST_MPL_LIMIT_VECTOR_SIZE is raised.
  // clang-format off
  using transition_table = boost::mpl::vector<
    //  Source     Event             Target     Effect
    Row<Announced, Heartbeat,        Active,    Usable>,
    Row<Announced, Drain,            Draining,  none>,
    Row<Announced, HeartbeatTimeout, Lost,      LostSilent>,
    Row<Announced, ConnectionClosed, Lost,      LostClosed>,
    Row<Announced, Restart,          Announced, LostRestart>,

    Row<Active,    HeartbeatOverdue, Suspect,   Suspected>,
    Row<Active,    Drain,            Draining,  Stop>,
    Row<Active,    ConnectionClosed, Lost,      LostClosed>,
    Row<Active,    Restart,          Announced, LostRestart>,

    Row<Suspect,   Heartbeat,        Active,    Cleared>,
    Row<Suspect,   Drain,            Draining,  Stop>,
    Row<Suspect,   HeartbeatTimeout, Lost,      LostSilent>,
    Row<Suspect,   ConnectionClosed, Lost,      LostClosed>,
    Row<Suspect,   Restart,          Announced, LostRestart>,

    Row<Draining,  HeartbeatTimeout, Lost,      LostSilent>,
    Row<Draining,  ConnectionClosed, Left,      Leave>,
    Row<Draining,  Restart,          Announced, LostRestart>,

    Row<Lost,      Hello,            Announced, none>,
    Row<Lost,      Restart,          Announced, none>,
    Row<Left,      Restart,          Announced, none>
  >;
  // clang-format on

  /** Ignores events that have no transition in the current state. */
  template<typename Fsm, typename Ev>
  void no_transition(const Ev&, Fsm&, int)
  {
  }
};

using Machine = msm::back::state_machine<Definition>;

} // namespace amaranthwind::membership::lifecycle
