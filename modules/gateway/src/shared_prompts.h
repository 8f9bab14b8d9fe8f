#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/gateway/prompt_part.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace sycamore::gateway {

// The first parts of prompts, which many programs share, as seen by this process lately. Replicas
// keep them as far as their memory allows, whichever process sent them.
class SharedPrompts
{
public:
  // Records that a call starts with aPart.
  void Note(const PromptPart& aPart, base::TimePoint aNow);

  // The share of the replicas that are assumed to keep a shared part: all of them, unless the parts
  // together take more than half of aCapacityTokens, the memory of one engine.
  double KeptShare(uint64_t aCapacityTokens) const;

  size_t Size() const { return mParts.size(); }

private:
  struct Entry
  {
    uint64_t mTokens = 0;
    base::TimePoint mLastUsed;
  };

  void Expire(base::TimePoint aNow);

  std::unordered_map<uint64_t, Entry> mParts; // By id.
  uint64_t mTokens = 0;                       // Of all parts.
  base::TimePoint mNextExpiry;
};

}
