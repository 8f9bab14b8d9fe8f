#include "sycamore/testbed/cache_event_feed.h"

namespace sycamore::testbed {

namespace json = boost::json;

// Events kept for readers; older ones are a gap.
static constexpr size_t kMaxEvents = 10000;

CacheEventFeed::CacheEventFeed(base::Millis aDelay, double aGap, uint64_t aSeed)
  : mDelay(aDelay)
  , mGap(aGap)
  , mRandom(aSeed)
{
}

void
CacheEventFeed::Add(const CacheChange& aChange, base::TimePoint aNow)
{
  const double draw = std::uniform_real_distribution<double>(0, 1)(mRandom);
  mItems.push_back(Item{ mNext, aNow + mDelay, aChange, draw < mGap });
  ++mNext;
  if (mItems.size() > kMaxEvents) {
    mItems.pop_front();
  }
}

static json::object
EventObject(uint64_t aNumber, const CacheChange& aChange)
{
  return json::object{ { "n", aNumber },
                       { "program", aChange.mProgram },
                       { "tokens", aChange.mTokens },
                       { "kind", aChange.mStored ? "stored" : "evicted" } };
}

json::object
CacheEventFeed::Read(uint64_t aFrom, base::TimePoint aNow) const
{
  json::array events;
  uint64_t next = mItems.empty() ? mNext : mItems.front().mNumber;
  for (const Item& item : mItems) {
    if (item.mVisible > aNow) {
      break;
    }
    next = item.mNumber + 1;
    if (item.mNumber >= aFrom && !item.mLost) {
      events.push_back(EventObject(item.mNumber, item.mChange));
    }
  }
  return json::object{ { "next", next }, { "events", std::move(events) } };
}

}
