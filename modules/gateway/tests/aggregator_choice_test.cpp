#include "aggregator_choice.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

namespace sycamore::gateway {

// A failure domain of the large fleet: strong and weak gateways, and gateways of another domain.
struct AggregatorChoiceFixture
{
  static constexpr uint32_t kStrongLink = 600;
  static constexpr uint32_t kWeakLink = 30;
  static constexpr uint32_t kPartitions = 2000;

  std::vector<Member> mMembers;

  AggregatorChoiceFixture()
  {
    Add("strong-", 9, "a", kStrongLink);
    Add("weak-", 12, "a", kWeakLink);
    Add("other-", 20, "b", kStrongLink);
  }

  void Add(const std::string& aPrefix, int aCount, const std::string& aDomain, uint32_t aLink)
  {
    for (int i = 0; i < aCount; ++i) {
      mMembers.push_back({ aPrefix + std::to_string(i), { "10.0.0.1", 1 }, aDomain, aLink });
    }
  }

  std::string First(uint32_t aPartition) const
  {
    return RankAggregators(mMembers, "a", { StreamName::Programs, aPartition }, 3).at(0);
  }
};

// Guards against two gateways that collect the same partition of a failure domain, since they list
// the members in another order.
BOOST_FIXTURE_TEST_CASE(AggregatorChoiceIsTheSameForEveryOrderOfMembers, AggregatorChoiceFixture)
{
  const StreamId stream(StreamName::Programs, 2);
  const auto ranked = RankAggregators(mMembers, "a", stream, 3);
  BOOST_TEST_REQUIRE(ranked.size() == 3U);
  std::reverse(mMembers.begin(), mMembers.end());
  BOOST_TEST((RankAggregators(mMembers, "a", stream, 3) == ranked));
  BOOST_TEST((RankAggregators(mMembers, "c", stream, 3).empty()));
}

// Guards against a partition whose records go through a weak machine while strong ones are there,
// and against one machine that gets most partitions.
BOOST_FIXTURE_TEST_CASE(AggregatorChoiceFollowsTheBandwidth, AggregatorChoiceFixture)
{
  std::map<std::string, int> partitions;
  int weak = 0;
  for (uint32_t partition = 0; partition < kPartitions; ++partition) {
    const std::string first = First(partition);
    BOOST_TEST_REQUIRE(!first.starts_with("other-"));
    ++partitions[first];
    weak += first.starts_with("weak-") ? 1 : 0;
  }
  // 12 x 30 of 9 x 600 + 12 x 30 Mbit/s are 6.3%.
  BOOST_TEST(weak > kPartitions * 0.04);
  BOOST_TEST(weak < kPartitions * 0.09);
  for (int i = 0; i < 9; ++i) {
    const int share = partitions["strong-" + std::to_string(i)];
    BOOST_TEST(share > kPartitions * 0.07); // 10.4% are expected.
    BOOST_TEST(share < kPartitions * 0.14);
  }
}

// Guards against a loss of one machine that moves the partitions of others.
BOOST_FIXTURE_TEST_CASE(AggregatorChoiceLossOfAMemberMovesItsPartitionsOnly,
                        AggregatorChoiceFixture)
{
  std::map<uint32_t, std::string> before;
  for (uint32_t partition = 0; partition < kPartitions; ++partition) {
    before[partition] = First(partition);
  }
  const auto second = RankAggregators(mMembers, "a", { StreamName::Programs, 0 }, 2).at(1);
  const std::string lost = before[0];
  std::erase_if(mMembers, [&](const Member& aMember) { return aMember.mInstance == lost; });
  BOOST_TEST(First(0) == second);
  for (uint32_t partition = 0; partition < kPartitions; ++partition) {
    if (before[partition] != lost) {
      BOOST_TEST_REQUIRE(First(partition) == before[partition]);
    }
  }
}

// Guards against an aggregator of an older version, which does not serve such calls.
BOOST_FIXTURE_TEST_CASE(AggregatorChoiceMembersThatTellNoLinkAreNotChosen, AggregatorChoiceFixture)
{
  for (Member& member : mMembers) {
    member.mLinkMbits = member.mInstance == "weak-3" ? kWeakLink : 0;
  }
  for (uint32_t partition = 0; partition < 8; ++partition) {
    BOOST_TEST(First(partition) == "weak-3");
  }
}

}
