#pragma once

#include "sycamore/base/clock.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>

namespace sycamore::bench {

// Runs functions one at a time on the thread that calls Run. The queue is not bounded: its length
// follows from the number of open requests, which an open-loop load does not limit.
class EventLoop
{
public:
  // Runs aFunction soon. Thread-safe.
  void Post(std::function<void()> aFunction);

  // Runs aFunction at aTime. Only on the thread of Run, or before Run.
  void At(base::TimePoint aTime, std::function<void()> aFunction);

  // Runs until aDone returns true or aEnd has come.
  void Run(base::TimePoint aEnd, const std::function<bool()>& aDone);

private:
  std::function<void()> NextDue(base::TimePoint aNow);
  std::function<void()> WaitForPosted(base::TimePoint aUntil);

  std::multimap<base::TimePoint, std::function<void()>> mTimed;
  std::mutex mMutex;
  std::condition_variable mReady;
  std::deque<std::function<void()>> mPosted;
};

}
