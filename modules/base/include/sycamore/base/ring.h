#pragma once

#include "sycamore/base/clock.h"

#include <boost/circular_buffer.hpp>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>

namespace sycamore::base {

// A bounded queue from any number of producer threads to one consumer thread. A full ring refuses;
// it never blocks a producer and never drops an accepted item.
template<typename T>
class Ring
{
public:
  // aCapacity is the number of items held at most. aWake, if set, runs on the producer's thread
  // after each accepted push; an event loop passes a function that posts its drain.
  explicit Ring(size_t aCapacity, std::function<void()> aWake = {})
    : mItems(aCapacity)
    , mWake(std::move(aWake))
  {
  }

  // Returns false if the ring is full or closed; aItem is then dropped.
  bool TryPush(T aItem)
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      if (mClosed || mItems.full()) {
        return false;
      }
      mItems.push_back(std::move(aItem));
    }
    mReady.notify_one();
    if (mWake) {
      mWake();
    }
    return true;
  }

  // Returns the oldest item, or nothing if the ring is empty.
  std::optional<T> TryPop()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return PopLocked();
  }

  // Waits at most aTimeout for an item. Returns nothing on time-out, or once closed and empty.
  std::optional<T> PopFor(Micros aTimeout)
  {
    std::unique_lock<std::mutex> lock(mMutex);
    mReady.wait_for(lock, aTimeout, [this] { return mClosed || !mItems.empty(); });
    return PopLocked();
  }

  // Refuses further pushes; items already accepted can still be popped.
  void Close()
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mClosed = true;
    }
    mReady.notify_all();
  }

  bool Closed() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mClosed;
  }

  size_t Size() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mItems.size();
  }

private:
  std::optional<T> PopLocked()
  {
    if (mItems.empty()) {
      return std::nullopt;
    }
    std::optional<T> item(std::move(mItems.front()));
    mItems.pop_front();
    return item;
  }

  mutable std::mutex mMutex;
  std::condition_variable mReady;
  boost::circular_buffer<T> mItems;
  std::function<void()> mWake;
  bool mClosed = false;
};

}
