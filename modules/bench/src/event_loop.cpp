#include "event_loop.h"

#include <algorithm>
#include <utility>

namespace sycamore::bench {

void
EventLoop::Post(std::function<void()> aFunction)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mPosted.push_back(std::move(aFunction));
  }
  mReady.notify_one();
}

void
EventLoop::At(base::TimePoint aTime, std::function<void()> aFunction)
{
  mTimed.emplace(aTime, std::move(aFunction));
}

std::function<void()>
EventLoop::NextDue(base::TimePoint aNow)
{
  if (mTimed.empty() || mTimed.begin()->first > aNow) {
    return {};
  }
  auto function = std::move(mTimed.begin()->second);
  mTimed.erase(mTimed.begin());
  return function;
}

std::function<void()>
EventLoop::WaitForPosted(base::TimePoint aUntil)
{
  std::unique_lock<std::mutex> lock(mMutex);
  mReady.wait_until(lock, aUntil, [this] { return !mPosted.empty(); });
  if (mPosted.empty()) {
    return {};
  }
  auto function = std::move(mPosted.front());
  mPosted.pop_front();
  return function;
}

void
EventLoop::Run(base::TimePoint aEnd, const std::function<bool()>& aDone)
{
  while (!aDone() && base::Clock::now() < aEnd) {
    if (const auto due = NextDue(base::Clock::now())) {
      due();
    }
    const base::TimePoint next = mTimed.empty() ? aEnd : std::min(aEnd, mTimed.begin()->first);
    if (const auto posted = WaitForPosted(aDone() ? base::Clock::now() : next)) {
      posted();
    }
  }
}

}
