#include "replica_limits.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <memory>
#include <random>

namespace sycamore::gateway {

using base::Millis;
using base::TimePoint;

// A fleet of gateways before one replica that names a limit. All have more calls than it takes;
// what one observes reaches the others after some milliseconds. Simulated time in steps of 1 ms; no
// network.
struct LimitedFleetFixture
{
  static constexpr Millis kSpreadDelay{ 100 };
  static constexpr base::Seconds kInterval{ 4 };

  struct SimulatedGateway
  {
    std::unique_ptr<SharedFacts> mFacts;
    std::unique_ptr<ReplicaLimits> mLimits;
    Member mOwn;
    TimePoint mFrozenUntil;
  };

  boost::asio::io_context mLoop;
  std::mt19937 mRandom{ 20261205 };
  std::vector<SimulatedGateway> mGateways;
  Replica mReplica{ "i-1", "s", {}, "d1", 16, false, 7 };
  TimePoint mNow = base::Clock::now();
  std::optional<double> mLimit = 5.0;
  std::deque<TimePoint> mRequests; // In the last kInterval.
  size_t mTotal = 0;
  size_t mMost = 0; // In any kInterval.
  std::vector<std::pair<TimePoint, std::function<void()>>> mLater;

  static std::string_view RegionOf(const std::string& aDomain) { return aDomain; }

  std::vector<Member> Members() const
  {
    std::vector<Member> members;
    for (const SimulatedGateway& gateway : mGateways) {
      members.push_back(gateway.mOwn);
    }
    return members;
  }

  void Start(SimulatedGateway& aGateway)
  {
    aGateway.mFacts = std::make_unique<SharedFacts>(mLoop.get_executor());
    aGateway.mLimits = std::make_unique<ReplicaLimits>(*aGateway.mFacts, aGateway.mOwn, RegionOf);
    aGateway.mFacts->OnNews([this](const Fact& aFact, SharedFacts::Origin aOrigin) {
      if (aOrigin == SharedFacts::Origin::Own) {
        mLater.emplace_back(mNow + kSpreadDelay, [this, aFact] {
          for (SimulatedGateway& other : mGateways) {
            other.mFacts->Add(aFact, SharedFacts::Origin::OtherGateway);
          }
        });
      }
    });
    aGateway.mLimits->SetMembers(Members());
  }

  void AddGateways(size_t aCount)
  {
    for (size_t i = 0; i < aCount; ++i) {
      mGateways.push_back({});
      mGateways.back().mOwn.mInstance = fmt::format("front-{}", mGateways.size());
      mGateways.back().mOwn.mDomain = "d1";
    }
  }

  void StartAll()
  {
    for (SimulatedGateway& gateway : mGateways) {
      Start(gateway);
    }
  }

  void ShareMembers()
  {
    for (SimulatedGateway& gateway : mGateways) {
      gateway.mLimits->SetMembers(Members());
    }
  }

  void SendFrom(SimulatedGateway& aGateway)
  {
    if (mNow < aGateway.mFrozenUntil) {
      return;
    }
    while (aGateway.mLimits->DelayOf(mReplica, mNow) == Millis(0)) {
      const bool limited = aGateway.mLimits->LimitOf(mReplica).has_value();
      aGateway.mLimits->Take(mReplica, mNow);
      aGateway.mLimits->NoteAnswer(mReplica, mLimit, base::Clock::now());
      ++mTotal;
      if (!limited) {
        return; // It has learned the limit with this answer, if there is one.
      }
      mRequests.push_back(mNow);
    }
  }

  void Run(Millis aTime)
  {
    for (const TimePoint end = mNow + aTime; mNow < end; mNow += Millis(1)) {
      for (size_t i = 0; i < mLater.size(); ++i) {
        if (mLater[i].first == mNow) {
          mLater[i].second();
        }
      }
      std::erase_if(mLater, [this](const auto& aEntry) { return aEntry.first <= mNow; });
      for (SimulatedGateway& gateway : mGateways) {
        SendFrom(gateway);
      }
      while (!mRequests.empty() && mRequests.front() <= mNow - kInterval) {
        mRequests.pop_front();
      }
      mMost = std::max(mMost, mRequests.size());
    }
  }

  // What the replica may get in kInterval: one and a half times its limit, and 5.
  size_t Allowed() const { return static_cast<size_t>(*mLimit * kInterval.count() * 1.5) + 5; }

  void CheckUse(Millis aTime)
  {
    const size_t before = mTotal;
    Run(aTime);
    const double perSecond = static_cast<double>(mTotal - before) * 1000 / aTime.count();
    BOOST_TEST(perSecond >= *mLimit * 0.8);
    BOOST_TEST(mMost <= Allowed());
  }
};

// Guards against gateways that each count only their own requests: the limit holds for the sum,
// with few gateways and with so many that each one's equal part would be a request in a minute; and
// it is used up, so that callers are not refused for lack of coordination.
BOOST_FIXTURE_TEST_CASE(ReplicaLimitsOfAnyFleetHoldInSumAndAreUsed, LimitedFleetFixture)
{
  for (const size_t count : { 2U, 7U, 127U, 330U }) {
    for (const double limit : { 0.7, 1.9, 5.1, 22.0 }) {
      BOOST_TEST_CONTEXT(count << " gateways, limit " << limit)
      {
        mGateways.clear();
        mRequests.clear();
        mLater.clear();
        mMost = 0;
        mLimit = limit;
        ++mReplica.mStartedUnixMs;
        AddGateways(count);
        StartAll();
        Run(base::Seconds(2));
        CheckUse(base::Seconds(10));
      }
    }
  }
}

// Guards against a sum above the limit while gateways freeze, wake up, restart and join, each time
// with members that not all have heard of.
BOOST_FIXTURE_TEST_CASE(ReplicaLimitsHoldWhileGatewaysFreezeRestartAndJoin, LimitedFleetFixture)
{
  AddGateways(12);
  StartAll();
  Run(base::Seconds(2));
  for (int step = 0; step < 12; ++step) {
    SimulatedGateway& chosen = mGateways[mRandom() % mGateways.size()];
    switch (step % 3) {
      case 0:
        chosen.mFrozenUntil = mNow + base::Seconds(3);
        break;
      case 1:
        Start(chosen); // Knows nothing of the limit.
        break;
      default:
        AddGateways(1);
        Start(mGateways.back()); // The others do not know it yet.
        break;
    }
    Run(base::Seconds(4));
    BOOST_TEST(mMost <= Allowed(), "step " << step << ": " << mMost);
    ShareMembers();
    Run(base::Seconds(1));
  }
}

// Guards against a limit that outlives the replica's need at the gateways that send it nothing, and
// against one that an answer of before the need takes back.
BOOST_FIXTURE_TEST_CASE(ReplicaLimitsEndWithAnAnswerToALaterCall, LimitedFleetFixture)
{
  AddGateways(40);
  StartAll();
  Run(base::Seconds(1));
  ReplicaLimits& limits = *mGateways.front().mLimits;
  limits.NoteAnswer(mReplica, std::nullopt, base::Clock::now() - base::Seconds(30));
  BOOST_TEST(limits.LimitOf(mReplica).has_value());
  mLimit.reset();
  Run(base::Seconds(2));
  for (SimulatedGateway& gateway : mGateways) {
    BOOST_TEST(!gateway.mLimits->LimitOf(mReplica).has_value());
  }
}

// Guards against the limit of an earlier incarnation, which a new one under the same id knows
// nothing of.
BOOST_FIXTURE_TEST_CASE(ReplicaLimitsOfAnEarlierIncarnationAreForgotten, LimitedFleetFixture)
{
  AddGateways(3);
  StartAll();
  Run(base::Seconds(1));
  ReplicaLimits& limits = *mGateways.front().mLimits;
  BOOST_TEST(limits.LimitOf(mReplica).has_value());
  ++mReplica.mStartedUnixMs;
  BOOST_TEST(!limits.LimitOf(mReplica).has_value());
  BOOST_TEST((limits.DelayOf(mReplica, mNow) == Millis(0)));
}

// Guards against a gateway that takes the whole limit for itself since it has not read the members
// yet.
BOOST_FIXTURE_TEST_CASE(ReplicaLimitsAllowNothingBeforeTheMembersAreKnown, LimitedFleetFixture)
{
  SharedFacts facts(mLoop.get_executor());
  ReplicaLimits limits(facts, { "front-1", {}, "d1", 0 }, RegionOf);
  BOOST_TEST((limits.DelayOf(mReplica, mNow) == Millis(0)));
  limits.NoteAnswer(mReplica, 5, mNow);
  BOOST_TEST(!limits.DelayOf(mReplica, mNow + base::Seconds(10)).has_value());
  limits.SetMembers({});
  BOOST_TEST(limits.DelayOf(mReplica, mNow + base::Seconds(10)).has_value());
}

}
