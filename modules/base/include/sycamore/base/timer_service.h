#pragma once

#include "sycamore/base/clock.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace sycamore::base {

// Runs subscribed functions periodically on its own thread. Subscribers do no work there; they push
// a tick into the ring of the thread that owns the work.
class TimerService
{
public:
  using SubscriptionId = uint64_t;

  TimerService();
  ~TimerService();
  TimerService(const TimerService&) = delete;
  TimerService& operator=(const TimerService&) = delete;

  // Calls aFunction about every aPeriod, first after one period. aPeriod must be positive. A tick
  // that is late is not made up for.
  SubscriptionId Subscribe(Millis aPeriod, std::function<void()> aFunction);

  // Stops the calls of aId. A call in progress on the timer thread may still finish.
  void Unsubscribe(SubscriptionId aId);

  // Joins the timer thread. Idempotent.
  void Stop();

private:
  struct Subscription
  {
    Millis mPeriod;
    TimePoint mNext;
    std::function<void()> mFunction;
  };

  void Run();
  TimePoint NextDue(TimePoint aNow) const;
  void RunDue(std::unique_lock<std::mutex>& aLock);

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<SubscriptionId, Subscription> mSubscriptions;
  SubscriptionId mNextId = 1;
  bool mStopping = false;
  std::thread mThread;
};

}
