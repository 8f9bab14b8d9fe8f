#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/testbed/cache_change.h"
#include "sycamore/testbed/cache_use.h"
#include "sycamore/testbed/prefix_link.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace sycamore::testbed {

// The memory of an engine: one prefix per program, of limited total size. Idle prefixes are evicted
// in the order of their last use; prefixes of running requests are pinned.
class PrefixCache
{
public:
  explicit PrefixCache(uint64_t aCapacityTokens);

  // Tokens of the longest common prefix of aChain and what is kept for aProgram.
  uint64_t Match(const std::string& aProgram, const PrefixChain& aChain) const;

  // Pins aTokens for a request of aProgram and evicts idle prefixes of other programs as needed.
  // Returns false, without any change, if the room does not suffice. aMatched is the result of
  // Match. Requires that aProgram is not pinned.
  bool Pin(const std::string& aProgram, uint64_t aMatched, uint64_t aTokens, base::TimePoint aNow);

  // Ends the pin and keeps aChain as the program's prefix.
  void Unpin(const std::string& aProgram, PrefixChain aChain, base::TimePoint aNow);

  // Drops the prefix of aProgram; returns its tokens. A pinned prefix is dropped when it is
  // unpinned, unless the program is pinned again before; returns 0 then.
  uint64_t Release(const std::string& aProgram, base::TimePoint aNow);

  // Ends the pin and drops the prefix; its use is added to that of the empty program.
  void Drop(const std::string& aProgram, base::TimePoint aNow);

  bool Pinned(const std::string& aProgram) const;
  uint64_t UsedTokens() const { return mUsed; }
  uint64_t CapacityTokens() const { return mCapacity; }

  // Programs with their tokens, pinned ones included.
  std::vector<std::pair<std::string, uint64_t>> Programs() const;

  // Changes since the last call.
  std::vector<CacheChange> TakeChanges();

  const std::map<std::string, CacheUse>& Uses() const { return mUses; }

  // Token-seconds that the idle prefix of aProgram has accumulated since its last use.
  double PendingTokenSeconds(const std::string& aProgram, base::TimePoint aNow) const;

  void ResetUses(base::TimePoint aNow);

private:
  struct Entry
  {
    PrefixChain mChain;
    uint64_t mTokens = 0;
    base::TimePoint mSince; // Of the pin, or of the last use.
    bool mPinned = false;
    bool mReleaseWhenUnpinned = false;
  };
  using Entries = std::map<std::string, Entry>;

  uint64_t EvictableTokens(const std::string& aExcept) const;
  void EvictOldest(const std::string& aExcept, base::TimePoint aNow);
  void Remove(Entries::iterator aEntry, base::TimePoint aNow);
  void AccountIdle(const std::string& aProgram,
                   const Entry& aEntry,
                   uint64_t aReused,
                   base::TimePoint aNow);

  uint64_t mCapacity;
  uint64_t mUsed = 0;
  Entries mEntries;
  std::map<std::string, CacheUse> mUses;
  std::vector<CacheChange> mChanges;
};

}
