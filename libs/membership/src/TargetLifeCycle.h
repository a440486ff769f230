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

/** Every event says whom it concerns and where the effects go. */
struct Event
{
  const base::TargetId& target;
  /** Incarnation before the event. */
  base::Incarnation incarnation;
  TargetEffects& effects;
};

struct Hello : Event
{};
struct Beat : Event
{};
struct Drain : Event
{};
struct HalfSilent : Event
{};
struct Silent : Event
{};
struct Closed : Event
{};
/** Hello of another incarnation. */
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

/** A state that notes itself in the machine when it is entered. */
template<TargetState State>
struct Stage : msm::front::state<>
{
  template<typename Ev, typename Fsm>
  void on_entry(const Ev&, Fsm& aMachine)
  {
    aMachine.current = State;
  }
};

struct Definition : msm::front::state_machine_def<Definition>
{
  // Events are processed one by one, so that no queue is needed per target.
  using no_message_queue = int;
  using no_exception_thrown = int;

  TargetState current = TargetState::Announced;

  using Announced = Stage<TargetState::Announced>;
  using Active = Stage<TargetState::Active>;
  using Suspect = Stage<TargetState::Suspect>;
  using Draining = Stage<TargetState::Draining>;
  using Lost = Stage<TargetState::Lost>;
  using Left = Stage<TargetState::Left>;
  using initial_state = Announced;

  using Usable = Emit<BecameUsable>;
  using Suspected = Emit<BecameSuspect>;
  using Cleared = Emit<SuspicionCleared>;
  using Stop = Emit<StopNewWork>;
  using Leave = Emit<TargetLeft>;
  using LostClosed = EmitLost<LossReason::Closed>;
  using LostSilent = EmitLost<LossReason::Silent>;
  using LostRestart = EmitLost<LossReason::Restarted>;

  // An mpl::vector takes 20 rows unless BOOST_MPL_LIMIT_VECTOR_SIZE is raised.
  // clang-format off
  using transition_table = boost::mpl::vector<
    //  Source     Event       Target     Effect
    Row<Announced, Beat,       Active,    Usable>,
    Row<Announced, Drain,      Draining,  none>,
    Row<Announced, Silent,     Lost,      LostSilent>,
    Row<Announced, Closed,     Lost,      LostClosed>,
    Row<Announced, Restart,    Announced, LostRestart>,

    Row<Active,    HalfSilent, Suspect,   Suspected>,
    Row<Active,    Drain,      Draining,  Stop>,
    Row<Active,    Closed,     Lost,      LostClosed>,
    Row<Active,    Restart,    Announced, LostRestart>,

    Row<Suspect,   Beat,       Active,    Cleared>,
    Row<Suspect,   Drain,      Draining,  Stop>,
    Row<Suspect,   Silent,     Lost,      LostSilent>,
    Row<Suspect,   Closed,     Lost,      LostClosed>,
    Row<Suspect,   Restart,    Announced, LostRestart>,

    Row<Draining,  Silent,     Lost,      LostSilent>,
    Row<Draining,  Closed,     Left,      Leave>,
    Row<Draining,  Restart,    Announced, LostRestart>,

    Row<Lost,      Hello,      Announced, none>,
    Row<Lost,      Restart,    Announced, none>,
    Row<Left,      Restart,    Announced, none>
  >;
  // clang-format on

  /** Any other event is without effect in that state. */
  template<typename Fsm, typename Ev>
  void no_transition(const Ev&, Fsm&, int)
  {
  }
};

using Machine = msm::back::state_machine<Definition>;

} // namespace amaranthwind::membership::lifecycle
