#include "sim_entry.h"

#include <algorithm>

namespace sycamore::entry::testing {

SimPair::SimPair(SimEntry& aLeft, SimEntry& aRight)
  : mLeft(aLeft)
  , mRight(aRight)
{
}

void
SimPair::Connect()
{
  static transport::LinkId sNext = 100000;
  mLeftLink = sNext++;
  mRightLink = sNext++;
  mLeft.mLinks.insert(mLeftLink);
  mRight.mLinks.insert(mRightLink);
  // The first tick publishes the hellos.
  mLeft.AdvanceTime(base::Millis{ 50 });
  mRight.AdvanceTime(base::Millis{ 50 });
  const auto left = std::make_shared<const wire::HelloT>(mLeft.mHello);
  const auto right = std::make_shared<const wire::HelloT>(mRight.mHello);
  mLeft.Do(transport::PeerEvent(transport::PeerConnected{ mLeftLink, right, "" }));
  mRight.Do(transport::PeerEvent(transport::PeerConnected{ mRightLink, left, "" }));
  Deliver();
}

void
SimPair::Disconnect()
{
  mLeft.Disconnect(mLeftLink);
  mRight.Disconnect(mRightLink);
}

bool
SimPair::Move(SimEntry& aFrom,
              transport::LinkId aFromLink,
              SimEntry& aTo,
              transport::LinkId aToLink)
{
  const auto ours = [&](const auto& aPair) { return aPair.first == aFromLink; };
  const auto found = std::find_if(aFrom.mFrames.begin(), aFrom.mFrames.end(), ours);
  if (found == aFrom.mFrames.end()) {
    return false;
  }
  wire::FrameT frame = std::move(found->second);
  aFrom.mFrames.erase(found);
  aTo.Frame(aToLink, std::move(frame));
  return true;
}

void
SimPair::Deliver()
{
  while (Move(mLeft, mLeftLink, mRight, mRightLink) || Move(mRight, mRightLink, mLeft, mLeftLink)) {
  }
}

void
SimPair::AdvanceTime(base::Millis aTime)
{
  constexpr base::Millis kStep{ 500 };
  for (base::Millis passed{ 0 }; passed < aTime; passed += kStep) {
    mLeft.AdvanceTime(kStep);
    mRight.AdvanceTime(kStep);
    if (mLeft.mLinks.contains(mLeftLink)) {
      mRight.Frame(mRightLink, wire::MakeFrame(wire::HeartbeatT(mLeft.mHeartbeat)));
      mLeft.Frame(mLeftLink, wire::MakeFrame(wire::HeartbeatT(mRight.mHeartbeat)));
    }
    Deliver();
  }
}

}
