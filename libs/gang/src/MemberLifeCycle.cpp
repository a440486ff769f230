#include "MemberLifeCycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace amaranthwind::gang {

namespace {

namespace msm = boost::msm;

template<MemberStep kStep>
struct Step
{
  MemberActions& actions;
};

using CommitSeen = Step<MemberStep::CommitSeen>;
using AbortSeen = Step<MemberStep::AbortSeen>;
using ReleaseSeen = Step<MemberStep::ReleaseSeen>;
using StopSeen = Step<MemberStep::StopSeen>;
using TaskStartSeen = Step<MemberStep::TaskStartSeen>;
using TaskEndSeen = Step<MemberStep::TaskEndSeen>;
using TaskFound = Step<MemberStep::TaskFound>;

template<void (MemberActions::*kAction)()>
struct Do
{
  template<typename Event, typename Fsm, typename From, typename To>
  void operator()(const Event& aEvent, Fsm&, From&, To&)
  {
    (aEvent.actions.*kAction)();
  }
};

template<MemberPhase kPhase>
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

  MemberPhase phase = MemberPhase::Promised;

  using Promised = In<MemberPhase::Promised>;
  using InCommitted = In<MemberPhase::Committed>;
  using Starting = In<MemberPhase::Starting>;
  using Running = In<MemberPhase::Running>;
  using Stopping = In<MemberPhase::Stopping>;
  using Ended = In<MemberPhase::Ended>;
  using Aborted = In<MemberPhase::Aborted>;
  using initial_state = Promised;

  using Free = Do<&MemberActions::Free>;
  using SendCommitted = Do<&MemberActions::SendCommitted>;
  using StartTask = Do<&MemberActions::StartTask>;
  using StopTask = Do<&MemberActions::StopTask>;
  using None = msm::front::none;

  template<typename From, typename Event, typename To, typename Action>
  using Row = msm::front::Row<From, Event, To, Action, msm::front::none>;

  // Time alone takes no member out of Promised.
  // clang-format off
  using transition_table = boost::mpl::vector<
    //  from         event          to           action
    Row<Promised,    CommitSeen,    InCommitted, SendCommitted>,
    Row<Promised,    AbortSeen,     Aborted,     Free>,
    Row<Promised,    StopSeen,      Ended,       Free>,
    Row<Promised,    TaskFound,     Running,     None>,
    Row<InCommitted, ReleaseSeen,   Starting,    StartTask>,
    Row<InCommitted, StopSeen,      Ended,       Free>,
    Row<Starting,    TaskStartSeen, Running,     None>,
    Row<Starting,    TaskEndSeen,   Ended,       Free>,
    Row<Starting,    StopSeen,      Stopping,    StopTask>,
    Row<Running,     TaskEndSeen,   Ended,       Free>,
    Row<Running,     StopSeen,      Stopping,    StopTask>,
    Row<Stopping,    StopSeen,      Stopping,    StopTask>,
    Row<Stopping,    TaskEndSeen,   Ended,       Free>>;
  // clang-format on

  /** Late and repeated events are no fault. */
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
MemberLifeCycle::Process(MemberStep aStep, MemberActions& aActions)
{
  Machine& machine = this->impl->machine;
  switch (aStep) {
    case MemberStep::CommitSeen:
      machine.process_event(CommitSeen{ aActions });
      break;
    case MemberStep::AbortSeen:
      machine.process_event(AbortSeen{ aActions });
      break;
    case MemberStep::ReleaseSeen:
      machine.process_event(ReleaseSeen{ aActions });
      break;
    case MemberStep::StopSeen:
      machine.process_event(StopSeen{ aActions });
      break;
    case MemberStep::TaskStartSeen:
      machine.process_event(TaskStartSeen{ aActions });
      break;
    case MemberStep::TaskEndSeen:
      machine.process_event(TaskEndSeen{ aActions });
      break;
    case MemberStep::TaskFound:
      machine.process_event(TaskFound{ aActions });
      break;
  }
}

MemberPhase
MemberLifeCycle::Phase() const noexcept
{
  return this->impl->machine.phase;
}

} // namespace amaranthwind::gang
