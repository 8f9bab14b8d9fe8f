#include "aggregator_choice.h"

#include "sycamore/base/random.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sycamore::gateway {

// The rendezvous score of a member with aWeight, whose hash with the stream is aHash: the greatest
// score of a set belongs to each member with a probability proportional to its weight.
static double
Score(uint64_t aHash, uint32_t aWeight)
{
  constexpr double kTwoTo53 = 9007199254740992.0;
  const double uniform = (static_cast<double>(aHash >> 11U) + 0.5) / kTwoTo53; // Within (0, 1).
  return -static_cast<double>(aWeight) / std::log(uniform);
}

std::vector<std::string>
RankAggregators(const std::vector<Member>& aMembers,
                std::string_view aDomain,
                StreamId aStream,
                size_t aCount)
{
  const uint64_t stream =
    (uint64_t{ aStream.mPartition } << 8U) | static_cast<uint8_t>(aStream.mName);
  std::vector<std::pair<double, std::string>> scores;
  for (const Member& member : aMembers) {
    if (member.mDomain == aDomain && member.mLinkMbits > 0) {
      const uint64_t hash = base::MixHash(base::StableHash(member.mInstance), stream);
      scores.emplace_back(Score(hash, member.mLinkMbits), member.mInstance);
    }
  }
  std::sort(scores.rbegin(), scores.rend());
  std::vector<std::string> ranked;
  for (size_t i = 0; i < std::min(aCount, scores.size()); ++i) {
    ranked.push_back(std::move(scores[i].second));
  }
  return ranked;
}

}
