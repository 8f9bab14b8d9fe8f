#pragma once

#include "sycamore/base/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace sycamore::accounts {

// Counts the events of the last window, in cells of a twentieth of it. An event leaves the count
// between one window and one cell more after it was added, so that the sum is never too low.
class SlidingCount
{
public:
  static constexpr size_t kCells = 20;

  // Counts aCount events at aNow, in a window of aWindow.
  void Add(uint32_t aCount, base::TimePoint aNow, base::Millis aWindow);

  // Takes back an event that was added at aAddedAt, if it still counts.
  void Remove(base::TimePoint aAddedAt, base::TimePoint aNow, base::Millis aWindow);

  // The events that count at aNow.
  uint32_t Sum(base::TimePoint aNow, base::Millis aWindow);

  // Time from aNow until at least aCount of the events that count now no longer do; the window if
  // there are fewer.
  base::Millis UntilGone(uint32_t aCount, base::TimePoint aNow, base::Millis aWindow);

private:
  // One more than the cells of a window: the oldest one counts until all of it has left.
  static constexpr size_t kRing = kCells + 1;

  static int64_t CellAt(base::TimePoint aTime, base::Millis aWindow);
  // Empties the cells that have left the window.
  void Advance(base::TimePoint aNow, base::Millis aWindow);

  std::array<uint32_t, kRing> mCounts{};
  int64_t mNewest = 0; // Number of the newest cell.
  uint32_t mSum = 0;
};

}
