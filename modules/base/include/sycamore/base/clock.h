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

}
