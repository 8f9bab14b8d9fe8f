#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/testbed/cache_change.h"

#include <boost/json.hpp>
#include <cstdint>
#include <deque>
#include <random>

namespace sycamore::testbed {

// Cache events as an engine reports them: late, and with some missing. Lost events consume a
// number, so that a reader can see the gap.
class CacheEventFeed
{
public:
  // aGap is the share of events that are lost.
  CacheEventFeed(base::Millis aDelay, double aGap, uint64_t aSeed);

  void Add(const CacheChange& aChange, base::TimePoint aNow);

  // The answer to GET /v1/cache/events?from=aFrom.
  boost::json::object Read(uint64_t aFrom, base::TimePoint aNow) const;

  void SetGap(double aGap) { mGap = aGap; }
  void SetDelay(base::Millis aDelay) { mDelay = aDelay; }

private:
  struct Item
  {
    uint64_t mNumber;
    base::TimePoint mVisible;
    CacheChange mChange;
    bool mLost;
  };

  base::Millis mDelay;
  double mGap;
  std::mt19937_64 mRandom;
  uint64_t mNext = 0;
  std::deque<Item> mItems;
};

}
