#pragma once

#include "sycamore/gateway/prompt_part.h"

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace sycamore::gateway {

// The prompt parts that a replica is assumed to keep, from the calls of this process alone. The
// least recently used parts leave when the tokens exceed the memory of the replica's engine, as
// they do there; calls of other processes make the replica forget sooner.
class PromptCache
{
public:
  // Records that the replica has read aParts. aCapacityTokens is the memory of its engine; 0 if
  // unknown.
  void Note(std::span<const PromptPart> aParts, uint64_t aCapacityTokens);

  // Tokens at the start of a prompt of aParts that need not be prefilled.
  uint64_t KeptTokens(std::span<const PromptPart> aParts) const;

private:
  struct Entry
  {
    uint64_t mTokens = 0;
    std::list<uint64_t>::iterator mPosition; // In mRecentlyUsed.
  };

  std::unordered_map<uint64_t, Entry> mEntries; // By id.
  std::list<uint64_t> mRecentlyUsed;            // Ids, the most recently used first.
  uint64_t mTokens = 0;                         // Of all entries.
};

// The tokens of aParts together.
uint64_t
TotalTokens(std::span<const PromptPart> aParts);

}
