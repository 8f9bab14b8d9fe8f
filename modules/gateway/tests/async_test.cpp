#include "async.h"

#include "loop_fixture.h"

#include <stdexcept>

namespace sycamore::gateway {

struct TaskGroupFixture : LoopFixture
{
  int mEnded = 0;
  bool mWaited = false;

  boost::asio::awaitable<void> Sleep(base::Millis aTime)
  {
    co_await SleepFor(aTime);
    ++mEnded;
  }

  boost::asio::awaitable<void> Throw()
  {
    co_await SleepFor(base::Millis(1));
    throw std::runtime_error("a task of a test fails");
  }

  boost::asio::awaitable<void> WaitFor(TaskGroup& aGroup)
  {
    co_await aGroup.Wait();
    mWaited = true;
  }
};

// Guards against a load or a prompt that goes on before all of its reads have ended, or that waits
// forever because one of them threw.
BOOST_FIXTURE_TEST_CASE(TaskGroupWithAFailedTaskWaitsForTheOthers, TaskGroupFixture)
{
  TaskGroup group(mLoop.get_executor());
  group.Spawn(Throw());
  group.Spawn(Sleep(base::Millis(20)));
  group.Spawn(Sleep(base::Millis(5)));
  Spawn(WaitFor(group));
  RunUntil([&] { return mWaited; });
  BOOST_TEST(mEnded == 2);
}

// Guards against a wait without tasks that never ends.
BOOST_FIXTURE_TEST_CASE(TaskGroupWithoutTasksDoesNotWait, TaskGroupFixture)
{
  TaskGroup group(mLoop.get_executor());
  Spawn(WaitFor(group));
  RunUntil([&] { return mWaited; });
}

}
