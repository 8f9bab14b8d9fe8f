// The transition table has more rows than the default limit of 20.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_VECTOR_SIZE 30
#define BOOST_MPL_LIMIT_MAP_SIZE 30

#include "call_state_machine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <boost/msm/front/states.hpp>
#include <cassert>

namespace sycamore::entry {

namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::Row;

namespace {

template<CallPhase Phase>
struct PhaseState : msm::front::state<>
{
  template<class Event, class Fsm>
  void on_entry(const Event&, Fsm& aFsm)
  {
    aFsm.mPhase = Phase;
  }
};

template<CallTransition Transition>
struct TransitionEvent
{
};

using Loading = PhaseState<CallPhase::Loading>;
using Reserving = PhaseState<CallPhase::Reserving>;
using Ready = PhaseState<CallPhase::Ready>;
using Intending = PhaseState<CallPhase::Intending>;
using Running = PhaseState<CallPhase::Running>;
using Searching = PhaseState<CallPhase::Searching>;
using Sealing = PhaseState<CallPhase::Sealing>;
using Committing = PhaseState<CallPhase::Committing>;
using Done = PhaseState<CallPhase::Done>;

using FinishLoading = TransitionEvent<CallTransition::FinishLoading>;
using Reserve = TransitionEvent<CallTransition::Reserve>;
using Reserved = TransitionEvent<CallTransition::Reserved>;
using RecordIntent = TransitionEvent<CallTransition::RecordIntent>;
using Dispatch = TransitionEvent<CallTransition::Dispatch>;
using Retry = TransitionEvent<CallTransition::Retry>;
using Disconnect = TransitionEvent<CallTransition::Disconnect>;
using Locate = TransitionEvent<CallTransition::Locate>;
using ResumeSearch = TransitionEvent<CallTransition::ResumeSearch>;
using Commit = TransitionEvent<CallTransition::Commit>;
using Finish = TransitionEvent<CallTransition::Finish>;

struct StateMachineDef : msm::front::state_machine_def<StateMachineDef>
{
  // Initial state; the constructor leaves it for the call's first phase.
  struct Choosing : msm::front::state<>
  {};
  struct BeginLoading
  {};
  struct BeginSealing
  {};

  CallPhase mPhase = CallPhase::Loading;
  bool mRefused = false;

  using initial_state = Choosing; // NOLINT(readability-identifier-naming): required by Boost.MSM.

  // clang-format off
  struct transition_table // NOLINT(readability-identifier-naming): required by Boost.MSM.
    : mpl::vector<
    Row<Choosing,   BeginLoading,  Loading>,
    Row<Choosing,   BeginSealing,  Sealing>,
    Row<Loading,    FinishLoading, Ready>,
    Row<Loading,    Reserve,       Reserving>,
    Row<Loading,    Finish,        Done>,
    Row<Reserving,  Reserved,      Ready>,
    Row<Reserving,  Finish,        Done>,
    Row<Ready,      Reserve,       Reserving>,
    Row<Ready,      RecordIntent,  Intending>,
    Row<Ready,      Dispatch,      Running>,
    Row<Ready,      Finish,        Done>,
    Row<Intending,  Dispatch,      Running>,
    Row<Intending,  Commit,        Committing>,
    Row<Intending,  Finish,        Done>,
    Row<Running,    Disconnect,    Searching>,
    Row<Running,    Retry,         Ready>,
    Row<Running,    Commit,        Committing>,
    Row<Running,    Finish,        Done>,
    Row<Searching,  Locate,        Running>,
    Row<Searching,  Dispatch,      Running>,
    Row<Searching,  Retry,         Ready>,
    Row<Searching,  Commit,        Committing>,
    Row<Searching,  Finish,        Done>,
    Row<Sealing,    Commit,        Committing>,
    Row<Sealing,    Finish,        Done>,
    Row<Committing, ResumeSearch,  Searching>,
    Row<Committing, Finish,        Done>
  > {};
  // clang-format on

  template<class Fsm, class Event>
  void no_transition(const Event&, Fsm&, int)
  {
    mRefused = true;
  }
};

}

class CallStateMachine::Machine : public msm::back::state_machine<StateMachineDef>
{};

CallStateMachine::CallStateMachine(CallPhase aStart)
  : mMachine(std::make_unique<Machine>())
{
  assert(aStart == CallPhase::Loading || aStart == CallPhase::Sealing);
  mMachine->start();
  if (aStart == CallPhase::Sealing) {
    mMachine->process_event(StateMachineDef::BeginSealing{});
  } else {
    mMachine->process_event(StateMachineDef::BeginLoading{});
  }
}

CallStateMachine::~CallStateMachine() = default;
CallStateMachine::CallStateMachine(CallStateMachine&&) noexcept = default;
CallStateMachine&
CallStateMachine::operator=(CallStateMachine&&) noexcept = default;

CallPhase
CallStateMachine::Phase() const
{
  return mMachine->mPhase;
}

template<typename Fsm>
static void
ApplyTransition(Fsm& aFsm, CallTransition aTransition)
{
  switch (aTransition) {
    case CallTransition::FinishLoading:
      aFsm.process_event(FinishLoading{});
      break;
    case CallTransition::Reserve:
      aFsm.process_event(Reserve{});
      break;
    case CallTransition::Reserved:
      aFsm.process_event(Reserved{});
      break;
    case CallTransition::RecordIntent:
      aFsm.process_event(RecordIntent{});
      break;
    case CallTransition::Dispatch:
      aFsm.process_event(Dispatch{});
      break;
    case CallTransition::Retry:
      aFsm.process_event(Retry{});
      break;
    case CallTransition::Disconnect:
      aFsm.process_event(Disconnect{});
      break;
    case CallTransition::Locate:
      aFsm.process_event(Locate{});
      break;
    case CallTransition::ResumeSearch:
      aFsm.process_event(ResumeSearch{});
      break;
    case CallTransition::Commit:
      aFsm.process_event(Commit{});
      break;
    case CallTransition::Finish:
      aFsm.process_event(Finish{});
      break;
  }
}

bool
CallStateMachine::Apply(CallTransition aTransition)
{
  mMachine->mRefused = false;
  ApplyTransition(*mMachine, aTransition);
  return !mMachine->mRefused;
}

std::string_view
PhaseName(CallPhase aPhase)
{
  switch (aPhase) {
    case CallPhase::Loading:
      return "loading";
    case CallPhase::Reserving:
      return "reserving";
    case CallPhase::Ready:
      return "ready";
    case CallPhase::Intending:
      return "intending";
    case CallPhase::Running:
      return "running";
    case CallPhase::Searching:
      return "searching";
    case CallPhase::Sealing:
      return "sealing";
    case CallPhase::Committing:
      return "committing";
    case CallPhase::Done:
      return "done";
  }
  return "";
}

}
