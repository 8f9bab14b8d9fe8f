#include "explain.h"

#include "command_fixture.h"

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>

namespace sycamore::ctl {

// Lines of two gateways, one of which loses the store. One line begins with the columns of a log
// collector.
static constexpr std::string_view kLog = R"(
2026-12-04T10:00:00Z info front-1 E100 process_started role=gateway http=127.0.0.1:1
2026-12-04T10:00:01Z info front-2 E408 gateway_call attempt=a1 program=p1 route=r config=3 took_ms=40 outcome="complete"
2026-12-04T10:00:02Z warning front-1 E304 log_append_failed path=direct the store answered 503
  2.5 front-1 2026-12-04T10:00:03Z info front-1 E408 gateway_call attempt=a2 program=p1 route=r config=3 took_ms=0 outcome="the store cannot be reached"
2026-12-04T10:00:03Z warning front-2 E704 replica_avoided replica=i-9 service=s domain=d failures=1
2026-12-04T10:00:04Z info front-2 E409 replica_try attempt=a3 replica=i-9 sends=1 outcome=failed detail="header: Connection reset by peer"
2026-12-04T10:00:04Z info front-2 E408 gateway_call attempt=a3 program=p2 route=t config=3 took_ms=41 outcome="the call may have run: header: Connection reset by peer"
2026-12-04T10:00:04Z info front-1 E305 log_append_recovered path=direct works again
not a line of a daemon
)";

struct ExplainFixture : CommandFixture
{
  std::string mPath = "explain_test.log";

  ExplainFixture() { std::ofstream(mPath) << kLog; }
  ~ExplainFixture() { std::remove(mPath.c_str()); }
};

// Guards against an explanation that shows the refusal of a turn without its cause, the loss of the
// store.
BOOST_FIXTURE_TEST_CASE(ExplainRefusedTurnShowsTheLossOfTheStore, ExplainFixture)
{
  BOOST_TEST((Run({ "explain", "a2", mPath }) == ExitCode::Ok));
  BOOST_TEST(Contains(mOut, "log_append_failed"));
  BOOST_TEST(Contains(mOut, "refused, not run"));
  BOOST_TEST(!Contains(mOut, "attempt=a1"));
  BOOST_TEST(!Contains(mOut, "i-9"));
}

// Guards against an explanation of an unknown outcome that does not name the replica.
BOOST_FIXTURE_TEST_CASE(ExplainUnknownOutcomeNamesTheReplica, ExplainFixture)
{
  BOOST_TEST((Run({ "explain", "a3", mPath, "--json" }) == ExitCode::Ok));
  BOOST_TEST(Contains(mOut, "a3: replica i-9: failed (header: Connection reset by peer)"));
  BOOST_TEST(Contains(mOut, "ask the service whether it ran"));
  BOOST_TEST(Contains(mOut, "replica_avoided"));
  BOOST_TEST(!Contains(mOut, "log_append_failed"));
}

// Guards against an explanation of a program that lacks its turns at other instances.
BOOST_FIXTURE_TEST_CASE(ExplainProgramShowsItsTurnsAtAllInstances, ExplainFixture)
{
  BOOST_TEST((Run({ "explain", "p1", mPath }) == ExitCode::Ok));
  BOOST_TEST(mOut.find("attempt=a1") < mOut.find("attempt=a2"));
  BOOST_TEST(Contains(mOut, "a1: after 40 ms, complete"));
}

// Guards against a missing error for an id that is in none of the files, or for a missing file.
BOOST_FIXTURE_TEST_CASE(ExplainUnknownIdOrFileIsAnError, ExplainFixture)
{
  BOOST_TEST((Run({ "explain", "zz", mPath }) == ExitCode::Refused));
  BOOST_TEST(Contains(mErr, "zz"));
  BOOST_TEST((Run({ "explain", "a1", "no-such-file.log" }) == ExitCode::Usage));
}

// Guards against an id or key that matches a part of another one.
BOOST_AUTO_TEST_CASE(LogLineFieldsAreWholeWords)
{
  const std::string text = R"(attempt=a12 sub_attempt=a1 detail="x attempt=q" took_ms=5)";
  BOOST_TEST(FieldOf(text, "attempt") == "a12");
  BOOST_TEST(FieldOf(text, "took_ms") == "5");
  BOOST_TEST(FieldOf(text, "detail") == "x attempt=q");
  BOOST_TEST(FieldOf(text, "none").empty());
}

}
