#include "shared_prompts.h"

#include <algorithm>

namespace sycamore::gateway {

// Parts that no call has started with for this long are forgotten.
static constexpr base::Seconds kRetention{ 30 };
static constexpr base::Seconds kExpiryInterval{ 5 };
// The rest of an engine's memory holds running calls and the histories of programs.
static constexpr double kSharedMemory = 0.5;

void
SharedPrompts::Note(const PromptPart& aPart, base::TimePoint aNow)
{
  Entry& entry = mParts[aPart.mId];
  const uint64_t tokens = std::max(entry.mTokens, aPart.mTokens);
  mTokens += tokens - entry.mTokens;
  entry = { tokens, aNow };
  if (aNow >= mNextExpiry) {
    Expire(aNow);
    mNextExpiry = aNow + kExpiryInterval;
  }
}

void
SharedPrompts::Expire(base::TimePoint aNow)
{
  std::erase_if(mParts, [&](const auto& aEntry) {
    const bool expired = aNow - aEntry.second.mLastUsed > kRetention;
    mTokens -= expired ? aEntry.second.mTokens : 0;
    return expired;
  });
}

double
SharedPrompts::KeptShare(uint64_t aCapacityTokens) const
{
  const double room = kSharedMemory * static_cast<double>(aCapacityTokens);
  const auto tokens = static_cast<double>(mTokens);
  return tokens <= room || tokens == 0 ? 1 : room / tokens;
}

}
