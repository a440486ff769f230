#include "ConnectionState.h"

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace amaranthwind::protocol {

namespace {

namespace msm = boost::msm;
using msm::front::Row;

struct Established
{};
struct Closing
{};

struct ConnectionMachineDef
  : msm::front::state_machine_def<ConnectionMachineDef>
{
  // MSM numbers the states in order of first use in the transition table, which
  // must match the order of ConnectionPhase.
  struct Connecting : msm::front::state<>
  {};
  struct Open : msm::front::state<>
  {};
  struct Closed : msm::front::state<>
  {};
  using initial_state = Connecting;

  // clang-format off
  using transition_table = boost::mpl::vector<
    Row<Connecting, Established, Open>,
    Row<Connecting, Closing,     Closed>,
    Row<Open,       Closing,     Closed>>;
  // clang-format on

  // Ignores events that arrive too late for the current state.
  template<typename Fsm, typename Event>
  void no_transition(const Event&, Fsm&, int)
  {
  }
};

using ConnectionMachine = msm::back::state_machine<ConnectionMachineDef>;

} // namespace

struct ConnectionState::Impl
{
  ConnectionMachine machine;
};

ConnectionState::ConnectionState()
  : impl(std::make_unique<Impl>())
{
  this->impl->machine.start();
}

ConnectionState::~ConnectionState() = default;

ConnectionPhase
ConnectionState::Phase() const noexcept
{
  return static_cast<ConnectionPhase>(this->impl->machine.current_state()[0]);
}

bool
ConnectionState::OnEstablished()
{
  return this->impl->machine.process_event(Established{}) ==
         msm::back::HANDLED_TRUE;
}

bool
ConnectionState::OnClosing()
{
  return this->impl->machine.process_event(Closing{}) ==
         msm::back::HANDLED_TRUE;
}

} // namespace amaranthwind::protocol
