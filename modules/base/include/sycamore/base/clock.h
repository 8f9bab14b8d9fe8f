#pragma once

#include <chrono>

namespace sycamore::base {

// The monotonic clock of one machine. Time points of it never leave the process; only durations are
// sent, since clocks of two machines are not comparable.
using Clock = std::chrono::steady_clock;

using TimePoint = Clock::time_point;
using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;
using Seconds = std::chrono::seconds;

// Time of day since 1970. Clocks of machines differ by some seconds, and the clock may be set.
inline Millis
TimeOfDay()
{
  return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch());
}

}
