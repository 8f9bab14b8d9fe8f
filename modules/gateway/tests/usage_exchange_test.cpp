#include "usage_exchange.h"

#include "gateway_node.h"
#include "loop_fixture.h"

#include <algorithm>
#include <fmt/format.h>

namespace sycamore::gateway {

// Gateways of several failure domains that share the quota of an account over real connections,
// without a store.
struct UsageExchangeFixture : LoopFixture
{
  FakeLogStore mShared;
  std::vector<std::unique_ptr<GatewayNode>> mNodes;
  const accounts::Account mAccount{ "one", accounts::AccountId("one"), std::nullopt, { 4, 10 } };

  // Destroys the coroutines before the nodes that they refer to.
  ~UsageExchangeFixture() { mLoop.stop(); }

  // The first gateway of each failure domain has by far the strongest link, so that it is the hub.
  void AddDomains(size_t aDomains, size_t aGateways)
  {
    for (size_t i = 0; i < aDomains * aGateways; ++i) {
      const std::string domain = fmt::format("zone-{}", i / aGateways);
      const uint32_t link = i % aGateways == 0 ? 1000000 : 1;
      mNodes.push_back(
        std::make_unique<GatewayNode>(mLoop, mShared, fmt::format("g-{}", i), link, 1, domain));
      GatewayNode& node = *mNodes.back();
      BOOST_TEST(AddAccount(node.mAccounts, mAccount));
      Spawn(node.mExchange.Run());
      Spawn(node.mUsageExchange.Run());
    }
    std::vector<Member> members;
    for (const auto& node : mNodes) {
      members.push_back(node->mOwn);
    }
    for (const auto& node : mNodes) {
      node->mExchange.SetMembers(members);
      node->mUsageExchange.SetMembers(members);
    }
  }

  // The demand elsewhere that a gateway knows, told with a request of its own.
  static double Others(GatewayNode& aNode, const accounts::Account& aAccount)
  {
    const base::TimePoint now = base::Clock::now();
    const auto verdict = aNode.mUsage.Admit(aAccount, now);
    if (verdict.mAllowed) {
      aNode.mUsage.Return(aAccount.mId, now, now);
    }
    return verdict.mOthers;
  }

  void Request(GatewayNode& aNode, size_t aCount)
  {
    for (size_t i = 0; i < aCount; ++i) {
      aNode.mUsage.Admit(mAccount, base::Clock::now());
    }
  }

  // Runs until all gateways but aExcept know that the others have aDemand without their own.
  void RunUntilKnown(size_t aDemand, const std::vector<size_t>& aOwn, const GatewayNode* aExcept)
  {
    RunUntil([&] {
      for (size_t i = 0; i < mNodes.size(); ++i) {
        const double expected = static_cast<double>(aDemand - aOwn[i]);
        if (mNodes[i].get() != aExcept && Others(*mNodes[i], mAccount) < expected) {
          return false;
        }
      }
      return true;
    });
  }
};

// Guards against requests of a gateway that others never hear of: of its own failure domain and of
// others, at hubs and at those that have no request of the account themselves.
BOOST_FIXTURE_TEST_CASE(UsageExchangeDemandNearTheLimitReachesAllGateways, UsageExchangeFixture)
{
  AddDomains(3, 3);
  Request(*mNodes[1], 12);
  Request(*mNodes[3], 8); // A hub.
  Request(*mNodes[8], 9);
  RunUntilKnown(29, { 0, 12, 0, 8, 0, 0, 0, 0, 9 }, nullptr);
}

// Guards against demand that is lost with its hub, or waits for it: the hub does not answer any
// more and the next one takes its place.
BOOST_FIXTURE_TEST_CASE(UsageExchangeOfAFrozenHubGoesOnWithAnotherOne, UsageExchangeFixture)
{
  AddDomains(2, 3);
  Request(*mNodes[1], 15);
  Request(*mNodes[5], 15);
  RunUntilKnown(30, { 0, 15, 0, 0, 0, 15 }, nullptr);
  GatewayNode& hub = *mNodes[0];
  hub.mSilent = true;
  Request(*mNodes[2], 20);
  RunUntilKnown(50, { 0, 15, 20, 0, 0, 15 }, &hub);
}

// Guards against a gateway that ends over a report that it cannot read.
BOOST_FIXTURE_TEST_CASE(UsageExchangeMalformedReportIsRefused, UsageExchangeFixture)
{
  AddDomains(1, 2);
  wire::RelayRequestT request;
  request.operation = wire::RelayOperation::Usage;
  request.key = "g-9";
  request.fresh = true;
  BOOST_TEST(!mNodes[0]->mUsageExchange.Serve(request).failure.empty());
  request.records.push_back(std::make_unique<wire::RelayBytesT>());
  request.records.front()->bytes = { 1, 2, 3 };
  BOOST_TEST(!mNodes[0]->mUsageExchange.Serve(request).failure.empty());
}

// Guards against changes that are applied to reports which the receiver does not have.
BOOST_FIXTURE_TEST_CASE(UsageExchangeReportWithoutEarlierOnesIsIncomplete, UsageExchangeFixture)
{
  AddDomains(1, 2);
  wire::RelayRequestT request;
  request.operation = wire::RelayOperation::Usage;
  request.key = "g-9";
  request.epoch = 7;
  const std::string rows = accounts::EncodeUsage({ { mAccount.mId, { 5, 5 } } });
  request.records.push_back(std::make_unique<wire::RelayBytesT>());
  request.records.front()->bytes.assign(rows.begin(), rows.end());
  BOOST_TEST(!mNodes[0]->mUsageExchange.Serve(request).joined);
  request.fresh = true;
  BOOST_TEST(mNodes[0]->mUsageExchange.Serve(request).joined);
  request.fresh = false;
  BOOST_TEST(mNodes[0]->mUsageExchange.Serve(request).joined);
  request.epoch = 8; // Another process.
  BOOST_TEST(!mNodes[0]->mUsageExchange.Serve(request).joined);
}

}
