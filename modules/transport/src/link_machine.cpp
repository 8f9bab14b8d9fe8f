#include "link_machine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace sycamore::transport {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct HelloReceived
{};
struct FrameReceived
{};
struct Failed
{};

struct AwaitHello : msm::front::state<>
{};
struct Open : msm::front::state<>
{};
struct Closed : msm::front::state<>
{};

// A second Hello or a frame before Hello has no row: both are protocol errors.
struct LinkFrontEnd : msm::front::state_machine_def<LinkFrontEnd>
{
  using initial_state = AwaitHello;
  using transition_table = boost::mpl::vector<Row<AwaitHello, HelloReceived, Open, none, none>,
                                              Row<Open, FrameReceived, none, none, none>,
                                              Row<AwaitHello, Failed, Closed, none, none>,
                                              Row<Open, Failed, Closed, none, none>>;

  template<typename Machine, typename Event>
  void no_transition(const Event&, Machine& aMachine, int)
  {
    aMachine.mRefused = true;
  }

  bool mRefused = false;
};

class LinkMachine::Impl : public msm::back::state_machine<LinkFrontEnd>
{};

LinkMachine::LinkMachine()
  : mImpl(std::make_unique<Impl>())
{
  mImpl->start();
}

LinkMachine::~LinkMachine() = default;

bool
LinkMachine::Apply(LinkInput aInput)
{
  mImpl->mRefused = false;
  switch (aInput) {
    case LinkInput::HelloReceived:
      mImpl->process_event(HelloReceived{});
      break;
    case LinkInput::FrameReceived:
      mImpl->process_event(FrameReceived{});
      break;
    case LinkInput::Failed:
      mImpl->process_event(Failed{});
      break;
  }
  const bool accepted = !mImpl->mRefused;
  if (!accepted) {
    mImpl->process_event(Failed{});
  }
  return accepted;
}

LinkPhase
LinkMachine::Phase() const
{
  return static_cast<LinkPhase>(mImpl->current_state()[0]);
}

}
