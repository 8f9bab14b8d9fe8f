#include "sycamore/testbed/cluster.h"

#include "sycamore/testbed/json.h"
#include "sycamore/testbed/wait.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace sycamore::testbed {

namespace json = boost::json;

struct ClusterFixture
{
  static ClusterOptions Options()
  {
    ClusterOptions options;
    options.mRelays = true;
    return options;
  }

  ClusterFixture()
    : mCluster(Options())
  {
    BOOST_REQUIRE_MESSAGE(mCluster.Start(base::Seconds(30)), mCluster.Outputs());
  }

  // Sends a request to an entry; returns the status, 0 without an answer.
  int Ask(const std::string& aMethod, const std::string& aPath, const json::object& aBody)
  {
    http::Client client(mCluster.Entry(0), base::Seconds(20));
    http::ClientRequest request;
    request.mMethod = aMethod;
    request.mTarget = aPath;
    request.mBody = json::serialize(aBody);
    const auto response = client.Perform(request);
    mBody = base::IsOk(response) ? base::ValueOf(response).mBody : base::ErrorOf(response).mMessage;
    return base::IsOk(response) ? base::ValueOf(response).mStatus : 0;
  }

  Cluster mCluster;
  std::string mBody; // Of the last answer.
};

// Guards against settings or addresses that do not fit together: a call has to reach the stand-in
// behind a sidecar through the relay.
BOOST_FIXTURE_TEST_CASE(ClusterAfterStartRunsOneProgram, ClusterFixture)
{
  const json::object row{ { "base_version", 0 },
                          { "weight", 1 },
                          { "requests_per_s", 100 },
                          { "tokens_per_s", 100000 },
                          { "concurrency", 10 } };
  BOOST_REQUIRE_EQUAL(Ask("PUT", "/v1/table/rows/authority/*/*", row), 200);
  const json::object program{ { "account", "authority" },
                              { "region", "lahore-a" },
                              { "budget_tokens", 10000 } };
  const bool created =
    WaitUntil(base::Seconds(20), [&] { return Ask("POST", "/v1/programs", program) == 201; });
  BOOST_REQUIRE_MESSAGE(created, mBody + mCluster.Outputs());
  const std::string id = TextField(base::ValueOf(ParseObject(mBody)), "program");
  const json::object call{
    { "seq", 1 },
    { "kind", "model" },
    { "service", "llm" },
    { "max_tokens", 16 },
    { "messages", json::array{ json::object{ { "role", "user" }, { "content", "hello" } } } }
  };
  const bool answered = WaitUntil(
    base::Seconds(20), [&] { return Ask("POST", "/v1/programs/" + id + "/calls", call) == 200; });
  BOOST_REQUIRE_MESSAGE(answered, mBody + mCluster.Outputs());
  BOOST_TEST(mBody.find("messages=1 digest=") != std::string::npos);
}

// Guards against a restart that fails because a port is still taken.
BOOST_FIXTURE_TEST_CASE(ClusterInstanceStartsAgainAfterKill, ClusterFixture)
{
  for (int i = 0; i < 3; ++i) {
    mCluster.EntryProcess(0).Kill();
    mCluster.StartEntry(0);
    mCluster.SidecarProcess(0).Kill();
    mCluster.StartSidecar(0);
    mCluster.TargetsProcess(0).Kill();
    mCluster.StartTargets(0);
    mCluster.LogProcess().Kill();
    mCluster.StartLog();
    BOOST_TEST(mCluster.WaitEntryReady(0, base::Seconds(20)), mCluster.Outputs());
    BOOST_TEST(mCluster.WaitSidecarReady(0, base::Seconds(20)), mCluster.Outputs());
    BOOST_TEST(!Cluster::Stats(mCluster.Target(0)).empty());
  }
}

// Guards against fault injection that is accepted and has no effect.
BOOST_FIXTURE_TEST_CASE(ClusterControlsReachTheirStandins, ClusterFixture)
{
  const json::object refuse{ { "kind", "refuse" }, { "path", "/tools" } };
  BOOST_TEST(
    Cluster::Control(mCluster.Target(2), json::object{ { "faults", json::array{ refuse } } }));
  BOOST_TEST(!Cluster::Control(mCluster.Log(), json::object{ { "no_such_key", 1 } }));
  BOOST_TEST(mCluster.ControlSidecarRelay(0, json::object{ { "drop_existing", true } }));
  BOOST_TEST(!Cluster::Control(mCluster.RelayControl(), json::object{ { "link", "none" } }));
  BOOST_TEST(mCluster.SetInstanceState(Cluster::SidecarName(1), "leaving"));
  BOOST_TEST(mCluster.RemoveInstance(Cluster::SidecarName(0)));
  const auto list = Cluster::Read(mCluster.InstanceList(), "/instances");
  BOOST_TEST(list.at("instances").as_array().size() == 4U);
}

}
