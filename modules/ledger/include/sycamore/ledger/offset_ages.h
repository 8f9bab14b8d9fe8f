#pragma once

#include "sycamore/base/clock.h"

#include <cstdint>
#include <deque>

namespace sycamore::ledger {

// What one process knows of the age of a stream's records. The log carries no times, since clocks
// of two machines are not comparable; the process notes when it saw which head.
class OffsetAges
{
public:
  // Samples are kept for aHorizon, the retention period of the log.
  explicit OffsetAges(base::Millis aHorizon);

  // Notes that aNextOffset was the next offset of the stream at aNow. Call on opening the partition
  // and at least every 64th of the horizon. Neither argument may decrease.
  void Observe(uint64_t aNextOffset, base::TimePoint aNow);

  // The offset from which on every record is surely younger than aAge. Records below it are older
  // or of unknown age, such as all that were there when the partition was opened. kNoOffset if no
  // record is surely younger.
  uint64_t YoungFrom(base::Millis aAge, base::TimePoint aNow) const;

  // The offset below which every record is surely at least aAge old.
  uint64_t OldBelow(base::Millis aAge, base::TimePoint aNow) const;

private:
  struct Sample
  {
    base::TimePoint mTime;
    uint64_t mNextOffset = 0;
  };

  const base::Millis mHorizon;
  std::deque<Sample> mSamples; // By time.
};

}
