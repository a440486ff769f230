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

/** A state that notes itself in the machine when it is entered. */
template<JobPhase Phase>
struct Stage : msm::front::state<>
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

  using Queued = Stage<JobPhase::Queued>;
  using Committed = Stage<JobPhase::Committed>;
  using Ended = Stage<JobPhase::Ended>;
  using initial_state = Queued;

  // clang-format off
  using transition_table = boost::mpl::vector<
    //  Source     Event       Target
    Row<Queued,    Commit,     Committed>,
    Row<Queued,    End,        Ended>,
    Row<Committed, EndAttempt, Queued>,
    Row<Committed, End,        Ended>>;
  // clang-format on

  /** Any other step is impossible in that phase. */
  template<typename Fsm, typename Ev>
  void no_transition(const Ev&, Fsm&, int)
  {
  }
};

using Machine = msm::back::state_machine<Definition>;

bool
Take(Machine& aMachine, JobStep aStep)
{
  switch (aStep) {
    case JobStep::Commit:
      return aMachine.process_event(Commit{}) == msm::back::HANDLED_TRUE;
    case JobStep::EndAttempt:
      return aMachine.process_event(EndAttempt{}) == msm::back::HANDLED_TRUE;
    case JobStep::End:
      break;
  }
  return aMachine.process_event(End{}) == msm::back::HANDLED_TRUE;
}

constexpr std::size_t kPhases = 3;
constexpr std::size_t kSteps = 3;
using Transitions =
  std::array<std::array<std::optional<JobPhase>, kSteps>, kPhases>;

/** Steps that lead a new machine to the phase. */
std::initializer_list<JobStep>
PathTo(JobPhase aPhase)
{
  static const std::initializer_list<JobStep> commit{ JobStep::Commit };
  static const std::initializer_list<JobStep> end{ JobStep::End };
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
RunMachine(JobPhase aPhase, JobStep aStep)
{
  Machine machine;
  machine.start();
  for (const JobStep step : PathTo(aPhase)) {
    Take(machine, step);
  }
  if (!Take(machine, aStep)) {
    return std::nullopt;
  }
  return machine.phase;
}

/**
 * A replay holds tens of thousands of jobs, so that each has its phase only and
 * not a machine. The machine fills this table once.
 */
Transitions
MakeTransitions()
{
  Transitions transitions;
  for (std::size_t phase = 0; phase < kPhases; ++phase) {
    for (std::size_t step = 0; step < kSteps; ++step) {
      transitions[phase][step] =
        RunMachine(static_cast<JobPhase>(phase), static_cast<JobStep>(step));
    }
  }
  return transitions;
}

} // namespace

std::optional<JobPhase>
NextJobPhase(JobPhase aPhase, JobStep aStep)
{
  static const Transitions transitions = MakeTransitions();
  return transitions[static_cast<std::size_t>(aPhase)]
                    [static_cast<std::size_t>(aStep)];
}

} // namespace amaranthwind::journal
