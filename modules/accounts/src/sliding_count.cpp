#include "sycamore/accounts/sliding_count.h"

#include <algorithm>

namespace sycamore::accounts {

using base::Millis;

int64_t
SlidingCount::CellAt(base::TimePoint aTime, Millis aWindow)
{
  const Millis cell = std::max(aWindow / static_cast<int>(kCells), Millis(1));
  return std::chrono::duration_cast<Millis>(aTime.time_since_epoch()) / cell;
}

void
SlidingCount::Advance(base::TimePoint aNow, Millis aWindow)
{
  const int64_t newest = CellAt(aNow, aWindow);
  const int64_t passed = std::clamp<int64_t>(newest - mNewest, 0, kRing);
  for (int64_t i = 0; i < passed; ++i) {
    uint32_t& oldest = mCounts[static_cast<size_t>(newest - i) % kRing];
    mSum -= oldest;
    oldest = 0;
  }
  mNewest = std::max(mNewest, newest);
}

void
SlidingCount::Add(uint32_t aCount, base::TimePoint aNow, Millis aWindow)
{
  Advance(aNow, aWindow);
  mCounts[static_cast<size_t>(mNewest) % kRing] += aCount;
  mSum += aCount;
}

void
SlidingCount::Remove(base::TimePoint aAddedAt, base::TimePoint aNow, Millis aWindow)
{
  Advance(aNow, aWindow);
  const int64_t cell = CellAt(aAddedAt, aWindow);
  uint32_t& count = mCounts[static_cast<size_t>(cell) % kRing];
  const bool counts = mNewest - cell < static_cast<int64_t>(kRing) && count > 0;
  if (counts) {
    --count;
    --mSum;
  }
}

uint32_t
SlidingCount::Sum(base::TimePoint aNow, Millis aWindow)
{
  Advance(aNow, aWindow);
  return mSum;
}

Millis
SlidingCount::UntilGone(uint32_t aCount, base::TimePoint aNow, Millis aWindow)
{
  Advance(aNow, aWindow);
  uint32_t gone = 0;
  for (size_t i = 0; i < kRing; ++i) {
    // The oldest cell follows the newest one in the ring.
    gone += mCounts[static_cast<size_t>(mNewest + 1 + static_cast<int64_t>(i)) % kRing];
    if (gone >= aCount) {
      return std::max(aWindow / static_cast<int>(kCells), Millis(1)) * static_cast<int>(i + 1);
    }
  }
  return aWindow;
}

}
