#include "system_fixture.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

namespace sycamore::system {

// The configuration table under conflicting edits and outages.
struct ConfigFixture : SystemFixture
{
  static testbed::ClusterOptions Options()
  {
    testbed::ClusterOptions options;
    options.mEntries = 3;
    options.mEngineSidecars = 1;
    options.mToolSidecars = 1;
    return options;
  }

  static boost::json::object Row(uint64_t aBase, double aWeight)
  {
    return { { "base_version", aBase },
             { "weight", aWeight },
             { "requests_per_s", 1000 },
             { "tokens_per_s", 100000 },
             { "concurrency", 10 } };
  }

  // Version of the table at an entry; 0 if the entry does not answer.
  uint64_t VersionAt(size_t aEntry) const
  {
    Caller caller = MakeCaller();
    const auto table = caller.Send(aEntry, "GET", "/v1/table", {}, base::Seconds(2));
    return table && table->Ok() ? table->mBody.at("version").to_number<uint64_t>() : 0;
  }

  uint64_t SidecarVersion(size_t aSidecar) const
  {
    const auto dump = testbed::Cluster::Read(mCluster->Sidecar(aSidecar), "/dump");
    const auto* version = dump.if_contains("config_version");
    return version != nullptr ? version->to_number<uint64_t>() : 0;
  }

  bool InForceEverywhere(uint64_t aVersion) const
  {
    for (size_t entry = 0; entry < mCluster->Entries(); ++entry) {
      if (VersionAt(entry) < aVersion) {
        return false;
      }
    }
    for (size_t sidecar = 0; sidecar < mCluster->Sidecars(); ++sidecar) {
      if (SidecarVersion(sidecar) < aVersion) {
        return false;
      }
    }
    return true;
  }
};

// Guards against an edit that some process misses or applies later than kConfigLimit.
BOOST_FIXTURE_TEST_CASE(TableEditAcceptedIsInForceEverywhereWithinSevenSeconds, ConfigFixture)
{
  Start(Options());
  Caller caller = MakeCaller();
  const auto edited = caller.Send(0, "PUT", "/v1/table/rows/jadoo-ghar/*/*", Row(0, 2));
  BOOST_REQUIRE(edited && edited->Ok());
  const auto version = edited->mBody.at("version").to_number<uint64_t>();
  BOOST_TEST(WaitUntil([&] { return InForceEverywhere(version); }, kConfigLimit));
}

// Guards against operators who overwrite each other's edits of one row unnoticed.
BOOST_FIXTURE_TEST_CASE(TableConcurrentEditsOfOneRowExactlyOneWins, ConfigFixture)
{
  Start(Options());
  std::atomic<int> accepted{ 0 };
  std::atomic<int> conflicts{ 0 };
  std::vector<std::thread> operators;
  for (size_t i = 0; i < 6; ++i) {
    operators.emplace_back([&, i] {
      Caller caller = MakeCaller();
      const auto answer =
        caller.Send(i % 3, "PUT", "/v1/table/rows/raced/*/*", Row(0, 1.0 + static_cast<double>(i)));
      accepted += answer && answer->Ok() ? 1 : 0;
      conflicts += answer && answer->Code() == "edit_conflict" ? 1 : 0;
    });
  }
  for (auto& thread : operators) {
    thread.join();
  }
  BOOST_TEST(accepted == 1);
  BOOST_TEST(conflicts == 5);
}

// Guards against a process that returns to an older version of the table when it restarts, also
// while the log is down.
BOOST_FIXTURE_TEST_CASE(TableAfterRestartDuringLogOutageComesFromPeersAndNeverGetsOlder,
                        ConfigFixture)
{
  Start(Options());
  Caller caller = MakeCaller();
  const auto edited = caller.Send(0, "PUT", "/v1/table/rows/jadoo-ghar/*/*", Row(0, 2));
  BOOST_REQUIRE(edited && edited->Ok());
  const auto version = edited->mBody.at("version").to_number<uint64_t>();
  BOOST_REQUIRE(WaitUntil([&] { return InForceEverywhere(version); }, kConfigLimit));
  BOOST_REQUIRE(InjectFault(mCluster->Log(), { { "kind", "refuse" }, { "for_ms", 15000 } }));
  mCluster->EntryProcess(0).Kill();
  mCluster->StartEntry(0);
  mCluster->SidecarProcess(1).Kill();
  mCluster->StartSidecar(1);
  BOOST_TEST(WaitUntil([&] { return InForceEverywhere(version); }, kConfigLimit));
  // Later reads return the same version or a newer one.
  const base::TimePoint end = base::Clock::now() + base::Seconds(5);
  while (base::Clock::now() < end) {
    BOOST_REQUIRE(VersionAt(1) >= version);
    BOOST_REQUIRE(VersionAt(0) >= version);
  }
}

// Guards against a process that uses an old table for ever when it cannot reach the log.
BOOST_FIXTURE_TEST_CASE(TableNotConfirmedWithinItsLimitNewWorkIsRefusedAsNotRun, ConfigFixture)
{
  auto options = Options();
  options.mEntries = 1;
  // The sidecars count as peers of the entry, so this limit applies and not that for an entry
  // without any peer.
  options.mEntrySettings = { { "config_max_age_with_peers_ms", 8000 } };
  Start(std::move(options));
  const std::string program = CreateProgram();
  BOOST_REQUIRE(InjectFault(mCluster->Log(), { { "kind", "refuse" }, { "for_ms", 60000 } }));
  Caller caller = MakeCaller();
  // A call that is sent before the limit stays in progress until its commit, so the test polls the
  // readiness to find out when the limit has passed.
  BOOST_REQUIRE(WaitUntil(
    [&] {
      const auto ready = caller.Send(0, "GET", "/readyz");
      return ready && ready->Code() == "config_stale";
    },
    base::Seconds(20)));
  const auto answer = caller.Send(0, "POST", CallsPath(program), ToolBody(1, program, ""));
  BOOST_REQUIRE(answer);
  BOOST_TEST(answer->Code() == "config_stale");
  BOOST_TEST(answer->Run() == "not_run");
}

// Guards against edits that are lost or applied twice when the answer of the log is lost.
BOOST_FIXTURE_TEST_CASE(TableEditWhoseLogAnswerIsLostIsAppliedOnce, ConfigFixture)
{
  Start(Options());
  BOOST_REQUIRE(InjectFault(mCluster->Log(),
                            { { "kind", "lose_answer" },
                              { "method", "POST" },
                              { "path", "/streams/config" },
                              { "count", 3 } }));
  Caller caller = MakeCaller();
  const auto edited = caller.Send(0, "PUT", "/v1/table/rows/jadoo-ghar/*/*", Row(0, 2));
  BOOST_REQUIRE(edited);
  BOOST_REQUIRE_MESSAGE(edited->Ok(), boost::json::serialize(edited->mBody));
  const auto version = edited->mBody.at("version").to_number<uint64_t>();
  BOOST_TEST(WaitUntil([&] { return InForceEverywhere(version); }, kConfigLimit));
  const auto again = caller.Send(1, "PUT", "/v1/table/rows/jadoo-ghar/*/*", Row(version, 3));
  BOOST_TEST((again && again->Ok()));
}

// Guards against invalid edits that change the table or whose error does not name the field.
BOOST_FIXTURE_TEST_CASE(TableInvalidEditsAreRefusedAndChangeNothing, ConfigFixture)
{
  Start(Options());
  Caller caller = MakeCaller();
  const uint64_t before = VersionAt(0);
  auto negative = Row(0, 1);
  negative["tokens_per_s"] = -1;
  const auto refused = caller.Send(0, "PUT", "/v1/table/rows/x/*/*", negative);
  BOOST_REQUIRE(refused);
  BOOST_TEST(refused->Code() == "invalid_edit");
  BOOST_TEST(refused->mBody.at("error").at("field").as_string() == "tokens_per_s");
  const auto old = caller.Send(0, "PUT", "/v1/table/rows/authority/*/*", Row(0, 1));
  BOOST_REQUIRE(old);
  BOOST_TEST(old->Code() == "edit_conflict");
  BOOST_TEST(VersionAt(0) == before);
}

}
