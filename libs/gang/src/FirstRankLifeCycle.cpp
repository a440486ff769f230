#include "FirstRankLifeCycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace amaranthwind::gang {

namespace {

namespace msm = boost::msm;

template<FirstRankTrigger kTrigger>
struct Trigger
{
  FirstRankActions& actions;
};

using AllCommitted = Trigger<FirstRankTrigger::AllCommitted>;
using AllRunning = Trigger<FirstRankTrigger::AllRunning>;
using StopNeeded = Trigger<FirstRankTrigger::StopNeeded>;
using AllEnded = Trigger<FirstRankTrigger::AllEnded>;
using TaskAdopted = Trigger<FirstRankTrigger::TaskAdopted>;

template<void (FirstRankActions::*kAction)()>
struct Invoke
{
  template<typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event& aEvent, Fsm&, From&, To&)
  {
    (aEvent.actions.*kAction)();
  }
};

template<FirstRankPhase kPhase>
struct State : msm::front::state<>
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

  using Collecting = State<FirstRankPhase::Collecting>;
  using Released = State<FirstRankPhase::Released>;
  using Running = State<FirstRankPhase::Running>;
  using Stopping = State<FirstRankPhase::Stopping>;
  using Ended = State<FirstRankPhase::Ended>;
  using initial_state = Collecting;

  using SendRelease = Invoke<&FirstRankActions::SendRelease>;
  using ReportStarted = Invoke<&FirstRankActions::ReportStarted>;
  using SendStop = Invoke<&FirstRankActions::SendStop>;
  using ReportEnded = Invoke<&FirstRankActions::ReportEnded>;
  using None = msm::front::none;

  template<typename From, typename Event, typename To, typename Action>
  using Row = msm::front::Row<From, Event, To, Action, msm::front::none>;

  // Only the first row sends Release, and no row leads back to Collecting.
  // Therefore an end that is reached from Collecting by a stop proves that no
  // task ran.
  // clang-format off
  using transition_table = boost::mpl::vector<
    //  from        event         to        action
    Row<Collecting, AllCommitted, Released, SendRelease>,
    Row<Collecting, StopNeeded,   Stopping, SendStop>,
    Row<Collecting, TaskAdopted,  Running,  None>,
    Row<Released,   AllRunning,   Running,  ReportStarted>,
    Row<Released,   StopNeeded,   Stopping, SendStop>,
    Row<Running,    StopNeeded,   Stopping, SendStop>,
    Row<Running,    AllEnded,     Ended,    ReportEnded>,
    Row<Stopping,   StopNeeded,   Stopping, SendStop>,
    Row<Stopping,   AllEnded,     Ended,    ReportEnded>>;
  // clang-format on

  /** Late and repeated events are expected and ignored. */
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
FirstRankLifeCycle::Process(FirstRankTrigger aTrigger,
                            FirstRankActions& aActions)
{
  Machine& machine = this->impl->machine;
  switch (aTrigger) {
    case FirstRankTrigger::AllCommitted:
      machine.process_event(AllCommitted{ aActions });
      break;
    case FirstRankTrigger::AllRunning:
      machine.process_event(AllRunning{ aActions });
      break;
    case FirstRankTrigger::StopNeeded:
      machine.process_event(StopNeeded{ aActions });
      break;
    case FirstRankTrigger::AllEnded:
      machine.process_event(AllEnded{ aActions });
      break;
    case FirstRankTrigger::TaskAdopted:
      machine.process_event(TaskAdopted{ aActions });
      break;
  }
}

FirstRankPhase
FirstRankLifeCycle::Phase() const noexcept
{
  return this->impl->machine.phase;
}

} // namespace amaranthwind::gang
