#include "FirstRankLifeCycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace amaranthwind::gang {

namespace {

namespace msm = boost::msm;

template<FirstRankStep kStep>
struct Step
{
  FirstRankActions& actions;
};

using AllCommitted = Step<FirstRankStep::AllCommitted>;
using AllRunning = Step<FirstRankStep::AllRunning>;
using StopNeeded = Step<FirstRankStep::StopNeeded>;
using AllEnded = Step<FirstRankStep::AllEnded>;
using TaskFound = Step<FirstRankStep::TaskFound>;

template<void (FirstRankActions::*kAction)()>
struct Do
{
  template<typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event& aEvent, Fsm&, From&, To&)
  {
    (aEvent.actions.*kAction)();
  }
};

template<FirstRankPhase kPhase>
struct In : msm::front::state<>
{
  template<typename Event, typename Fsm>
  void on_entry(const Event&, Fsm& aMachine)
  {
    aMachine.phase = kPhase;
  }
};

struct MachineDef : msm::front::state_machine_def<MachineDef>
{
  using no_exception_thrown = int;
  using no_message_queue = int;

  FirstRankPhase phase = FirstRankPhase::Collecting;

  using Collecting = In<FirstRankPhase::Collecting>;
  using Released = In<FirstRankPhase::Released>;
  using Running = In<FirstRankPhase::Running>;
  using Stopping = In<FirstRankPhase::Stopping>;
  using Over = In<FirstRankPhase::Over>;
  using initial_state = Collecting;

  using SendRelease = Do<&FirstRankActions::SendRelease>;
  using ReportStarted = Do<&FirstRankActions::ReportStarted>;
  using SendStop = Do<&FirstRankActions::SendStop>;
  using ReportEnded = Do<&FirstRankActions::ReportEnded>;
  using None = msm::front::none;

  template<typename From, typename Event, typename To, typename Action>
  using Row = msm::front::Row<From, Event, To, Action, msm::front::none>;

  // Only the first row sends Release, and none leads back to Collecting. So an
  // end reached from Collecting by a stop proves that nothing ran.
  // clang-format off
  using transition_table = boost::mpl::vector<
    //  from        event         to        action
    Row<Collecting, AllCommitted, Released, SendRelease>,
    Row<Collecting, StopNeeded,   Stopping, SendStop>,
    Row<Collecting, TaskFound,    Running,  None>,
    Row<Released,   AllRunning,   Running,  ReportStarted>,
    Row<Released,   StopNeeded,   Stopping, SendStop>,
    Row<Running,    StopNeeded,   Stopping, SendStop>,
    Row<Running,    AllEnded,     Over,     ReportEnded>,
    Row<Stopping,   StopNeeded,   Stopping, SendStop>,
    Row<Stopping,   AllEnded,     Over,     ReportEnded>>;
  // clang-format on

  /** Late and repeated events are no fault. */
  template<typename Fsm, typename Event>
  void no_transition(const Event&, Fsm&, int)
  {
  }
};

using Machine = msm::back::state_machine<MachineDef>;

} // namespace

class FirstRankLifeCycle::Impl
{
public:
  Machine machine;
};

FirstRankLifeCycle::FirstRankLifeCycle()
  : impl(std::make_unique<Impl>())
{
  this->impl->machine.start();
}

FirstRankLifeCycle::~FirstRankLifeCycle() = default;
FirstRankLifeCycle::FirstRankLifeCycle(FirstRankLifeCycle&&) noexcept = default;
FirstRankLifeCycle&
FirstRankLifeCycle::operator=(FirstRankLifeCycle&&) noexcept = default;

void
FirstRankLifeCycle::Process(FirstRankStep aStep, FirstRankActions& aActions)
{
  Machine& machine = this->impl->machine;
  switch (aStep) {
    case FirstRankStep::AllCommitted:
      machine.process_event(AllCommitted{ aActions });
      break;
    case FirstRankStep::AllRunning:
      machine.process_event(AllRunning{ aActions });
      break;
    case FirstRankStep::StopNeeded:
      machine.process_event(StopNeeded{ aActions });
      break;
    case FirstRankStep::AllEnded:
      machine.process_event(AllEnded{ aActions });
      break;
    case FirstRankStep::TaskFound:
      machine.process_event(TaskFound{ aActions });
      break;
  }
}

FirstRankPhase
FirstRankLifeCycle::Phase() const noexcept
{
  return this->impl->machine.phase;
}

} // namespace amaranthwind::gang
