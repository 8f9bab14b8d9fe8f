#include "system_fixture.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

namespace sycamore::system {

// Graceful shutdown of processes under load.
struct DrainFixture : SystemFixture
{
  static testbed::ClusterOptions Options()
  {
    testbed::ClusterOptions options;
    options.mEntries = 3;
    options.mEngineSidecars = 2;
    options.mToolSidecars = 2;
    options.mEngineFlags = { "--speed_up=2" };
    return options;
  }

  // Streams one model call of aTokens tokens through aEntry; returns what was received.
  static std::string StreamCall(const http::Endpoint& aEntry,
                                const std::string& aProgram,
                                uint32_t aTokens)
  {
    http::Client client(aEntry, kTestTimeout);
    http::ClientRequest request;
    request.mMethod = "POST";
    request.mTarget = CallsPath(aProgram);
    auto body = ModelBody(1, "a long answer", aTokens);
    body["stream"] = true;
    request.mBody = boost::json::serialize(body);
    std::string received;
    client.PerformStreaming(request, [&](std::string_view aData) {
      received += aData;
      return true;
    });
    return received;
  }

  // Streams aCount calls through entry 0 in parallel, calls aStop once engines run all of them, and
  // returns how many streams ended with a done event.
  int StreamThrough(size_t aCount, const std::function<void()>& aStop)
  {
    std::vector<std::string> programs;
    for (size_t i = 0; i < aCount; ++i) {
      programs.push_back(CreateProgram());
    }
    std::atomic<int> done{ 0 };
    std::vector<std::thread> callers;
    for (const auto& program : programs) {
      callers.emplace_back([&, program] {
        const std::string received = StreamCall(mCluster->Entry(0), program, 200);
        const bool complete = received.find("event: done") != std::string::npos;
        done += complete ? 1 : 0;
        if (!complete) {
          std::fputs(
            (received.substr(received.size() > 600 ? received.size() - 600 : 0) + "\n").c_str(),
            stderr);
        }
      });
    }
    const bool allRunning = WaitUntil([&] {
      uint64_t running = 0;
      for (size_t i = 0; i < mOptions.mEngineSidecars; ++i) {
        running += testbed::Cluster::Read(mCluster->Target(i), "/v1/load")
                     .at("running")
                     .to_number<uint64_t>();
      }
      return running >= aCount;
    });
    if (allRunning) {
      aStop();
    }
    for (auto& caller : callers) {
      caller.join();
    }
    BOOST_TEST(allRunning);
    return done;
  }
};

// Guards against a graceful shutdown of an entry that aborts the streams of its callers or of the
// programs that it owns.
BOOST_FIXTURE_TEST_CASE(DrainOfAnEntryWithOpenStreamsAbortsNone, DrainFixture)
{
  Start(Options());
  const int done = StreamThrough(12, [&] { mCluster->EntryProcess(0).Terminate(); });
  BOOST_TEST(done == 12);
  const auto exit = mCluster->EntryProcess(0).WaitForExit(kTestTimeout);
  BOOST_REQUIRE(exit.has_value());
  BOOST_TEST(*exit == 0);
}

// Guards against a graceful shutdown of a sidecar that aborts the calls of its target.
BOOST_FIXTURE_TEST_CASE(DrainOfASidecarWithOpenStreamsAbortsNone, DrainFixture)
{
  Start(Options());
  const int done = StreamThrough(12, [&] { mCluster->SidecarProcess(0).Terminate(); });
  BOOST_TEST(done == 12);
  const auto exit = mCluster->SidecarProcess(0).WaitForExit(kTestTimeout);
  BOOST_REQUIRE(exit.has_value());
  BOOST_TEST(*exit == 0);
}

// Guards against calls that fail or run twice while entries are replaced one after the other.
BOOST_FIXTURE_TEST_CASE(DrainOfEachEntryInTurnUnderLoadKeepsInvariants, DrainFixture)
{
  Start(Options());
  Load load(EntryEndpoints(), 9, 15);
  BOOST_REQUIRE(load.WaitAnswered(10, kTestTimeout));
  for (size_t entry = 0; entry < 3; ++entry) {
    mCluster->EntryProcess(entry).Terminate();
    const auto exit = mCluster->EntryProcess(entry).WaitForExit(kTestTimeout);
    BOOST_TEST((exit && *exit == 0));
    mCluster->StartEntry(entry);
    BOOST_TEST(mCluster->WaitEntryReady(entry, kTestTimeout));
  }
  BOOST_REQUIRE(load.Finish(base::Seconds(120)));
  CheckInvariants(load, { 0, 1, 2 });
}

// Guards against new calls to a target whose sidecar announced that it is leaving.
BOOST_FIXTURE_TEST_CASE(DrainOfASidecarItsTargetGetsNoNewWorkAfterTwoSeconds, DrainFixture)
{
  Start(Options());
  Load load(EntryEndpoints(), 6, 30);
  BOOST_REQUIRE(load.WaitAnswered(10, kTestTimeout));
  mCluster->SidecarProcess(2).Terminate();
  const auto exit = mCluster->SidecarProcess(2).WaitForExit(kTestTimeout);
  BOOST_TEST((exit && *exit == 0));
  const auto after = testbed::Cluster::Stats(mCluster->Target(2)).at("runs");
  BOOST_REQUIRE(load.Finish(base::Seconds(120)));
  BOOST_TEST((testbed::Cluster::Stats(mCluster->Target(2)).at("runs") == after));
  CheckInvariants(load, { 0, 1, 2 });
}

}
