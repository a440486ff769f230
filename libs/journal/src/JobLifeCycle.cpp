#include "amaranthwind/journal/JobLifeCycle.h"

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>
#include <cstddef>
#include <initializer_list>

namespace amaranthwind::journal {

namespace {

namespace msm = boost::msm;
using msm::front::Row;

struct Commit
{};
struct EndAttempt
{};
struct End
{};

/** A state that stores its phase in the state machine on entry. */
template<JobPhase Phase>
struct PhaseState : msm::front::state<>
{
  template<typename Ev, typename Fsm>
  void on_entry(const Ev&, Fsm& aMachine)
  {
    aMachine.phase = Phase;
  }
};

struct Definition : msm::front::state_machine_def<Definition>
{
  JobPhase phase = JobPhase::Queued;

  using Queued = PhaseState<JobPhase::Queued>;
  using Committed = PhaseState<JobPhase::Committed>;
  using Ended = PhaseState<JobPhase::Ended>;
  using initial_state = Queued;

  // clang-format off
  using transition_table = boost::mpl::vector<
    //  Source     Event       Target
    Row<Queued,    Commit,     Committed>,
    Row<Queued,    End,        Ended>,
    Row<Committed, EndAttempt, Queued>,
    Row<Committed, End,        Ended>>;
  // clang-format on

  /**
   * Ignores events that are not in the table; they leave the phase unchanged.
   */
  template<typename Fsm, typename Ev>
  void no_transition(const Ev&, Fsm&, int)
  {
  }
};

using Machine = msm::back::state_machine<Definition>;

bool
ProcessEvent(Machine& aMachine, JobEvent aEvent)
{
  switch (aEvent) {
    case JobEvent::Commit:
      return aMachine.process_event(Commit{}) == msm::back::HANDLED_TRUE;
    case JobEvent::EndAttempt:
      return aMachine.process_event(EndAttempt{}) == msm::back::HANDLED_TRUE;
    case JobEvent::End:
      break;
  }
  return aMachine.process_event(End{}) == msm::back::HANDLED_TRUE;
}

constexpr std::size_t kPhases = 3;
constexpr std::size_t kEvents = 3;
using Transitions =
  std::array<std::array<std::optional<JobPhase>, kEvents>, kPhases>;

/** Returns the events that take a new state machine to the phase. */
std::initializer_list<JobEvent>
EventsToReach(JobPhase aPhase)
{
  static const std::initializer_list<JobEvent> commit{ JobEvent::Commit };
  static const std::initializer_list<JobEvent> end{ JobEvent::End };
  switch (aPhase) {
    case JobPhase::Committed:
      return commit;
    case JobPhase::Ended:
      return end;
    case JobPhase::Queued:
      break;
  }
  return {};
}

std::optional<JobPhase>
RunMachine(JobPhase aPhase, JobEvent aEvent)
{
  Machine machine;
  machine.start();
  for (const JobEvent event : EventsToReach(aPhase)) {
    ProcessEvent(machine, event);
  }
  if (!ProcessEvent(machine, aEvent)) {
    return std::nullopt;
  }
  return machine.phase;
}

/**
 * A replay holds tens of thousands of jobs, so each job stores only its phase
 * instead of a state machine. The state machine is run once to fill this table.
 */
Transitions
MakeTransitions()
{
  Transitions transitions;
  for (std::size_t phase = 0; phase < kPhases; ++phase) {
    for (std::size_t event = 0; event < kEvents; ++event) {
      transitions[phase][event] =
        RunMachine(static_cast<JobPhase>(phase), static_cast<JobEvent>(event));
    }
  }
  return transitions;
}

} // namespace

std::optional<JobPhase>
NextJobPhase(JobPhase aPhase, JobEvent aEvent)
{
  static const Transitions transitions = MakeTransitions();
  return transitions[static_cast<std::size_t>(aPhase)]
                    [static_cast<std::size_t>(aEvent)];
}

} // namespace amaranthwind::journal
