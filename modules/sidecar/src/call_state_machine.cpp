#include "sycamore/sidecar/call_state_machine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace sycamore::sidecar {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct Start
{};
struct Cancel
{};
struct Finish
{};

struct CallStateMachineDefinition : msm::front::state_machine_def<CallStateMachineDefinition>
{
  struct Queued : msm::front::state<>
  {};
  struct Running : msm::front::state<>
  {};
  struct Cancelling : msm::front::state<>
  {};
  struct Finished : msm::front::state<>
  {};

  using initial_state = Queued; // NOLINT(readability-identifier-naming): required by Boost.MSM.

  struct transition_table // NOLINT(readability-identifier-naming): required by Boost.MSM.
    : boost::mpl::vector<Row<Queued, Start, Running, none, none>,
                         Row<Queued, Cancel, Finished, none, none>,
                         Row<Queued, Finish, Finished, none, none>,
                         Row<Running, Cancel, Cancelling, none, none>,
                         Row<Running, Finish, Finished, none, none>,
                         Row<Cancelling, Finish, Finished, none, none>>
  {};

  // Invalid steps are reported by the return value of process_event.
  template<class Fsm, class Event>
  void no_transition(const Event&, Fsm&, int)
  {
  }
};

class CallStateMachine::Impl
{
public:
  Impl() { mMachine.start(); }

  // Boost.MSM numbers the states in the order of their appearance in the transition table, which
  // must match CallPhase.
  CallPhase Phase() const { return static_cast<CallPhase>(mMachine.current_state()[0]); }

  template<typename Event>
  bool Process(const Event& aEvent)
  {
    return mMachine.process_event(aEvent) == msm::back::HANDLED_TRUE;
  }

private:
  msm::back::state_machine<CallStateMachineDefinition> mMachine;
};

CallStateMachine::CallStateMachine()
  : mImpl(std::make_unique<Impl>())
{
}

CallStateMachine::~CallStateMachine() = default;
CallStateMachine::CallStateMachine(CallStateMachine&&) noexcept = default;
CallStateMachine&
CallStateMachine::operator=(CallStateMachine&&) noexcept = default;

CallPhase
CallStateMachine::Phase() const
{
  return mImpl->Phase();
}

bool
CallStateMachine::Apply(CallStep aStep)
{
  switch (aStep) {
    case CallStep::Start:
      return mImpl->Process(Start{});
    case CallStep::Cancel:
      return mImpl->Process(Cancel{});
    case CallStep::Finish:
      break;
  }
  return mImpl->Process(Finish{});
}

}
