#include "fact_exchange.h"

#include "gateway_node.h"
#include "loop_fixture.h"

#include <algorithm>
#include <fmt/format.h>

namespace sycamore::gateway {

// Gateways of several failure domains that exchange facts over real connections, without a store.
struct FactExchangeFixture : LoopFixture
{
  FakeLogStore mShared;
  std::vector<std::unique_ptr<GatewayNode>> mNodes;
  int mFacts = 0;

  // Destroys the coroutines before the nodes that they refer to.
  ~FactExchangeFixture() { mLoop.stop(); }

  // The first gateway of each failure domain has by far the strongest link, so that it is the hub.
  void AddNode(const std::string& aInstance, const std::string& aDomain, uint32_t aLink)
  {
    mNodes.push_back(std::make_unique<GatewayNode>(mLoop, mShared, aInstance, aLink, 1, aDomain));
    GatewayNode& node = *mNodes.back();
    Spawn(node.mExchange.Run());
  }

  void AddDomains(size_t aDomains, size_t aGateways)
  {
    for (size_t domain = 0; domain < aDomains; ++domain) {
      for (size_t i = 0; i < aGateways; ++i) {
        AddNode(
          fmt::format("g-{}-{}", domain, i), fmt::format("zone-{}", domain), i == 0 ? 1000000 : 1);
      }
    }
    ShareMembers();
  }

  void ShareMembers()
  {
    std::vector<Member> members;
    for (const auto& node : mNodes) {
      members.push_back(node->mOwn);
    }
    for (const auto& node : mNodes) {
      node->mExchange.SetMembers(members);
    }
  }

  std::string Observe(GatewayNode& aNode)
  {
    const std::string replica = fmt::format("i-{}", ++mFacts);
    aNode.mFacts.Add({ ReplicaLimit{ replica, 1, 5.0 }, base::Clock::now() },
                     SharedFacts::Origin::Own);
    return "limit/" + replica;
  }

  bool AllKnow(const std::string& aKey, const GatewayNode* aExcept = nullptr)
  {
    return std::all_of(mNodes.begin(), mNodes.end(), [&](const auto& aNode) {
      return aNode.get() == aExcept || aNode->mFacts.Find(aKey) != nullptr;
    });
  }
};

// Guards against facts that stay in a failure domain, or with a gateway that is no hub.
BOOST_FIXTURE_TEST_CASE(FactExchangeFactsReachAllGateways, FactExchangeFixture)
{
  AddDomains(3, 5);
  for (const auto& node : mNodes) {
    const std::string key = Observe(*node);
    const base::TimePoint begin = base::Clock::now();
    RunUntil([&] { return AllKnow(key); });
    // Rules that rest on facts count from some seconds after the first of them.
    BOOST_TEST((base::Clock::now() - begin < base::Seconds(3)));
  }
}

// Guards against facts that are lost with their hub, or wait for it: it does not answer any more,
// as a frozen process, and the next one takes its place.
BOOST_FIXTURE_TEST_CASE(FactExchangeOfAFrozenHubGoesOnWithAnotherOne, FactExchangeFixture)
{
  AddDomains(2, 4);
  const std::string before = Observe(*mNodes[3]);
  RunUntil([&] { return AllKnow(before); });
  GatewayNode& hub = *mNodes[0];
  hub.mSilent = true;
  const std::string key = Observe(*mNodes[2]);
  const base::TimePoint begin = base::Clock::now();
  RunUntil([&] { return AllKnow(key, &hub); });
  BOOST_TEST((base::Clock::now() - begin < base::Seconds(4)));
}

// Guards against a restarted gateway that does not hear what was known before its start, and a
// restarted hub that the others do not tell it.
BOOST_FIXTURE_TEST_CASE(FactExchangeRestartedGatewaysHearWhatWasKnown, FactExchangeFixture)
{
  AddDomains(1, 4);
  const std::string key = Observe(*mNodes[1]);
  RunUntil([&] { return AllKnow(key); });
  // A hub that has the strongest link joins and knows nothing.
  AddNode("g-0-new", "zone-0", 1000000000);
  ShareMembers();
  RunUntil([&] { return AllKnow(key); });
  AddNode("g-0-last", "zone-0", 1);
  ShareMembers();
  RunUntil([&] { return AllKnow(key); });
}

// Guards against connections and calls that grow with the fleet: a gateway that is no hub has one
// hub to talk to, whatever the number of gateways.
BOOST_FIXTURE_TEST_CASE(FactExchangeGatewaysOfADomainHaveTheSameHub, FactExchangeFixture)
{
  AddDomains(4, 6);
  for (const auto& node : mNodes) {
    const std::string hub = node->mExchange.Hub();
    const bool isHub = node->mOwn.mInstance.ends_with("-0");
    BOOST_TEST(hub == (isHub ? "" : "g-" + node->mOwn.mDomain.substr(5) + "-0"));
  }
}

// Guards against endless messages between gateways that know the same: a fact that is told again is
// not news.
BOOST_FIXTURE_TEST_CASE(SharedFactsToldAgainAreNotNews, LoopFixture)
{
  SharedFacts facts(mLoop.get_executor());
  const base::TimePoint now = base::Clock::now();
  const Fact fact{ ReplicaLimit{ "i-1", 1, 5.0 }, now };
  BOOST_TEST(facts.Add(fact, SharedFacts::Origin::Own));
  BOOST_TEST(!facts.Add(fact, SharedFacts::Origin::OtherGateway));
  BOOST_TEST(!facts.Add({ fact.mWhat, now + base::Millis(1) }, SharedFacts::Origin::OtherGateway));
  // Older than what is known, or of an earlier incarnation.
  BOOST_TEST(!facts.Add({ ReplicaLimit{ "i-1", 1, 6.0 }, now - base::Millis(1) },
                        SharedFacts::Origin::OtherGateway));
  BOOST_TEST(!facts.Add({ ReplicaLimit{ "i-1", 0, 6.0 }, now + base::Seconds(1) },
                        SharedFacts::Origin::OtherGateway));
  BOOST_TEST(facts.Add({ ReplicaLimit{ "i-1", 1, std::nullopt }, now + base::Millis(1) },
                       SharedFacts::Origin::OtherGateway));
  BOOST_TEST(facts.Next() == 2U);
  facts.Expire(now + base::Seconds(3600));
  BOOST_TEST(facts.Size() == 0U);
}

// Guards against memory that grows without bound with the replicas of many days.
BOOST_FIXTURE_TEST_CASE(SharedFactsAreBounded, LoopFixture)
{
  SharedFacts facts(mLoop.get_executor());
  for (int i = 0; i < 20000; ++i) {
    facts.Add({ ReplicaLimit{ fmt::format("i-{}", i), 1, 5.0 }, base::Clock::now() },
              SharedFacts::Origin::OtherGateway);
  }
  BOOST_TEST(facts.Size() <= 8192U);
  BOOST_TEST(facts.Find("limit/i-19999") != nullptr);
  uint64_t next = 0;
  BOOST_TEST(facts.From(0, 100, false, next).size() == 100U);
}

}
