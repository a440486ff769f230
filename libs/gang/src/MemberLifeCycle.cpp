#include "MemberLifeCycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace amaranthwind::gang {

namespace {

namespace msm = boost::msm;

template<MemberTrigger kTrigger>
struct Trigger
{
  MemberActions& actions;
};

using CommitReceived = Trigger<MemberTrigger::CommitReceived>;
using AbortReceived = Trigger<MemberTrigger::AbortReceived>;
using ReleaseReceived = Trigger<MemberTrigger::ReleaseReceived>;
using StopOrdered = Trigger<MemberTrigger::StopOrdered>;
using TaskStartReported = Trigger<MemberTrigger::TaskStartReported>;
using TaskEndReported = Trigger<MemberTrigger::TaskEndReported>;
using TaskAdopted = Trigger<MemberTrigger::TaskAdopted>;

template<void (MemberActions::*kAction)()>
struct Invoke
{
  template<typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event& aEvent, Fsm&, From&, To&)
  {
    (aEvent.actions.*kAction)();
  }
};

template<MemberPhase kPhase>
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

  MemberPhase phase = MemberPhase::Promised;

  using Promised = State<MemberPhase::Promised>;
  using InCommitted = State<MemberPhase::Committed>;
  using Starting = State<MemberPhase::Starting>;
  using Running = State<MemberPhase::Running>;
  using Stopping = State<MemberPhase::Stopping>;
  using Ended = State<MemberPhase::Ended>;
  using Aborted = State<MemberPhase::Aborted>;
  using initial_state = Promised;

  using FreeResources = Invoke<&MemberActions::FreeResources>;
  using SendCommitted = Invoke<&MemberActions::SendCommitted>;
  using StartTask = Invoke<&MemberActions::StartTask>;
  using StopTask = Invoke<&MemberActions::StopTask>;
  using None = msm::front::none;

  template<typename From, typename Event, typename To, typename Action>
  using Row = msm::front::Row<From, Event, To, Action, msm::front::none>;

  // No timeout takes a member out of Promised.
  // clang-format off
  using transition_table = boost::mpl::vector<
    //  from         event              to           action
    Row<Promised,    CommitReceived,    InCommitted, SendCommitted>,
    Row<Promised,    AbortReceived,     Aborted,     FreeResources>,
    Row<Promised,    StopOrdered,       Ended,       FreeResources>,
    Row<Promised,    TaskAdopted,       Running,     None>,
    Row<InCommitted, ReleaseReceived,   Starting,    StartTask>,
    Row<InCommitted, StopOrdered,       Ended,       FreeResources>,
    Row<Starting,    TaskStartReported, Running,     None>,
    Row<Starting,    TaskEndReported,   Ended,       FreeResources>,
    Row<Starting,    StopOrdered,       Stopping,    StopTask>,
    Row<Running,     TaskEndReported,   Ended,       FreeResources>,
    Row<Running,     StopOrdered,       Stopping,    StopTask>,
    Row<Stopping,    StopOrdered,       Stopping,    StopTask>,
    Row<Stopping,    TaskEndReported,   Ended,       FreeResources>>;
  // clang-format on

  /** Late and repeated events are expected and ignored. */
  template<typename Fsm, typename Event>
  void no_transition(const Event&, Fsm&, int)
  {
  }
};

using Machine = msm::back::state_machine<MachineDef>;

} // namespace

class MemberLifeCycle::Impl
{
public:
  Machine machine;
};

MemberLifeCycle::MemberLifeCycle()
  : impl(std::make_unique<Impl>())
{
  this->impl->machine.start();
}

MemberLifeCycle::~MemberLifeCycle() = default;
MemberLifeCycle::MemberLifeCycle(MemberLifeCycle&&) noexcept = default;
MemberLifeCycle&
MemberLifeCycle::operator=(MemberLifeCycle&&) noexcept = default;

void
MemberLifeCycle::Process(MemberTrigger aTrigger, MemberActions& aActions)
{
  Machine& machine = this->impl->machine;
  switch (aTrigger) {
    case MemberTrigger::CommitReceived:
      machine.process_event(CommitReceived{ aActions });
      break;
    case MemberTrigger::AbortReceived:
      machine.process_event(AbortReceived{ aActions });
      break;
    case MemberTrigger::ReleaseReceived:
      machine.process_event(ReleaseReceived{ aActions });
      break;
    case MemberTrigger::StopOrdered:
      machine.process_event(StopOrdered{ aActions });
      break;
    case MemberTrigger::TaskStartReported:
      machine.process_event(TaskStartReported{ aActions });
      break;
    case MemberTrigger::TaskEndReported:
      machine.process_event(TaskEndReported{ aActions });
      break;
    case MemberTrigger::TaskAdopted:
      machine.process_event(TaskAdopted{ aActions });
      break;
  }
}

MemberPhase
MemberLifeCycle::Phase() const noexcept
{
  return this->impl->machine.phase;
}

} // namespace amaranthwind::gang
