#include "sycamore/testbed/wait.h"

#include <thread>

namespace sycamore::testbed {

static constexpr base::Millis kInterval{ 20 };

bool
WaitUntil(base::Millis aLimit, const std::function<bool()>& aCondition)
{
  const base::TimePoint end = base::Clock::now() + aLimit;
  while (!aCondition()) {
    if (base::Clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kInterval);
  }
  return true;
}

}
