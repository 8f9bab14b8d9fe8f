#pragma once

#include "sycamore/base/clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <memory>
#include <utility>

// GCC 12 destroys a braced temporary inside a full expression with co_await twice, and miscompiles
// loops without a body whose condition awaits. Coroutines therefore name such objects before they
// are passed on, and await in statements of their own.
namespace sycamore::gateway {

// Completion token: an awaitable that yields the error code with the value instead of throwing.
inline constexpr auto kAsTuple = boost::asio::as_tuple(boost::asio::use_awaitable);

// Completion handler of a detached coroutine: logs the exception that ended it.
struct LogFailure
{
  void operator()(const std::exception_ptr& aException) const;
};

// Suspends the coroutine for aDuration.
inline boost::asio::awaitable<void>
SleepFor(base::Millis aDuration)
{
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, aDuration);
  co_await timer.async_wait(kAsTuple);
}

// Condition variable for coroutines of one event loop.
class Signal
{
public:
  explicit Signal(const boost::asio::any_io_executor& aExecutor)
    : mTimer(aExecutor, base::TimePoint::max())
  {
  }

  boost::asio::any_io_executor Executor() { return mTimer.get_executor(); }

  // Wakes all current waiters; later waits wait for the next call.
  void NotifyAll() { mTimer.cancel(); }

  // Returns after NotifyAll or at aDeadline, whichever is first. May return early, when another
  // waiter's deadline passes; callers check their condition again.
  boost::asio::awaitable<void> WaitUntil(base::TimePoint aDeadline)
  {
    boost::asio::steady_timer limit(mTimer.get_executor(), aDeadline);
    limit.async_wait([this, alive = std::weak_ptr<bool>(mAlive)](auto aError) {
      if (!aError && !alive.expired()) {
        mTimer.cancel();
      }
    });
    co_await mTimer.async_wait(kAsTuple);
  }

private:
  boost::asio::steady_timer mTimer;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

// A group of concurrent coroutines that are awaited together. Objects that they refer to must live
// until Wait has returned, or until the event loop has ended.
class TaskGroup
{
public:
  explicit TaskGroup(const boost::asio::any_io_executor& aExecutor)
    : mState(std::make_shared<State>(aExecutor))
  {
  }

  // An exception ends a task as a return does; it is logged.
  void Spawn(boost::asio::awaitable<void> aTask)
  {
    ++mState->mRunning;
    boost::asio::co_spawn(mState->mChanged.Executor(),
                          std::move(aTask),
                          [state = mState](const std::exception_ptr& aException) {
                            LogFailure{}(aException);
                            --state->mRunning;
                            state->mChanged.NotifyAll();
                          });
  }

  // Returns when no task is left.
  boost::asio::awaitable<void> Wait()
  {
    while (mState->mRunning > 0) {
      co_await mState->mChanged.WaitUntil(base::TimePoint::max());
    }
  }

private:
  struct State
  {
    explicit State(const boost::asio::any_io_executor& aExecutor)
      : mChanged(aExecutor)
    {
    }

    size_t mRunning = 0;
    Signal mChanged;
  };

  std::shared_ptr<State> mState;
};

}
