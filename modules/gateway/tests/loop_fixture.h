#pragma once

#include "sycamore/base/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

namespace sycamore::gateway {

// An event loop that a test drives.
struct LoopFixture
{
  boost::asio::io_context mLoop{ 1 };

  void Spawn(boost::asio::awaitable<void> aTask)
  {
    boost::asio::co_spawn(mLoop, std::move(aTask), boost::asio::detached);
  }

  // Runs the loop until aCondition holds; fails the test if it does not hold within 20 s.
  template<typename Condition>
  void RunUntil(Condition aCondition)
  {
    const base::TimePoint limit = base::Clock::now() + base::Seconds(20);
    while (!aCondition() && base::Clock::now() < limit) {
      mLoop.run_one_for(base::Millis(10));
      mLoop.restart();
    }
    BOOST_TEST_REQUIRE(aCondition());
  }
};

}
