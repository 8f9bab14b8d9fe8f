#include "sycamore/base/timer_service.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <vector>

namespace sycamore::base {

// Upper bound of one wait without subscriptions; a change wakes the thread earlier.
static constexpr Seconds kIdleWait{ 60 };

TimerService::TimerService()
  : mThread([this] { Run(); })
{
}

TimerService::~TimerService()
{
  Stop();
}

TimerService::SubscriptionId
TimerService::Subscribe(Millis aPeriod, std::function<void()> aFunction)
{
  assert(aPeriod.count() > 0);
  const std::lock_guard<std::mutex> lock(mMutex);
  const SubscriptionId id = mNextId++;
  mSubscriptions.emplace(id, Subscription{ aPeriod, Clock::now() + aPeriod, std::move(aFunction) });
  mChanged.notify_one();
  return id;
}

void
TimerService::Unsubscribe(SubscriptionId aId)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mSubscriptions.erase(aId);
}

void
TimerService::Stop()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mStopping = true;
    mChanged.notify_one();
  }
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
TimerService::Run()
{
  std::unique_lock<std::mutex> lock(mMutex);
  while (!mStopping) {
    mChanged.wait_until(lock, NextDue(Clock::now()));
    if (!mStopping) {
      RunDue(lock);
    }
  }
}

TimePoint
TimerService::NextDue(TimePoint aNow) const
{
  TimePoint due = aNow + kIdleWait;
  for (const auto& [id, subscription] : mSubscriptions) {
    due = std::min(due, subscription.mNext);
  }
  return due;
}

void
TimerService::RunDue(std::unique_lock<std::mutex>& aLock)
{
  const TimePoint now = Clock::now();
  std::vector<std::function<void()>> due;
  for (auto& [id, subscription] : mSubscriptions) {
    if (subscription.mNext <= now) {
      subscription.mNext = now + subscription.mPeriod;
      due.push_back(subscription.mFunction);
    }
  }
  aLock.unlock();
  for (const auto& function : due) {
    function();
  }
  aLock.lock();
}

}
