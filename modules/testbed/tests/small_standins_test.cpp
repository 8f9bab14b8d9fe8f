#include "port_fixture.h"

#include "sycamore/testbed/instances_standin.h"
#include "sycamore/testbed/json.h"
#include "sycamore/testbed/tool_standin.h"
#include "sycamore/testbed/weights_standin.h"

#include <boost/test/unit_test.hpp>

namespace sycamore::testbed {

struct InstancesStandinFixture : PortFixture
{
  InstancesStandinFixture()
  {
    const boost::json::object row{ { "name", "s1" }, { "state", "live" } };
    Use(std::make_unique<InstancesStandin>(boost::json::array{ row }, base::Millis(1000)));
  }

  boost::json::array List() { return Ask("GET", "/instances").at("instances").as_array(); }
};

// Guards against a list without lag, which would hide that the list is only a hint.
BOOST_FIXTURE_TEST_CASE(InstancesStandinChangeBecomesVisibleAfterLag, InstancesStandinFixture)
{
  Control(R"({"set":{"name":"s1","state":"leaving"}})");
  Control(R"({"set":{"name":"s2","state":"live"}})");
  Advance(base::Millis(999));
  BOOST_TEST(List().size() == 1U);
  BOOST_TEST(TextField(List().at(0).as_object(), "state") == "live");
  Advance(base::Millis(1));
  BOOST_TEST(List().size() == 2U);
  BOOST_TEST(TextField(List().at(0).as_object(), "state") == "leaving");
  Control(R"({"remove":"s1","lag_ms":0})");
  BOOST_TEST(List().size() == 1U);
  BOOST_TEST(TextField(List().at(0).as_object(), "name") == "s2");
}

// Guards against slots beyond the store's rate and against a missing Retry-After.
BOOST_FIXTURE_TEST_CASE(WeightsStandinAboveItsRateAnswers429WithRetryAfter, PortFixture)
{
  Use(std::make_unique<WeightsStandin>(0.5, 1));
  const std::string body = R"({"model":"m","version":"1","instance":"s1"})";
  BOOST_TEST(Status(Request("POST", "/slots", body)) == 200);
  const uint64_t refused = Request("POST", "/slots", body);
  BOOST_TEST(Status(refused) == 429);
  BOOST_TEST(Parts(refused).at(0).mRetryAfter.count() == 2000);
  Advance(base::Seconds(2));
  BOOST_TEST(Status(Request("POST", "/slots", body)) == 200);
  BOOST_TEST(UintField(Ask("GET", "/stats").at("granted").as_object(), "s1") == 2U);
  BOOST_TEST(UintField(Ask("GET", "/stats").at("refused").as_object(), "s1") == 1U);
}

struct ToolStandinFixture : PortFixture
{
  ToolStandinFixture() { Use(std::make_unique<ToolStandin>(base::Millis(0))); }

  uint64_t Count(const std::string& aMap, const std::string& aKey)
  {
    return UintField(Ask("GET", "/stats").at(aMap).as_object(), aKey);
  }
};

// Guards against miscounted runs: the check that nothing runs twice reads these counters.
BOOST_FIXTURE_TEST_CASE(ToolStandinCountsRunsByKeyAndProgram, ToolStandinFixture)
{
  const std::string body = R"({"program":"0-1-a","key":"fine-1","amount":7})";
  const auto answer = Ask("POST", "/tools/notice", body);
  BOOST_TEST(answer.at("echo").as_object().at("amount").as_int64() == 7);
  BOOST_TEST(UintField(answer, "run") == 1U);
  Ask("POST", "/tools/notice", body);
  Ask("POST", "/tools/notice", R"({"arguments":{"key":"fine-2"}})");
  Ask("POST", "/tools/lookup", R"({"tag":"x"})");
  BOOST_TEST(Count("keys", "0-1-a/fine-1") == 2U);
  BOOST_TEST(Count("keys", "fine-2") == 1U);
  BOOST_TEST(Count("programs", "0-1-a") == 2U);
  BOOST_TEST(Count("tools", "lookup") == 1U);
  BOOST_TEST(UintField(Ask("GET", "/stats"), "runs") == 4U);
  BOOST_TEST(UintField(Ask("GET", "/stats"), "max_runs_per_key") == 2U);
}

// Guards against a run that is counted only when answered: a lost answer is a run.
BOOST_FIXTURE_TEST_CASE(ToolStandinWithDelayCountsRunAtStart, ToolStandinFixture)
{
  Control(R"({"delay_ms":200})");
  const uint64_t request = Request("POST", "/tools/notice", R"({"key":"k"})");
  BOOST_TEST(Count("keys", "k") == 1U);
  Advance(base::Millis(199));
  BOOST_TEST(Status(request) == 0);
  Advance(base::Millis(1));
  BOOST_TEST(Status(request) == 200);
}

// Guards against refusals that count as runs.
BOOST_FIXTURE_TEST_CASE(ToolStandinRefusedRequestIsNoRun, ToolStandinFixture)
{
  Control(R"({"faults":[{"kind":"refuse"}]})");
  Request("POST", "/tools/notice", R"({"key":"k"})");
  BOOST_TEST(UintField(Ask("GET", "/stats"), "runs") == 0U);
}

}
