#include "sycamore/ledger/offset_ages.h"

#include "sycamore/ledger/partition_state.h"

#include <algorithm>
#include <cassert>

namespace sycamore::ledger {

// Samples per horizon. Limits memory and the error of an age.
static constexpr int kSamples = 64;

OffsetAges::OffsetAges(base::Millis aHorizon)
  : mHorizon(aHorizon)
{
}

void
OffsetAges::Observe(uint64_t aNextOffset, base::TimePoint aNow)
{
  assert(mSamples.empty() || aNow >= mSamples.back().mTime);
  if (!mSamples.empty() && aNow - mSamples.back().mTime < mHorizon / kSamples) {
    return;
  }
  mSamples.push_back({ aNow, aNextOffset });
  // The newest sample older than the horizon is kept: it bounds the offsets older than the horizon.
  while (mSamples.size() > 1 && aNow - mSamples.at(1).mTime >= mHorizon) {
    mSamples.pop_front();
  }
}

uint64_t
OffsetAges::YoungFrom(base::Millis aAge, base::TimePoint aNow) const
{
  const auto young = std::find_if(mSamples.begin(), mSamples.end(), [&](const Sample& aSample) {
    return aNow - aSample.mTime < aAge;
  });
  return young != mSamples.end() ? young->mNextOffset : kNoOffset;
}

uint64_t
OffsetAges::OldBelow(base::Millis aAge, base::TimePoint aNow) const
{
  uint64_t below = 0;
  for (const Sample& sample : mSamples) {
    if (aNow - sample.mTime >= aAge) {
      below = sample.mNextOffset;
    }
  }
  return below;
}

}
