#include "sycamore/settings/parse.h"

#include <algorithm>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <string>

namespace sycamore::settings {

struct SettingsFixture
{
  boost::json::object mEntry = boost::json::parse(R"({
    "role": "entry", "instance": "e1", "region": "lahore-a", "domain": "lahore-a-1",
    "http": "127.0.0.1:8080", "peer": "127.0.0.1:9080",
    "log": "127.0.0.1:7000", "instance_list": "127.0.0.1:7001"})")
                                 .as_object();
  boost::json::object mSidecar = boost::json::parse(R"({
    "role": "sidecar", "instance": "s1", "region": "lahore-a", "domain": "lahore-a-1",
    "http": "127.0.0.1:8081", "peer": "127.0.0.1:9081", "weight_store": "127.0.0.1:7002",
    "targets": [{"name": "inspect-llm-1", "service": "inspect-llm", "kind": "engine",
                 "checks_fence": true, "endpoint": "127.0.0.1:6001", "max_running": 4},
                {"name": "tag-registry-1", "service": "tag-registry", "kind": "tool",
                 "endpoint": "127.0.0.1:6002"}]})")
                                   .as_object();

  static Settings Accepted(const boost::json::object& aObject)
  {
    auto parsed = Parse(boost::json::serialize(aObject));
    BOOST_REQUIRE(parsed.index() == 0);
    return std::get<Settings>(std::move(parsed));
  }

  // The paths of all faults, sorted.
  static std::vector<std::string> Faults(const boost::json::object& aObject)
  {
    const auto parsed = Parse(boost::json::serialize(aObject));
    BOOST_REQUIRE(parsed.index() == 1);
    std::vector<std::string> paths;
    for (const base::Error& fault : std::get<1>(parsed)) {
      BOOST_TEST((fault.mKind == base::ErrorKind::InvalidSettings));
      BOOST_TEST(!fault.mMessage.empty());
      paths.push_back(fault.mField);
    }
    std::sort(paths.begin(), paths.end());
    return paths;
  }

  static void CheckFaults(const boost::json::object& aObject,
                          const std::vector<std::string>& aExpected)
  {
    const auto faults = Faults(aObject);
    BOOST_TEST(faults == aExpected, boost::test_tools::per_element());
  }
};

// Guards against defaults that differ between the header and the parser.
BOOST_FIXTURE_TEST_CASE(SettingsMinimalEntryKeepsDefaults, SettingsFixture)
{
  const Settings settings = Accepted(mEntry);
  const Settings defaults;
  BOOST_TEST((settings.mRole == Role::Entry));
  BOOST_TEST(settings.mLog->mPort == 7000);
  BOOST_TEST(settings.mPartitions == defaults.mPartitions);
  BOOST_TEST((settings.mRetention == defaults.mRetention));
  BOOST_TEST(settings.mOrdering == "remaining");
}

// Guards against keys that are accepted and then not used.
BOOST_FIXTURE_TEST_CASE(SettingsEachKeyIsStored, SettingsFixture)
{
  mEntry["partitions"] = 32;
  mEntry["appends_per_second"] = 150.5;
  mEntry["retention_ms"] = 60000;
  mEntry["owner_timeout_ms"] = 2001;
  mEntry["config_poll_ms"] = 102;
  mEntry["config_max_age_ms"] = 6003;
  mEntry["config_max_age_with_peers_ms"] = 60004;
  mEntry["hold_lease_ms"] = 5005;
  mEntry["hold_interval_ms"] = 1006;
  mEntry["instance_list_poll_ms"] = 507;
  mEntry["default_deadline_ms"] = 30008;
  mEntry["drain_limit_ms"] = 9009;
  mEntry["history_cache_bytes"] = 1000010;
  mEntry["max_pending_bytes"] = 1000011;
  mEntry["max_body_bytes"] = 1000012;
  mEntry["ordering"] = "fifo";
  mEntry["routing"] = "load";
  mEntry["log_level"] = "debug";
  const Settings settings = Accepted(mEntry);
  BOOST_TEST(settings.mPartitions == 32U);
  BOOST_TEST(settings.mAppendsPerSecond == 150.5);
  BOOST_TEST(settings.mRetention.count() == 60000);
  BOOST_TEST(settings.mOwnerTimeout.count() == 2001);
  BOOST_TEST(settings.mConfigPoll.count() == 102);
  BOOST_TEST(settings.mConfigMaxAge.count() == 6003);
  BOOST_TEST(settings.mConfigMaxAgeWithPeers.count() == 60004);
  BOOST_TEST(settings.mHoldLease.count() == 5005);
  BOOST_TEST(settings.mHoldInterval.count() == 1006);
  BOOST_TEST(settings.mInstanceListPoll.count() == 507);
  BOOST_TEST(settings.mDefaultDeadline.count() == 30008);
  BOOST_TEST(settings.mDrainLimit.count() == 9009);
  BOOST_TEST(settings.mHistoryCacheBytes == 1000010U);
  BOOST_TEST(settings.mMaxPendingBytes == 1000011U);
  BOOST_TEST(settings.mMaxBodyBytes == 1000012U);
  BOOST_TEST(settings.mOrdering == "fifo");
  BOOST_TEST(settings.mRouting == "load");
  BOOST_TEST(settings.mLogLevel == "debug");
}

// Guards against targets and links that lose a member.
BOOST_FIXTURE_TEST_CASE(SettingsTargetsAndLinksAreStored, SettingsFixture)
{
  const Settings sidecar = Accepted(mSidecar);
  BOOST_REQUIRE(sidecar.mTargets.size() == 2U);
  BOOST_TEST(sidecar.mTargets[0].mTarget.mChecksFence);
  BOOST_TEST(sidecar.mTargets[0].mMaxRunning == 4U);
  BOOST_TEST((sidecar.mTargets[1].mTarget.mKind == world::TargetKind::Tool));
  BOOST_TEST(sidecar.mTargets[1].mEndpoint.mPort == 6002);
  mEntry["links"] = boost::json::parse(
    R"([{"from": "lahore-a", "to": "karachi-a", "delay_us": 30000, "cost_per_megabyte": 2.5}])");
  const Settings entry = Accepted(mEntry);
  BOOST_REQUIRE(entry.mLinks.size() == 1U);
  BOOST_TEST((entry.mLinks[0].mDelay == base::Millis(30)));
  BOOST_TEST(entry.mLinks[0].mCostPerMegabyte == 2.5);
}

// Guards against a report that stops at the first fault.
BOOST_FIXTURE_TEST_CASE(SettingsSeveralFaultsAreAllReported, SettingsFixture)
{
  mEntry["partitions"] = 0;
  mEntry["domain"] = 3;
  mEntry["log"] = "localhost:1";
  mEntry["ordering"] = "lifo";
  mEntry["partition"] = 8;
  mEntry.erase("http");
  CheckFaults(mEntry, { "/domain", "/http", "/log", "/ordering", "/partition", "/partitions" });
}

// Guards against faults of nested objects that name no element.
BOOST_FIXTURE_TEST_CASE(SettingsFaultsOfElementsHaveTheirPath, SettingsFixture)
{
  auto& targets = mSidecar["targets"].as_array();
  targets[0].as_object()["endpoint"] = "nowhere";
  targets[1].as_object()["name"] = "inspect-llm-1";
  targets[1].as_object()["colour"] = "red";
  targets.emplace_back("text");
  CheckFaults(mSidecar,
              { "/targets/0/endpoint", "/targets/1/colour", "/targets/1/name", "/targets/2" });
}

// Guards against an entry without log, and a sidecar that cannot load weights.
BOOST_FIXTURE_TEST_CASE(SettingsKeysRequiredByRoleAreReported, SettingsFixture)
{
  mEntry.erase("log");
  mEntry.erase("instance_list");
  CheckFaults(mEntry, { "/instance_list", "/log" });
  mSidecar.erase("weight_store");
  CheckFaults(mSidecar, { "/weight_store" });
  mSidecar["targets"].as_array().erase(mSidecar["targets"].as_array().begin());
  Accepted(mSidecar);
  mSidecar.erase("targets");
  CheckFaults(mSidecar, { "/targets" });
}

// Guards against a file for a sidecar that is started as an entry by mistake.
BOOST_FIXTURE_TEST_CASE(SettingsEntryWithTargetsIsRefused, SettingsFixture)
{
  mEntry["targets"] = mSidecar["targets"];
  CheckFaults(mEntry, { "/targets" });
}

// Guards against values that are each in range but cannot work together.
BOOST_FIXTURE_TEST_CASE(SettingsContradictingDurationsAreRefused, SettingsFixture)
{
  mEntry["config_poll_ms"] = 7000;
  mEntry["config_max_age_with_peers_ms"] = 6999;
  mEntry["hold_interval_ms"] = 60000;
  CheckFaults(mEntry, { "/config_max_age_with_peers_ms", "/config_poll_ms", "/hold_interval_ms" });
}

// Guards against links that contradict each other.
BOOST_FIXTURE_TEST_CASE(SettingsLinkNamedTwiceIsRefused, SettingsFixture)
{
  mEntry["links"] = boost::json::parse(R"([{"from": "a", "to": "b", "delay_us": 1},
    {"from": "b", "to": "a", "delay_us": 2}, {"from": "a", "to": "a", "delay_us": 0}])");
  CheckFaults(mEntry, { "/links/1/to", "/links/2/to" });
}

// Guards against an exception, or silence, for text that is no settings object.
BOOST_FIXTURE_TEST_CASE(SettingsThatAreNoObjectAreRefused, SettingsFixture)
{
  for (const char* text : { "", "{", "[]", "null", "{\"role\":" }) {
    const auto parsed = Parse(text);
    BOOST_REQUIRE_MESSAGE(parsed.index() == 1, text);
    BOOST_TEST(std::get<1>(parsed)[0].mField == "/");
  }
}

// Guards against fractions and numbers beyond the range of the member.
BOOST_FIXTURE_TEST_CASE(SettingsNumbersOutOfRangeAreRefused, SettingsFixture)
{
  mEntry["retention_ms"] = 1.5;
  mEntry["partitions"] = uint64_t{ 1 } << 63;
  mEntry["appends_per_second"] = 0;
  mEntry["owner_timeout_ms"] = -3000;
  CheckFaults(mEntry,
              { "/appends_per_second", "/owner_timeout_ms", "/partitions", "/retention_ms" });
}

}
