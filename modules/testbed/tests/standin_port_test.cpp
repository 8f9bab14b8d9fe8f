#include "sycamore/testbed/standin_port.h"

#include "port_fixture.h"

#include "sycamore/testbed/json.h"
#include "sycamore/testbed/log_standin.h"

#include <boost/test/unit_test.hpp>

namespace sycamore::testbed {

struct StandinPortFixture : PortFixture
{
  StandinPortFixture() { Use(std::make_unique<LogStandin>(LogSettings{})); }

  uint64_t Append() { return Request("POST", "/streams/s", "data-1"); }

  // Records in the stream; tells whether an append took effect.
  uint64_t Stored() { return UintField(Ask("GET", "/streams/s"), "next"); }
};

// Guards against a refusal that ran: "not run" could not be tested with it.
BOOST_FIXTURE_TEST_CASE(StandinPortRefuseDoesNotRun, StandinPortFixture)
{
  Control(R"({"faults":[{"kind":"refuse","method":"POST"}]})");
  BOOST_TEST(Status(Append()) == 503);
  BOOST_TEST(Stored() == 0U);
}

BOOST_FIXTURE_TEST_CASE(StandinPortHangNeitherRunsNorAnswers, StandinPortFixture)
{
  Control(R"({"faults":[{"kind":"hang","method":"POST"}]})");
  const uint64_t request = Append();
  Advance(base::Seconds(100));
  BOOST_TEST(Status(request) == 0);
  BOOST_TEST(Stored() == 0U);
}

// Guards against a lost answer without effect: the read-back after a lost answer needs the effect.
BOOST_FIXTURE_TEST_CASE(StandinPortLoseAnswerRunsWithoutAnswer, StandinPortFixture)
{
  Control(R"({"faults":[{"kind":"lose_answer","method":"POST","count":1}]})");
  const uint64_t lost = Append();
  BOOST_TEST(Status(lost) == 0);
  BOOST_TEST(Stored() == 1U);
  BOOST_TEST(Status(Append()) == 201);
  Close(lost);
  BOOST_TEST(Stored() == 2U);
}

BOOST_FIXTURE_TEST_CASE(StandinPortFailAfterRunRunsAndAnswersFailure, StandinPortFixture)
{
  Control(R"({"faults":[{"kind":"fail_after_run","method":"POST","count":1,"status":504}]})");
  BOOST_TEST(Status(Append()) == 504);
  BOOST_TEST(Stored() == 1U);
}

BOOST_FIXTURE_TEST_CASE(StandinPortSlowRunsAfterDelay, StandinPortFixture)
{
  Control(R"({"faults":[{"kind":"slow","method":"POST","delay_ms":500,"count":1}]})");
  const uint64_t request = Append();
  Advance(base::Millis(499));
  BOOST_TEST(Stored() == 0U);
  Advance(base::Millis(1));
  BOOST_TEST(Status(request) == 201);
}

// Guards against an outage that never ends.
BOOST_FIXTURE_TEST_CASE(StandinPortFaultWithDurationEnds, StandinPortFixture)
{
  Control(R"({"faults":[{"kind":"refuse","for_ms":1000}]})");
  BOOST_TEST(Status(Append()) == 503);
  Advance(base::Millis(999));
  BOOST_TEST(Status(Append()) == 503);
  Advance(base::Millis(1));
  BOOST_TEST(Status(Append()) == 201);
}

// Guards against faults that hit other requests than those named.
BOOST_FIXTURE_TEST_CASE(StandinPortFaultWithFiltersAppliesToMatchingRequestsOnly,
                        StandinPortFixture)
{
  Control(R"({"faults":[{"kind":"refuse","path":"/streams/t","contains":"bad","skip":1}]})");
  BOOST_TEST(Status(Request("POST", "/streams/s", "bad")) == 201);
  BOOST_TEST(Status(Request("POST", "/streams/t", "good")) == 201);
  BOOST_TEST(Status(Request("POST", "/streams/t", "bad")) == 201);
  BOOST_TEST(Status(Request("POST", "/streams/t", "bad")) == 503);
  Control(R"({"clear_faults":true})");
  BOOST_TEST(Status(Request("POST", "/streams/t", "bad")) == 201);
  BOOST_TEST(UintField(Ask("GET", "/stats"), "faults_applied") == 1U);
}

// Guards against requests that run before their bytes would have arrived.
BOOST_FIXTURE_TEST_CASE(StandinPortWithLatencyDelaysEachRequest, PortFixture)
{
  Use(std::make_unique<LogStandin>(LogSettings{}), base::Millis(30));
  const uint64_t request = Request("POST", "/streams/s", "x");
  Advance(base::Millis(29));
  BOOST_TEST(Status(request) == 0);
  Advance(base::Millis(1));
  BOOST_TEST(Status(request) == 201);
}

}
