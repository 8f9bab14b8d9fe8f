#include "sycamore/testbed/prefix_cache.h"

#include "sycamore/testbed/tokens.h"

#include <algorithm>
#include <cassert>
#include <chrono>

namespace sycamore::testbed {

static double
TokenSeconds(uint64_t aTokens, base::TimePoint aFrom, base::TimePoint aTo)
{
  const std::chrono::duration<double> duration = aTo - aFrom;
  return static_cast<double>(aTokens) * duration.count();
}

PrefixCache::PrefixCache(uint64_t aCapacityTokens)
  : mCapacity(aCapacityTokens)
{
}

uint64_t
PrefixCache::Match(const std::string& aProgram, const PrefixChain& aChain) const
{
  const auto entry = mEntries.find(aProgram);
  if (entry == mEntries.end()) {
    return 0;
  }
  const PrefixChain& kept = entry->second.mChain;
  const auto difference = std::mismatch(kept.begin(), kept.end(), aChain.begin(), aChain.end());
  if (difference.first == kept.begin()) {
    return 0;
  }
  return TokensInBytes(std::prev(difference.first)->mBytes);
}

bool
PrefixCache::Pin(const std::string& aProgram,
                 uint64_t aMatched,
                 uint64_t aTokens,
                 base::TimePoint aNow)
{
  assert(!Pinned(aProgram));
  const auto own = mEntries.find(aProgram);
  const uint64_t ownTokens = own == mEntries.end() ? 0 : own->second.mTokens;
  if (mUsed - ownTokens - EvictableTokens(aProgram) + aTokens > mCapacity) {
    return false;
  }
  while (mUsed - ownTokens + aTokens > mCapacity) {
    EvictOldest(aProgram, aNow);
  }
  Entry& entry = mEntries[aProgram];
  AccountIdle(aProgram, entry, aMatched, aNow);
  mUsed += aTokens - ownTokens;
  entry.mTokens = aTokens;
  entry.mSince = aNow;
  entry.mPinned = true;
  entry.mReleaseWhenUnpinned = false;
  return true;
}

void
PrefixCache::Unpin(const std::string& aProgram, PrefixChain aChain, base::TimePoint aNow)
{
  Entry& entry = mEntries.at(aProgram);
  assert(entry.mPinned);
  mUses[aProgram].mRunningTokenSeconds += TokenSeconds(entry.mTokens, entry.mSince, aNow);
  const uint64_t tokens = aChain.empty() ? 0 : TokensInBytes(aChain.back().mBytes);
  mUsed += tokens - entry.mTokens;
  entry.mChain = std::move(aChain);
  entry.mTokens = tokens;
  entry.mSince = aNow;
  entry.mPinned = false;
  if (entry.mReleaseWhenUnpinned || tokens == 0) {
    Release(aProgram, aNow);
    return;
  }
  mChanges.push_back(CacheChange{ aProgram, tokens, true });
}

uint64_t
PrefixCache::Release(const std::string& aProgram, base::TimePoint aNow)
{
  const auto entry = mEntries.find(aProgram);
  if (entry == mEntries.end()) {
    return 0;
  }
  if (entry->second.mPinned) {
    entry->second.mReleaseWhenUnpinned = true;
    return 0;
  }
  const uint64_t tokens = entry->second.mTokens;
  mUses[aProgram].mReleasedTokens += tokens;
  Remove(entry, aNow);
  return tokens;
}

void
PrefixCache::Drop(const std::string& aProgram, base::TimePoint aNow)
{
  Unpin(aProgram, {}, aNow);
  const auto use = mUses.find(aProgram);
  mUses[""].mRunningTokenSeconds += use->second.mRunningTokenSeconds;
  mUses.erase(use);
}

bool
PrefixCache::Pinned(const std::string& aProgram) const
{
  const auto entry = mEntries.find(aProgram);
  return entry != mEntries.end() && entry->second.mPinned;
}

std::vector<std::pair<std::string, uint64_t>>
PrefixCache::Programs() const
{
  std::vector<std::pair<std::string, uint64_t>> programs;
  for (const auto& [program, entry] : mEntries) {
    programs.emplace_back(program, entry.mTokens);
  }
  return programs;
}

std::vector<CacheChange>
PrefixCache::TakeChanges()
{
  return std::exchange(mChanges, {});
}

double
PrefixCache::PendingTokenSeconds(const std::string& aProgram, base::TimePoint aNow) const
{
  const auto entry = mEntries.find(aProgram);
  if (entry == mEntries.end() || entry->second.mPinned) {
    return 0;
  }
  return TokenSeconds(entry->second.mTokens, entry->second.mSince, aNow);
}

void
PrefixCache::ResetUses(base::TimePoint aNow)
{
  mUses.clear();
  for (auto& [program, entry] : mEntries) {
    entry.mSince = aNow;
  }
}

uint64_t
PrefixCache::EvictableTokens(const std::string& aExcept) const
{
  uint64_t tokens = 0;
  for (const auto& [program, entry] : mEntries) {
    if (!entry.mPinned && program != aExcept) {
      tokens += entry.mTokens;
    }
  }
  return tokens;
}

void
PrefixCache::EvictOldest(const std::string& aExcept, base::TimePoint aNow)
{
  auto oldest = mEntries.end();
  for (auto entry = mEntries.begin(); entry != mEntries.end(); ++entry) {
    const bool evictable = !entry->second.mPinned && entry->first != aExcept;
    if (evictable && (oldest == mEntries.end() || entry->second.mSince < oldest->second.mSince)) {
      oldest = entry;
    }
  }
  assert(oldest != mEntries.end());
  mUses[oldest->first].mEvictedTokens += oldest->second.mTokens;
  Remove(oldest, aNow);
}

void
PrefixCache::Remove(Entries::iterator aEntry, base::TimePoint aNow)
{
  AccountIdle(aEntry->first, aEntry->second, 0, aNow);
  mUsed -= aEntry->second.mTokens;
  if (aEntry->second.mTokens > 0) {
    mChanges.push_back(CacheChange{ aEntry->first, aEntry->second.mTokens, false });
  }
  mEntries.erase(aEntry);
}

void
PrefixCache::AccountIdle(const std::string& aProgram,
                         const Entry& aEntry,
                         uint64_t aReused,
                         base::TimePoint aNow)
{
  if (aEntry.mTokens == 0) {
    return;
  }
  CacheUse& use = mUses[aProgram];
  const uint64_t unused = aEntry.mTokens - std::min(aEntry.mTokens, aReused);
  use.mIdleTokenSeconds += TokenSeconds(aEntry.mTokens, aEntry.mSince, aNow);
  use.mWastedTokenSeconds += TokenSeconds(unused, aEntry.mSince, aNow);
}

}
