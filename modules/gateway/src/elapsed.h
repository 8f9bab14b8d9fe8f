#pragma once

#include "sycamore/base/clock.h"

namespace sycamore::gateway {

// Time from aTime until now, in whole milliseconds.
inline base::Millis
Since(base::TimePoint aTime)
{
  return std::chrono::duration_cast<base::Millis>(base::Clock::now() - aTime);
}

// Time from now until aTime, in whole milliseconds; negative once it has passed.
inline base::Millis
Until(base::TimePoint aTime)
{
  return std::chrono::duration_cast<base::Millis>(aTime - base::Clock::now());
}

}
