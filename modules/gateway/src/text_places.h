#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace sycamore::gateway {

// Where searches have met texts in the texts' stream, so that each part of the stream is searched
// once: a later search, or the next try of one that ran out of time, goes on where others ended.
// Forgets everything when it is full. Lives on one event loop.
class TextPlaces
{
public:
  // Records that the text of aAttempt is at aOffset of aPartition.
  void Add(uint32_t aPartition, const std::string& aAttempt, uint64_t aOffset);

  // Records that all texts from aFrom up to aTo, exclusive, were added.
  void AddSearched(uint32_t aPartition, uint64_t aFrom, uint64_t aTo);

  std::optional<uint64_t> Find(uint32_t aPartition, const std::string& aAttempt) const;

  // The first offset from aFrom on that was not searched.
  uint64_t NextUnsearched(uint32_t aPartition, uint64_t aFrom) const;

private:
  struct Place
  {
    uint32_t mPartition = 0;
    uint64_t mOffset = 0;
  };

  std::unordered_map<std::string, Place> mPlaces; // By attempt.
  // By partition: the ends of searched ranges, which do not overlap, by their begins.
  std::map<uint32_t, std::map<uint64_t, uint64_t>> mSearched;
};

}
