#include "prompt_affinity.h"

#include "sycamore/base/random.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace sycamore::gateway {

// A call of a session: a part that many programs share, and the history of the session.
struct PromptAffinityFixture
{
  static constexpr size_t kReplicas = 8;
  static constexpr uint64_t kSharedTokens = 12000;
  static constexpr uint64_t kSessionTokens = 4000;

  std::vector<ReplicaView> mReplicas;
  std::vector<PromptPart> mPrompt{ { 1, kSharedTokens }, { 2, kSessionTokens } };

  PromptAffinityFixture()
  {
    for (size_t i = 0; i < kReplicas; ++i) {
      ReplicaView replica;
      replica.mSlots = 12;
      replica.mIdHash = base::StableHash("i-" + std::to_string(i));
      mReplicas.push_back(replica);
    }
  }

  size_t Chosen(const std::string& aSession, uint64_t aTieBreak)
  {
    std::vector<ReplicaView> replicas = mReplicas;
    AssumeKeptTokens({ mPrompt, aSession, 1 }, replicas);
    return ChooseReplica(replicas, TotalTokens(), aTieBreak)->mIndex;
  }

  static uint64_t TotalTokens() { return kSharedTokens + kSessionTokens; }
};

// Load pattern: the turns of one program come in through several gateways, none of which knows
// where the turn before ran. Guards against a history that is prefilled again at each turn.
BOOST_FIXTURE_TEST_CASE(PromptAffinitySessionStaysAtOneReplicaForAllGateways, PromptAffinityFixture)
{
  std::vector<size_t> homes;
  for (int session = 0; session < 40; ++session) {
    const std::string name = "s" + std::to_string(session);
    homes.push_back(Chosen(name, 0));
    for (uint64_t gateway = 1; gateway < 10; ++gateway) {
      BOOST_TEST(Chosen(name, gateway) == homes.back());
    }
  }
  std::sort(homes.begin(), homes.end());
  BOOST_TEST((std::unique(homes.begin(), homes.end()) - homes.begin()) >= 6); // Of 8 replicas.
}

// Guards against a session that is drawn away from the replica that this process knows to have run
// it.
BOOST_FIXTURE_TEST_CASE(PromptAffinityReplicaThatRanTheSessionIsPreferred, PromptAffinityFixture)
{
  for (size_t known = 0; known < kReplicas; ++known) {
    mReplicas[known].mKeptTokens = TotalTokens() - 500;
    BOOST_TEST(Chosen("s", 0) == known);
    mReplicas[known].mKeptTokens = 0;
  }
}

// Load pattern: new programs of one kind share a long first part. Guards against all of them going
// to the one replica that this process knows to keep it.
BOOST_FIXTURE_TEST_CASE(PromptAffinitySharedPartDoesNotHerdProgramsAtOneReplica,
                        PromptAffinityFixture)
{
  mReplicas[3].mKeptTokens = kSharedTokens;
  size_t atKnown = 0;
  for (int session = 0; session < 40; ++session) {
    atKnown += Chosen("s" + std::to_string(session), 0) == 3 ? 1 : 0;
  }
  BOOST_TEST(atKnown < 20U);
}

// Guards against the assumption that all replicas keep a part although only a share of them has the
// memory for it, and against gateways that assume different ones.
BOOST_FIXTURE_TEST_CASE(PromptAffinityAssumesOnlyTheShareThatKeepsThePart, PromptAffinityFixture)
{
  const auto keepers = [&](double aShare) {
    std::vector<ReplicaView> replicas = mReplicas;
    AssumeKeptTokens({ mPrompt, "", aShare }, replicas);
    return std::count_if(replicas.begin(), replicas.end(), [](const ReplicaView& aReplica) {
      return aReplica.mKeptTokens == kSharedTokens;
    });
  };
  BOOST_TEST(keepers(1) == static_cast<long>(kReplicas));
  BOOST_TEST(keepers(0) == 0);
  BOOST_TEST(keepers(0.5) > 0);
  BOOST_TEST(keepers(0.5) < static_cast<long>(kReplicas));
}

}
