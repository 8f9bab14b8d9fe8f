#include "prompt_cache.h"

#include <algorithm>

namespace sycamore::gateway {

// Capacity of an engine that does not tell its memory.
static constexpr uint64_t kDefaultCapacityTokens = 100000;
// Bounds the memory of this process when parts are small.
static constexpr size_t kMaxEntries = 512;

void
PromptCache::Note(std::span<const PromptPart> aParts, uint64_t aCapacityTokens)
{
  // In reverse, so that the first parts, which other prompts share, stay longest.
  for (auto part = aParts.rbegin(); part != aParts.rend(); ++part) {
    const auto [entry, added] = mEntries.try_emplace(part->mId);
    if (added) {
      mRecentlyUsed.push_front(part->mId);
      entry->second.mPosition = mRecentlyUsed.begin();
    } else {
      mRecentlyUsed.splice(mRecentlyUsed.begin(), mRecentlyUsed, entry->second.mPosition);
    }
    const uint64_t tokens = std::max(entry->second.mTokens, part->mTokens);
    mTokens += tokens - entry->second.mTokens;
    entry->second.mTokens = tokens;
  }
  const uint64_t capacity = aCapacityTokens > 0 ? aCapacityTokens : kDefaultCapacityTokens;
  while (!mEntries.empty() && (mTokens > capacity || mEntries.size() > kMaxEntries)) {
    const auto oldest = mEntries.find(mRecentlyUsed.back());
    mTokens -= oldest->second.mTokens;
    mEntries.erase(oldest);
    mRecentlyUsed.pop_back();
  }
}

uint64_t
PromptCache::KeptTokens(std::span<const PromptPart> aParts) const
{
  uint64_t kept = 0;
  for (const PromptPart& part : aParts) {
    const auto entry = mEntries.find(part.mId);
    const uint64_t tokens = entry == mEntries.end() ? 0 : entry->second.mTokens;
    kept += std::min(tokens, part.mTokens);
    if (tokens < part.mTokens) {
      break;
    }
  }
  return kept;
}

uint64_t
TotalTokens(std::span<const PromptPart> aParts)
{
  uint64_t tokens = 0;
  for (const PromptPart& part : aParts) {
    tokens += part.mTokens;
  }
  return tokens;
}

}
