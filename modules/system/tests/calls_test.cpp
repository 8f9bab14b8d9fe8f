#include "system_fixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace sycamore::system {

// Calls under load while processes fail. The stand-ins count which calls ran.
struct CallsFixture : SystemFixture
{
  static testbed::ClusterOptions Options()
  {
    testbed::ClusterOptions options;
    options.mEntries = 3;
    options.mEngineSidecars = 2;
    options.mToolSidecars = 2;
    options.mToolFlags = { "--delay_ms=10" };
    return options;
  }

  // Runs a load of 12 chains of 15 calls and calls aFault after a third of it, then checks the
  // invariants through aEntries.
  void RunWithFault(const std::function<void()>& aFault, const std::vector<size_t>& aEntries)
  {
    Load load(EntryEndpoints(), 12, 15);
    BOOST_REQUIRE_MESSAGE(load.WaitAnswered(60, kTestTimeout), mCluster->Outputs());
    aFault();
    BOOST_REQUIRE_MESSAGE(load.Finish(base::Seconds(150)), mCluster->Outputs());
    CheckInvariants(load, aEntries);
  }

  // Whether any entry has a connection to the instance aName.
  bool IsConnected(const std::string& aName) const
  {
    for (size_t entry = 0; entry < mCluster->Entries(); ++entry) {
      const auto dump = testbed::Cluster::Read(mCluster->Entry(entry), "/dump");
      const auto& peers = dump.at("peers").as_array();
      if (std::any_of(peers.begin(), peers.end(), [&](const auto& aPeer) {
            return aPeer.at("instance").as_string() == aName;
          })) {
        return true;
      }
    }
    return false;
  }

  bool FaultLog(const boost::json::object& aFault) const
  {
    return InjectFault(mCluster->Log(), aFault);
  }
};

// Guards against calls that are lost, repeated or mixed up even without a fault.
BOOST_FIXTURE_TEST_CASE(CallsWithoutFaultAreAllAnsweredInOrder, CallsFixture)
{
  Start(Options());
  RunWithFault([] {}, { 0, 1, 2 });
}

// Guards against acknowledged history that is lost with its owner, and against calls that run twice
// after a takeover.
BOOST_FIXTURE_TEST_CASE(CallsAfterKillOfAnEntryKeepHistoryAndRunOnce, CallsFixture)
{
  Start(Options());
  RunWithFault([&] { mCluster->EntryProcess(0).Kill(); }, { 1, 2 });
}

// Guards against an owner that is paused beyond its lease, resumes and goes on dispatching.
BOOST_FIXTURE_TEST_CASE(CallsAfterPauseOfAnEntryKeepHistoryAndRunOnce, CallsFixture)
{
  Start(Options());
  RunWithFault(
    [&] {
      mCluster->EntryProcess(0).Pause();
      // The others take over its partitions; then it resumes while they work.
      BOOST_CHECK(WaitUntil([&] {
        size_t owned = 0;
        for (const size_t entry : { 1, 2 }) {
          const auto dump = testbed::Cluster::Read(mCluster->Entry(entry), "/dump");
          for (const auto& row : dump.at("partitions").as_array()) {
            owned += row.at("phase").as_string() == "owned" ? 1 : 0;
          }
        }
        return owned == mOptions.mPartitions;
      }));
      mCluster->EntryProcess(0).Resume();
    },
    { 0, 1, 2 });
}

// Guards against calls that are lost or repeated when the sidecar of a tool is replaced.
BOOST_FIXTURE_TEST_CASE(CallsAfterKillOfAToolSidecarRunAtMostOnce, CallsFixture)
{
  Start(Options());
  RunWithFault(
    [&] {
      mCluster->SidecarProcess(2).Kill();
      mCluster->StartSidecar(2);
    },
    { 0, 1, 2 });
}

// Guards against calls that wait for ever for an engine whose sidecar is gone.
BOOST_FIXTURE_TEST_CASE(CallsAfterKillOfAnEngineSidecarGoElsewhere, CallsFixture)
{
  Start(Options());
  RunWithFault([&] { mCluster->SidecarProcess(0).Kill(); }, { 0, 1, 2 });
}

// Guards against a sidecar that resumes from a pause and runs calls whose outcome was already
// decided without it.
BOOST_FIXTURE_TEST_CASE(CallsAfterPauseOfAToolSidecarRunAtMostOnce, CallsFixture)
{
  Start(Options());
  RunWithFault(
    [&] {
      mCluster->SidecarProcess(2).Pause();
      BOOST_CHECK(WaitUntil([&] { return !IsConnected(testbed::Cluster::SidecarName(2)); }));
      mCluster->SidecarProcess(2).Resume();
    },
    { 0, 1, 2 });
}

// Guards against calls that are resent without knowing whether they ran, when existing connections
// drop all data while new ones work.
BOOST_FIXTURE_TEST_CASE(CallsOnSilentConnectionsRunAtMostOnce, CallsFixture)
{
  auto options = Options();
  options.mRelays = true;
  Start(std::move(options));
  RunWithFault(
    [&] {
      for (size_t sidecar = 0; sidecar < mCluster->Sidecars(); ++sidecar) {
        BOOST_CHECK(mCluster->ControlSidecarRelay(sidecar, { { "drop_existing", true } }));
      }
    },
    { 0, 1, 2 });
}

// Guards against appends that are lost or repeated when only the answers of the log are lost.
BOOST_FIXTURE_TEST_CASE(CallsWhenLogAnswersAreLostKeepHistoryAndRunOnce, CallsFixture)
{
  Start(Options());
  RunWithFault(
    [&] {
      BOOST_CHECK(FaultLog({ { "kind", "lose_answer" }, { "method", "POST" }, { "count", 20 } }));
    },
    { 0, 1, 2 });
}

// Guards against answers without a record while the log is down, and against a system that does not
// recover after the outage.
BOOST_FIXTURE_TEST_CASE(CallsDuringLogOutageKeepHistoryAndRunOnce, CallsFixture)
{
  Start(Options());
  RunWithFault(
    [&] {
      BOOST_CHECK(FaultLog({ { "kind", "refuse" }, { "for_ms", 8000 } }));
    },
    { 0, 1, 2 });
}

// Guards against batches that are reordered when the log is slow.
BOOST_FIXTURE_TEST_CASE(CallsWithSlowLogKeepHistoryAndRunOnce, CallsFixture)
{
  Start(Options());
  RunWithFault(
    [&] {
      BOOST_CHECK(FaultLog({ { "kind", "slow" }, { "delay_ms", 400 }, { "for_ms", 8000 } }));
    },
    { 0, 1, 2 });
}

// Guards against lost history when an owner is killed while the log is down.
BOOST_FIXTURE_TEST_CASE(CallsAfterKillOfAnEntryDuringLogOutageKeepHistory, CallsFixture)
{
  Start(Options());
  RunWithFault(
    [&] {
      BOOST_CHECK(FaultLog({ { "kind", "refuse" }, { "for_ms", 6000 } }));
      mCluster->EntryProcess(1).Kill();
    },
    { 0, 2 });
}

// Guards against calls that run twice when an entry and the sidecar of a tool are killed together.
BOOST_FIXTURE_TEST_CASE(CallsAfterKillOfEntryAndToolSidecarRunAtMostOnce, CallsFixture)
{
  Start(Options());
  RunWithFault(
    [&] {
      mCluster->EntryProcess(0).Kill();
      mCluster->SidecarProcess(2).Kill();
      mCluster->StartEntry(0);
      mCluster->StartSidecar(2);
    },
    { 0, 1, 2 });
}

// Guards against calls that are routed to dead targets because the instance list is out of date.
BOOST_FIXTURE_TEST_CASE(CallsWithLaggingInstanceListGoToLiveTargets, CallsFixture)
{
  auto options = Options();
  options.mInstancesFlags = { "--lag_ms=20000" };
  Start(std::move(options));
  RunWithFault(
    [&] {
      mCluster->SidecarProcess(0).Kill();
      BOOST_CHECK(mCluster->RemoveInstance(testbed::Cluster::SidecarName(0)));
    },
    { 0, 1, 2 });
}

}
