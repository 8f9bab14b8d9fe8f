#pragma once

#include "sycamore/base/clock.h"

#include <cstdint>
#include <deque>

namespace sycamore::ledger {

// Bounds the age of a stream's records by their offsets. Records carry no timestamps, since the
// clocks of two instances are not comparable; instead each process samples the head of the stream
// over time.
class OffsetAges
{
public:
  // Samples are kept for aHorizon, the retention period of the log.
  explicit OffsetAges(base::Millis aHorizon);

  // Records that aNextOffset was the next offset of the stream at aNow. Call when the partition is
  // opened and then at least once per 64th of the horizon. Neither argument may decrease.
  void Observe(uint64_t aNextOffset, base::TimePoint aNow);

  // The lowest offset from which on every record is known to be younger than aAge. Records below it
  // are older or of unknown age, such as all those written before the partition was opened.
  // kNoOffset if no record is known to be younger.
  uint64_t YoungFrom(base::Millis aAge, base::TimePoint aNow) const;

  // The offset below which every record is known to be at least aAge old; 0 if none is.
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
