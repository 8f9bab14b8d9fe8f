#include "sycamore/http/connection_limit.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace sycamore::http {

// Connections of an address that takes three.
struct ConnectionLimitFixture
{
  static constexpr size_t kMax = 3;

  ConnectionLimit mLimit{ "test", kMax, ConnectionLimit::Yields::Waiting };
  std::string mClosed; // Names of the connections that the limit closed.
  std::vector<std::unique_ptr<ConnectionLimit::Member>> mMembers;

  ConnectionLimit::Member& Open(ConnectionLimit& aLimit, char aName, ConnectionPhase aPhase)
  {
    mMembers.push_back(
      std::make_unique<ConnectionLimit::Member>(aLimit, [this, aName] { mClosed += aName; }));
    mMembers.back()->Enter(aPhase);
    return *mMembers.back();
  }

  ConnectionLimit::Member& Open(char aName, ConnectionPhase aPhase)
  {
    return Open(mLimit, aName, aPhase);
  }
};

// Guards against a request that is cut off while a connection without one is kept.
BOOST_FIXTURE_TEST_CASE(ConnectionLimitWhenFullClosesIdleThenReading, ConnectionLimitFixture)
{
  Open('r', ConnectionPhase::Reading);
  Open('i', ConnectionPhase::Idle);
  BOOST_TEST(mLimit.MakeRoom());
  BOOST_TEST(mClosed == "");
  Open('s', ConnectionPhase::Serving);
  BOOST_TEST(mLimit.MakeRoom());
  BOOST_TEST(mClosed == "i");
  Open('t', ConnectionPhase::Serving);
  BOOST_TEST(mLimit.MakeRoom());
  BOOST_TEST(mClosed == "ir");
  Open('u', ConnectionPhase::Serving);
  BOOST_TEST(!mLimit.MakeRoom());
  BOOST_TEST(mClosed == "ir");
  BOOST_TEST(mLimit.Yielded() == 3U);
}

// Guards against callers that keep their places by sending nothing: the one that has waited for
// longest goes first, and a connection that is used again waits anew.
BOOST_FIXTURE_TEST_CASE(ConnectionLimitWhenFullClosesTheLongestIdle, ConnectionLimitFixture)
{
  ConnectionLimit::Member& first = Open('1', ConnectionPhase::Idle);
  Open('2', ConnectionPhase::Idle);
  Open('3', ConnectionPhase::Idle);
  first.Enter(ConnectionPhase::Serving);
  first.Enter(ConnectionPhase::Idle);
  BOOST_TEST(mLimit.MakeRoom());
  BOOST_TEST(mClosed == "2");
}

// Guards against clients that do not read their answers and keep new ones out, and against the
// close of one that has just begun to be sent.
BOOST_FIXTURE_TEST_CASE(ConnectionLimitWhenFullClosesAStalledWriter, ConnectionLimitFixture)
{
  Open('w', ConnectionPhase::Writing);
  Open('s', ConnectionPhase::Serving);
  Open('t', ConnectionPhase::Serving);
  BOOST_TEST(!mLimit.MakeRoom());
  BOOST_TEST(mClosed == "");
  const base::TimePoint end = base::Clock::now() + base::Seconds(20);
  while (!mLimit.MakeRoom() && base::Clock::now() < end) {
    std::this_thread::yield();
  }
  BOOST_TEST(mClosed == "w");
}

// Guards against an answer that nobody reads and that keeps the balancer's check out.
BOOST_FIXTURE_TEST_CASE(ConnectionLimitThatYieldsAllClosesServing, ConnectionLimitFixture)
{
  ConnectionLimit limit("status", 1, ConnectionLimit::Yields::All);
  Open(limit, 's', ConnectionPhase::Serving);
  BOOST_TEST(limit.MakeRoom());
  BOOST_TEST(mClosed == "s");
}

// Guards against a request that is closed for its own sake, and against the close of one that is
// being answered.
BOOST_FIXTURE_TEST_CASE(ConnectionLimitCloseReadingSparesItself, ConnectionLimitFixture)
{
  const ConnectionLimit::Member& self = Open('1', ConnectionPhase::Reading);
  Open('2', ConnectionPhase::Serving);
  BOOST_TEST(!mLimit.CloseReading(self));
  Open('3', ConnectionPhase::Reading);
  BOOST_TEST(mLimit.CloseReading(self));
  BOOST_TEST(mClosed == "3");
}

}
