// The transition table has more rows than the default limit of 20.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_VECTOR_SIZE 30
#define BOOST_MPL_LIMIT_MAP_SIZE 30

#include "call_life.h"

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

template<CallStep Step>
struct StepEvent
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

using Load = StepEvent<CallStep::Load>;
using Reserve = StepEvent<CallStep::Reserve>;
using Reserved = StepEvent<CallStep::Reserved>;
using Intend = StepEvent<CallStep::Intend>;
using Dispatch = StepEvent<CallStep::Dispatch>;
using Retry = StepEvent<CallStep::Retry>;
using Lose = StepEvent<CallStep::Lose>;
using Find = StepEvent<CallStep::Find>;
using Refine = StepEvent<CallStep::Refine>;
using Decide = StepEvent<CallStep::Decide>;
using Finish = StepEvent<CallStep::Finish>;

struct LifeDef : msm::front::state_machine_def<LifeDef>
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
    Row<Choosing,   BeginLoading, Loading>,
    Row<Choosing,   BeginSealing, Sealing>,
    Row<Loading,    Load,         Ready>,
    Row<Loading,    Reserve,      Reserving>,
    Row<Loading,    Finish,       Done>,
    Row<Reserving,  Reserved,     Ready>,
    Row<Reserving,  Finish,       Done>,
    Row<Ready,      Reserve,      Reserving>,
    Row<Ready,      Intend,       Intending>,
    Row<Ready,      Dispatch,     Running>,
    Row<Ready,      Finish,       Done>,
    Row<Intending,  Dispatch,     Running>,
    Row<Intending,  Decide,       Committing>,
    Row<Intending,  Finish,       Done>,
    Row<Running,    Lose,         Searching>,
    Row<Running,    Retry,        Ready>,
    Row<Running,    Decide,       Committing>,
    Row<Running,    Finish,       Done>,
    Row<Searching,  Find,         Running>,
    Row<Searching,  Dispatch,     Running>,
    Row<Searching,  Retry,        Ready>,
    Row<Searching,  Decide,       Committing>,
    Row<Searching,  Finish,       Done>,
    Row<Sealing,    Decide,       Committing>,
    Row<Sealing,    Finish,       Done>,
    Row<Committing, Refine,       Searching>,
    Row<Committing, Finish,       Done>
  > {};
  // clang-format on

  template<class Fsm, class Event>
  void no_transition(const Event&, Fsm&, int)
  {
    mRefused = true;
  }
};

}

class CallLife::Machine : public msm::back::state_machine<LifeDef>
{};

CallLife::CallLife(CallPhase aStart)
  : mMachine(std::make_unique<Machine>())
{
  assert(aStart == CallPhase::Loading || aStart == CallPhase::Sealing);
  mMachine->start();
  if (aStart == CallPhase::Sealing) {
    mMachine->process_event(LifeDef::BeginSealing{});
  } else {
    mMachine->process_event(LifeDef::BeginLoading{});
  }
}

CallLife::~CallLife() = default;
CallLife::CallLife(CallLife&&) noexcept = default;
CallLife&
CallLife::operator=(CallLife&&) noexcept = default;

CallPhase
CallLife::Phase() const
{
  return mMachine->mPhase;
}

template<typename Fsm>
static void
Process(Fsm& aFsm, CallStep aStep)
{
  switch (aStep) {
    case CallStep::Load:
      aFsm.process_event(Load{});
      break;
    case CallStep::Reserve:
      aFsm.process_event(Reserve{});
      break;
    case CallStep::Reserved:
      aFsm.process_event(Reserved{});
      break;
    case CallStep::Intend:
      aFsm.process_event(Intend{});
      break;
    case CallStep::Dispatch:
      aFsm.process_event(Dispatch{});
      break;
    case CallStep::Retry:
      aFsm.process_event(Retry{});
      break;
    case CallStep::Lose:
      aFsm.process_event(Lose{});
      break;
    case CallStep::Find:
      aFsm.process_event(Find{});
      break;
    case CallStep::Refine:
      aFsm.process_event(Refine{});
      break;
    case CallStep::Decide:
      aFsm.process_event(Decide{});
      break;
    case CallStep::Finish:
      aFsm.process_event(Finish{});
      break;
  }
}

bool
CallLife::Take(CallStep aStep)
{
  mMachine->mRefused = false;
  Process(*mMachine, aStep);
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
