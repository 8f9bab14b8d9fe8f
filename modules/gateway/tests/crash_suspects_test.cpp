#include "crash_suspects.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace sycamore::gateway {

struct CrashSuspectsFixture
{
  static constexpr RequestHash kCulprit{ 1077, 77 };

  boost::asio::io_context mLoop;
  SharedFacts mFacts{ mLoop.get_executor() };
  CrashSuspects mSuspects{ mFacts };
  int mStarts = 0;

  // A new incarnation of a replica.
  Replica Started()
  {
    return { fmt::format("i-{}", ++mStarts % 9), "s", {}, "d", 16, false, mStarts };
  }
};

// Guards against one request that ends server after server: three replicas that begin to run it are
// enough to know it.
BOOST_FIXTURE_TEST_CASE(CrashSuspectsCulpritIsBarredAfterThreeCrashes, CrashSuspectsFixture)
{
  for (int crash = 0; crash < 3; ++crash) {
    BOOST_TEST(!mSuspects.IsBarred(kCulprit));
    mSuspects.NoteCrash(kCulprit, Started(), true);
  }
  BOOST_TEST(mSuspects.IsBarred(kCulprit));
  BOOST_TEST(mSuspects.BarredCount() == 2U); // The request and its path.
}

// Guards against one crash that counts as several, when many gateways or attempts saw it.
BOOST_FIXTURE_TEST_CASE(CrashSuspectsOneCrashCountsOnce, CrashSuspectsFixture)
{
  const Replica replica = Started();
  for (int i = 0; i < 10; ++i) {
    mSuspects.NoteCrash(kCulprit, replica, i % 2 == 0);
  }
  BOOST_TEST(!mSuspects.IsBarred(kCulprit));
  BOOST_TEST(mFacts.Next() == 2U); // For the request and for its path.
}

// Guards against a request that ends a fourth replica because it comes again before the probe of
// the third one has ended, and against one that waits for probes that cannot bar it.
BOOST_FIXTURE_TEST_CASE(CrashSuspectsRequestAwaitsProbesThatMayBarIt, CrashSuspectsFixture)
{
  mSuspects.NoteCrash(kCulprit, Started(), true);
  mSuspects.NoteProbeStarted(kCulprit, true);
  BOOST_TEST(!mSuspects.AwaitsVerdict(kCulprit)); // One more replica may end.
  mSuspects.NoteProbeStarted(kCulprit, true);
  BOOST_TEST(mSuspects.AwaitsVerdict(kCulprit));
  mSuspects.NoteProbeEnded(kCulprit, true); // The replica was still there.
  BOOST_TEST(!mSuspects.AwaitsVerdict(kCulprit));
  mSuspects.NoteProbeStarted(kCulprit, false);
  BOOST_TEST(!mSuspects.AwaitsVerdict(kCulprit)); // Accepted only: five are needed.
  mSuspects.NoteProbeStarted(kCulprit, false);
  mSuspects.NoteProbeStarted(kCulprit, false);
  BOOST_TEST(mSuspects.AwaitsVerdict(kCulprit));
  mSuspects.NoteCompleted(kCulprit);
  BOOST_TEST(!mSuspects.AwaitsVerdict(kCulprit));
}

// Guards against a request that is barred although it has run: it was beside the culprit each time.
BOOST_FIXTURE_TEST_CASE(CrashSuspectsRequestThatCompletedIsCleared, CrashSuspectsFixture)
{
  for (int crash = 0; crash < 2; ++crash) {
    mSuspects.NoteCrash(kCulprit, Started(), true);
  }
  mSuspects.NoteCompleted(kCulprit);
  for (int crash = 0; crash < 10; ++crash) {
    mSuspects.NoteCrash(kCulprit, Started(), true);
  }
  BOOST_TEST(!mSuspects.IsBarred(kCulprit));
}

// Guards against a culprit whose body varies, as that of the first turn of a program from that of
// later ones: each body would end three replicas.
BOOST_FIXTURE_TEST_CASE(CrashSuspectsBodiesOfOnePathCountTogether, CrashSuspectsFixture)
{
  for (uint64_t body = 0; body < 3; ++body) {
    mSuspects.NoteCrash({ 5, body }, Started(), true);
  }
  BOOST_TEST(mSuspects.IsBarred({ 5, 99 }));
}

// Guards against barring a path that many requests have when three replicas end for reasons of
// their own: it is known to complete, here or at another gateway.
BOOST_FIXTURE_TEST_CASE(CrashSuspectsPathOfRequestsThatCompleteIsNotBarred, CrashSuspectsFixture)
{
  SharedFacts otherFacts(mLoop.get_executor());
  CrashSuspects other(otherFacts);
  otherFacts.OnNews([this](const Fact& aFact, SharedFacts::Origin /*aOrigin*/) {
    mFacts.Add(aFact, SharedFacts::Origin::OtherGateway);
  });
  mFacts.OnNews([&](const Fact& aFact, SharedFacts::Origin aOrigin) {
    if (aOrigin == SharedFacts::Origin::Own) {
      otherFacts.Add(aFact, SharedFacts::Origin::OtherGateway);
    }
  });
  other.NoteCompleted({ 5, 1 });
  for (uint64_t body = 10; body < 20; ++body) {
    mSuspects.NoteCrash({ 5, body }, Started(), true);
    other.NoteCrash({ 5, body + 10 }, Started(), true);
  }
  BOOST_TEST(!mSuspects.IsBarred({ 5, 99 }));
  BOOST_TEST(!other.IsBarred({ 5, 99 }));
}

// Guards against memory and messages for each call that a replica runs to its end: only suspects
// are cleared.
BOOST_FIXTURE_TEST_CASE(CrashSuspectsOtherRequestsLeaveNoFact, CrashSuspectsFixture)
{
  for (uint64_t request = 0; request < 1000; ++request) {
    mSuspects.NoteCompleted({ 1, request });
  }
  BOOST_TEST(mFacts.Next() == 0U);
}

// Guards against requests that only waited at replicas which crashed, and are barred as fast as the
// culprit.
BOOST_FIXTURE_TEST_CASE(CrashSuspectsRequestThatOnlyWaitedIsBarredLater, CrashSuspectsFixture)
{
  for (int crash = 0; crash < 4; ++crash) {
    mSuspects.NoteCrash(kCulprit, Started(), false);
  }
  BOOST_TEST(!mSuspects.IsBarred(kCulprit));
  mSuspects.NoteCrash(kCulprit, Started(), false);
  BOOST_TEST(mSuspects.IsBarred(kCulprit));
}

// Guards against a bar that never ends, and against memory that is not given back.
BOOST_FIXTURE_TEST_CASE(CrashSuspectsAreForgottenAfterSomeTime, CrashSuspectsFixture)
{
  for (int crash = 0; crash < 3; ++crash) {
    mSuspects.NoteCrash(kCulprit, Started(), true);
  }
  const base::TimePoint later = base::Clock::now() + base::Seconds(3600);
  mFacts.Expire(later);
  mSuspects.Expire(later);
  BOOST_TEST(!mSuspects.IsBarred(kCulprit));
  BOOST_TEST(mFacts.Size() == 0U);
}

// A fleet before replicas that crash: some requests crash each replica that begins to run them, and
// replicas also end for reasons of their own. What one gateway observes reaches the others a step
// later. Callers send a failed request again, at any gateway.
struct CrashingFleetFixture
{
  static constexpr size_t kReplicas = 40;
  static constexpr uint64_t kOfPaths = 1000000; // Added to a request's hash for that of its path.
  static constexpr int kBesides = 6; // Requests that run or wait beside one that crashes.

  struct SimulatedGateway
  {
    std::unique_ptr<SharedFacts> mFacts;
    std::unique_ptr<CrashSuspects> mSuspects;
  };

  boost::asio::io_context mLoop;
  std::mt19937 mRandom{ 20261205 };
  std::vector<SimulatedGateway> mGateways;
  std::vector<Fact> mUnderWay;
  std::vector<int64_t> mIncarnations = std::vector<int64_t>(kReplicas, 1);
  uint64_t mNextRequest = 1000;
  size_t mBarredInnocents = 0;
  size_t mInnocents = 0;

  explicit CrashingFleetFixture(size_t aGateways = 330)
  {
    mGateways.resize(aGateways);
    for (SimulatedGateway& gateway : mGateways) {
      Start(gateway);
    }
  }

  void Start(SimulatedGateway& aGateway)
  {
    auto facts = std::make_unique<SharedFacts>(mLoop.get_executor());
    aGateway.mSuspects = std::make_unique<CrashSuspects>(*facts);
    facts->OnNews([this](const Fact& aFact, SharedFacts::Origin aOrigin) {
      if (aOrigin == SharedFacts::Origin::Own) {
        mUnderWay.push_back(aFact);
      }
    });
    aGateway.mFacts = std::move(facts);
  }

  // A gateway that starts reads the facts of its hub.
  void Restart(SimulatedGateway& aGateway)
  {
    const SimulatedGateway& hub = &aGateway == &mGateways[0] ? mGateways[1] : mGateways[0];
    uint64_t next = 0;
    const std::vector<Fact> known = hub.mFacts->From(0, 10000, false, next);
    Start(aGateway);
    for (const Fact& fact : known) {
      aGateway.mFacts->Add(fact, SharedFacts::Origin::OtherGateway);
    }
  }

  SimulatedGateway& AnyGateway() { return mGateways[mRandom() % mGateways.size()]; }

  void Spread()
  {
    for (const Fact& fact : std::exchange(mUnderWay, {})) {
      for (SimulatedGateway& gateway : mGateways) {
        gateway.mFacts->Add(fact, SharedFacts::Origin::OtherGateway);
      }
    }
  }

  // Ends a replica, with all of aRequests there; one in ten of them had begun and was not answered
  // yet, beside aCulprit.
  void Crash(const std::vector<RequestHash>& aRequests, std::optional<RequestHash> aCulprit = {})
  {
    const size_t index = mRandom() % kReplicas;
    const Replica replica{ fmt::format("i-{}", index), "s", {}, "d", 16, false,
                           mIncarnations[index]++ };
    for (const RequestHash& request : aRequests) {
      AnyGateway().mSuspects->NoteCrash(request, replica, mRandom() % 10 == 0);
    }
    if (aCulprit) {
      AnyGateway().mSuspects->NoteCrash(*aCulprit, replica, true);
    }
  }

  // Requests beside another one; each is sent again until it runs, beside a crash again at times.
  std::vector<RequestHash> Besides()
  {
    std::vector<RequestHash> requests;
    for (int i = 0; i < kBesides; ++i) {
      requests.push_back({ mNextRequest + kOfPaths, mNextRequest });
      ++mNextRequest;
    }
    return requests;
  }

  void FinishInnocents(const std::vector<RequestHash>& aRequests)
  {
    for (const RequestHash& request : aRequests) {
      ++mInnocents;
      // One in six is beside another crash, and one in six of these beside a third.
      while (mRandom() % 6 == 0) {
        Crash({ request });
      }
      Spread();
      SimulatedGateway& gateway = AnyGateway();
      mBarredInnocents += gateway.mSuspects->IsBarred(request) ? 1 : 0;
      gateway.mSuspects->NoteCompleted(request);
    }
  }

  // Sends aRequest until it is refused, each time at another gateway. The number of sends.
  size_t SendUntilBarred(const RequestHash& aRequest)
  {
    for (size_t sends = 0; sends < 100; ++sends) {
      if (AnyGateway().mSuspects->IsBarred(aRequest)) {
        return sends;
      }
      const std::vector<RequestHash> besides = Besides();
      Crash(besides, aRequest);
      Spread();
      FinishInnocents(besides);
    }
    return 100;
  }
};

// Guards against each gateway counting only the crashes that it saw: 330 gateways let a request end
// three replicas each. And against barring what merely ran beside it, or was beside several
// crashes by chance.
BOOST_FIXTURE_TEST_CASE(CrashSuspectsOfAFleetFindTheCulpritsAlone, CrashingFleetFixture)
{
  for (uint64_t culprit = 0; culprit < 20; ++culprit) {
    BOOST_TEST(SendUntilBarred({ culprit + kOfPaths, culprit }) == 3U);
  }
  // Replicas that end for reasons of their own.
  for (int crash = 0; crash < 100; ++crash) {
    const std::vector<RequestHash> besides = Besides();
    Crash(besides);
    Spread();
    FinishInnocents(besides);
  }
  BOOST_TEST(mInnocents > 900U);
  BOOST_TEST(mBarredInnocents * 500 <= mInnocents);
}

// Guards against a verdict that is lost with the gateway that made it.
BOOST_FIXTURE_TEST_CASE(CrashSuspectsOutliveTheRestartOfAnyGateway, CrashingFleetFixture)
{
  BOOST_TEST(SendUntilBarred({ kOfPaths, 1 }) == 3U);
  for (SimulatedGateway& gateway : mGateways) {
    Restart(gateway);
    BOOST_TEST(gateway.mSuspects->IsBarred({ kOfPaths, 1 }));
  }
}

}
