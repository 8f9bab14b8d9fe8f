#include "sycamore/sidecar/order_reconciler.h"

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

OrderReconciler::OrderReconciler(const OrderRules& aRules)
  : mRules(aRules)
{
}

const std::optional<table::Order>&
OrderReconciler::Desired() const
{
  return mDesired;
}

uint64_t
OrderReconciler::HighestVersion() const
{
  return mHighest;
}

bool
OrderReconciler::InEffect() const
{
  // A version identifies one edit, so equal versions mean equal orders.
  return mState && mDesired && mState->mVersion == mDesired->mVersion;
}

void
OrderReconciler::SetDesired(const table::Order& aOrder)
{
  if (aOrder.mVersion < mHighest || (mDesired && aOrder == *mDesired)) {
    return;
  }
  mHighest = aOrder.mVersion;
  mDesired = aOrder;
  mFailures = 0;
  if (mPhase == Phase::Idle) {
    mNextTry = TimePoint();
  }
}

void
OrderReconciler::Invalidate()
{
  mNextRead = TimePoint();
}

OrderAction
OrderReconciler::Poll(TimePoint aNow)
{
  if (mPhase != Phase::Idle || aNow < mNextTry) {
    return OrderAction::None;
  }
  if (!mState || aNow >= mNextRead) {
    mPhase = Phase::Reading;
    return OrderAction::Read;
  }
  if (!mDesired || InEffect() || mDesired->mVersion < mHighest) {
    return OrderAction::None;
  }
  if (mSlotVersion != mDesired->mVersion) {
    mPhase = Phase::WaitingForSlot;
    mSent = mDesired;
    return OrderAction::RequestSlot;
  }
  mPhase = Phase::Sending;
  mSlotVersion = 0;
  mSent = mDesired;
  return OrderAction::Send;
}

void
OrderReconciler::StateRead(const table::Order& aState, TimePoint aNow)
{
  assert(mPhase == Phase::Reading);
  mPhase = Phase::Idle;
  mState = aState;
  mHighest = std::max(mHighest, aState.mVersion);
  mNextRead = aNow + mRules.mReadPeriod;
}

void
OrderReconciler::ReadFailed(double aRandom, TimePoint aNow)
{
  assert(mPhase == Phase::Reading);
  BackOff(Millis(0), aRandom, aNow);
}

void
OrderReconciler::SlotAnswered(bool aGranted, Millis aRetryAfter, double aRandom, TimePoint aNow)
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
OrderReconciler::Applied(TimePoint aNow)
{
  assert(mPhase == Phase::Sending);
  mPhase = Phase::Idle;
  mState = mSent;
  mFailures = 0;
  mNextRead = aNow + mRules.mReadPeriod;
}

// The engine has a higher version than this process, so its state is read next.
void
OrderReconciler::Refused(double aRandom, TimePoint aNow)
{
  assert(mPhase == Phase::Sending);
  mState.reset();
  BackOff(Millis(0), aRandom, aNow);
}

void
OrderReconciler::SendFailed(double aRandom, TimePoint aNow)
{
  assert(mPhase == Phase::Sending);
  BackOff(Millis(0), aRandom, aNow);
}

void
OrderReconciler::BackOff(Millis aAtLeast, double aRandom, TimePoint aNow)
{
  mPhase = Phase::Idle;
  mNextTry = aNow + BackoffDelay(mRules, mFailures, aAtLeast, aRandom);
  ++mFailures;
}

}
