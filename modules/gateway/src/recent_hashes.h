#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_set>
#include <utility>

namespace sycamore::gateway {

// The hashes that were added last: at least aCount of them, twice as many at most.
class RecentHashes
{
public:
  explicit RecentHashes(size_t aCount)
    : mCount(aCount)
  {
  }

  void Add(uint64_t aHash)
  {
    if (mNewer.size() >= mCount) {
      mOlder = std::exchange(mNewer, {});
    }
    mNewer.insert(aHash);
  }

  bool Contains(uint64_t aHash) const { return mNewer.contains(aHash) || mOlder.contains(aHash); }

private:
  size_t mCount;
  std::unordered_set<uint64_t> mNewer;
  std::unordered_set<uint64_t> mOlder;
};

}
