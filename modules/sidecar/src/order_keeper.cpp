#include "sycamore/sidecar/order_keeper.h"

#include <algorithm>
#include <cassert>

namespace sycamore::sidecar {

using base::Millis;
using base::TimePoint;

Millis
BackoffDelay(const OrderRules& aRules, uint32_t aFailures, Millis aAtLeast, double aRandom)
{
  constexpr uint32_t kMaxDoublings = 16;
  const uint32_t doublings = std::min(aFailures, kMaxDoublings);
  const Millis full = std::min<Millis>(aRules.mBackoffMax, aRules.mBackoffMin * (1LL << doublings));
  const double jittered = static_cast<double>(full.count()) * (0.5 + 0.5 * aRandom);
  const Millis delay = std::max(Millis(static_cast<int64_t>(jittered)), aAtLeast);
  return std::clamp(delay, aRules.mBackoffMin, aRules.mBackoffMax);
}

OrderKeeper::OrderKeeper(const OrderRules& aRules)
  : mRules(aRules)
{
}

const std::optional<table::Order>&
OrderKeeper::Wanted() const
{
  return mWanted;
}

uint64_t
OrderKeeper::HighestVersion() const
{
  return mHighest;
}

bool
OrderKeeper::InEffect() const
{
  // A version names one edit, so equal versions mean equal orders.
  return mState && mWanted && mState->mVersion == mWanted->mVersion;
}

void
OrderKeeper::Want(const table::Order& aOrder)
{
  if (aOrder.mVersion < mHighest || (mWanted && aOrder == *mWanted)) {
    return;
  }
  mHighest = aOrder.mVersion;
  mWanted = aOrder;
  mFailures = 0;
  if (mPhase == Phase::Idle) {
    mNextTry = TimePoint();
  }
}

OrderAction
OrderKeeper::Poll(TimePoint aNow)
{
  if (mPhase != Phase::Idle || aNow < mNextTry) {
    return OrderAction::None;
  }
  if (!mState || aNow >= mNextRead) {
    mPhase = Phase::Reading;
    return OrderAction::Read;
  }
  if (!mWanted || InEffect() || mWanted->mVersion < mHighest) {
    return OrderAction::None;
  }
  if (mSlotVersion != mWanted->mVersion) {
    mPhase = Phase::WaitingForSlot;
    mSent = mWanted;
    return OrderAction::RequestSlot;
  }
  mPhase = Phase::Sending;
  mSlotVersion = 0;
  mSent = mWanted;
  return OrderAction::Send;
}

void
OrderKeeper::StateRead(const table::Order& aState, TimePoint aNow)
{
  assert(mPhase == Phase::Reading);
  mPhase = Phase::Idle;
  mState = aState;
  mHighest = std::max(mHighest, aState.mVersion);
  mNextRead = aNow + mRules.mReadPeriod;
}

void
OrderKeeper::ReadFailed(double aRandom, TimePoint aNow)
{
  assert(mPhase == Phase::Reading);
  BackOff(Millis(0), aRandom, aNow);
}

void
OrderKeeper::SlotAnswered(bool aGranted, Millis aRetryAfter, double aRandom, TimePoint aNow)
{
  assert(mPhase == Phase::WaitingForSlot);
  if (!aGranted) {
    BackOff(aRetryAfter, aRandom, aNow);
    return;
  }
  mPhase = Phase::Idle;
  mSlotVersion = mSent->mVersion;
}

void
OrderKeeper::Applied(TimePoint aNow)
{
  assert(mPhase == Phase::Sending);
  mPhase = Phase::Idle;
  mState = mSent;
  mFailures = 0;
  mNextRead = aNow + mRules.mReadPeriod;
}

// The engine knows a higher version than this process, so its state is read next.
void
OrderKeeper::Refused(double aRandom, TimePoint aNow)
{
  assert(mPhase == Phase::Sending);
  mState.reset();
  BackOff(Millis(0), aRandom, aNow);
}

void
OrderKeeper::SendFailed(double aRandom, TimePoint aNow)
{
  assert(mPhase == Phase::Sending);
  BackOff(Millis(0), aRandom, aNow);
}

void
OrderKeeper::BackOff(Millis aAtLeast, double aRandom, TimePoint aNow)
{
  mPhase = Phase::Idle;
  mNextTry = aNow + BackoffDelay(mRules, mFailures, aAtLeast, aRandom);
  ++mFailures;
}

}
