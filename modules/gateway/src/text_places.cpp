#include "text_places.h"

#include <algorithm>
#include <iterator>

namespace sycamore::gateway {

// Places kept, about 100 bytes each.
static constexpr size_t kMaxPlaces = 20000;

void
TextPlaces::Add(uint32_t aPartition, const std::string& aAttempt, uint64_t aOffset)
{
  if (mPlaces.size() >= kMaxPlaces) {
    mPlaces.clear();
    mSearched.clear();
  }
  mPlaces.insert_or_assign(aAttempt, Place{ aPartition, aOffset });
}

void
TextPlaces::AddSearched(uint32_t aPartition, uint64_t aFrom, uint64_t aTo)
{
  auto& ranges = mSearched[aPartition];
  // The first range that may touch the new one.
  auto range = ranges.upper_bound(aFrom);
  if (range != ranges.begin() && std::prev(range)->second >= aFrom) {
    --range;
  }
  while (range != ranges.end() && range->first <= aTo) {
    aFrom = std::min(aFrom, range->first);
    aTo = std::max(aTo, range->second);
    range = ranges.erase(range);
  }
  ranges.emplace(aFrom, aTo);
}

std::optional<uint64_t>
TextPlaces::Find(uint32_t aPartition, const std::string& aAttempt) const
{
  const auto place = mPlaces.find(aAttempt);
  const bool known = place != mPlaces.end() && place->second.mPartition == aPartition;
  return known ? std::optional<uint64_t>(place->second.mOffset) : std::nullopt;
}

uint64_t
TextPlaces::NextUnsearched(uint32_t aPartition, uint64_t aFrom) const
{
  const auto ranges = mSearched.find(aPartition);
  if (ranges == mSearched.end()) {
    return aFrom;
  }
  const auto after = ranges->second.upper_bound(aFrom);
  return after == ranges->second.begin() ? aFrom : std::max(aFrom, std::prev(after)->second);
}

}
