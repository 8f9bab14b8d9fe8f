#include "sycamore/settings/parse.h"

#include "object_reader.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <set>
#include <span>
#include <utility>

namespace sycamore::settings {

using base::Millis;

static constexpr Millis kMinute{ 60 * 1000 };
static constexpr Millis kHour{ 60 * kMinute };
static constexpr Millis kDay{ 24 * kHour };

// Time that a process needs to end after its last call, before it is killed.
static constexpr Millis kStopMargin{ 700 };

static constexpr std::string_view kOrderings[] = { "remaining", "attained", "fifo" };
static constexpr std::string_view kRoutings[] = { "cache", "load" };
static constexpr std::string_view kLogLevels[] = { "debug", "info", "warning", "error" };

static void
ReadChoice(ObjectReader& aReader,
           std::string_view aKey,
           std::span<const std::string_view> aChoices,
           std::string& aOut)
{
  const auto index = aReader.Choice(aKey, Presence::Optional, { aChoices.begin(), aChoices.end() });
  if (index) {
    aOut = aChoices[*index];
  }
}

static std::optional<Role>
ReadRole(ObjectReader& aReader)
{
  const auto index = aReader.Choice("role", Presence::Required, { "entry", "sidecar", "gateway" });
  if (!index) {
    return std::nullopt;
  }
  static constexpr Role kRoles[] = { Role::Entry, Role::Sidecar, Role::Gateway };
  return kRoles[*index];
}

static void
ReadIdentity(ObjectReader& aReader, Settings& aOut)
{
  aReader.Name("instance", Presence::Required, aOut.mInstance);
  aReader.Name("region", Presence::Required, aOut.mRegion);
  aReader.Name("domain", Presence::Required, aOut.mDomain);
  aReader.Endpoint("http", Presence::Required, PortZero::Allowed, aOut.mHttp);
  aReader.Endpoint("peer", Presence::Required, PortZero::Refused, aOut.mPeer);
  if (aOut.mHttp == aOut.mPeer && aOut.mPeer.mPort != 0) {
    aReader.Fault("peer", "must differ from http");
  }
}

static void
ReadLinks(ObjectReader& aReader, Settings& aOut)
{
  std::set<std::pair<std::string, std::string>> seen;
  for (ObjectReader& reader : aReader.Objects("links")) {
    world::Link link;
    reader.Name("from", Presence::Required, link.mFrom);
    reader.Name("to", Presence::Required, link.mTo);
    reader.Duration(
      "delay_us", base::Micros(0), base::Seconds(10), link.mDelay, Presence::Required);
    reader.Real("cost_per_megabyte", 0, 1e6, link.mCostPerMegabyte);
    reader.RefuseUnknown();
    if (link.mFrom.empty() || link.mTo.empty()) {
      continue;
    }
    if (link.mFrom == link.mTo) {
      reader.Fault("to", "must be another region than from");
    } else if (!seen.insert(std::minmax(link.mFrom, link.mTo)).second) {
      reader.Fault("to", "names a pair of regions that an earlier link names already");
    }
    aOut.mLinks.push_back(std::move(link));
  }
}

static TargetSettings
ReadTarget(ObjectReader& aReader)
{
  TargetSettings target;
  aReader.Name("name", Presence::Required, target.mTarget.mName);
  aReader.Name("service", Presence::Required, target.mTarget.mService);
  const auto kind = aReader.Choice("kind", Presence::Required, { "engine", "tool" });
  target.mTarget.mKind = kind == 1 ? world::TargetKind::Tool : world::TargetKind::Engine;
  aReader.Boolean("checks_fence", target.mTarget.mChecksFence);
  aReader.Endpoint("endpoint", Presence::Required, PortZero::Refused, target.mEndpoint);
  aReader.Integer<uint32_t>("max_running", 1, 100000, target.mMaxRunning);
  aReader.RefuseUnknown();
  return target;
}

static void
ReadTargets(ObjectReader& aReader, Settings& aOut)
{
  std::set<std::string> names;
  for (ObjectReader& reader : aReader.Objects("targets")) {
    TargetSettings target = ReadTarget(reader);
    const std::string& name = target.mTarget.mName;
    if (!name.empty() && !names.insert(name).second) {
      reader.Fault("name", "is the name of an earlier target; names must be unique");
    }
    aOut.mTargets.push_back(std::move(target));
  }
}

static void
ReadPlatform(ObjectReader& aReader, std::optional<Role> aRole, Settings& aOut)
{
  const bool entry = aRole == Role::Entry;
  const Presence forEntry = entry ? Presence::Required : Presence::Optional;
  aReader.Endpoint("log", forEntry, aOut.mLog);
  aReader.Endpoint("instance_list", forEntry, aOut.mInstanceList);
  const Presence forGateway = aRole == Role::Gateway ? Presence::Required : Presence::Optional;
  aReader.Endpoint("store", forGateway, aOut.mStore);
  aReader.Endpoint("readiness", forGateway, aOut.mReadiness);
  aReader.Endpoint("metrics", Presence::Optional, aOut.mMetrics);
  aReader.Names("regions", aOut.mRegionOfDomain);
  ReadLinks(aReader, aOut);
  ReadTargets(aReader, aOut);
  bool hasEngine = false;
  for (const TargetSettings& target : aOut.mTargets) {
    hasEngine = hasEngine || target.mTarget.mKind == world::TargetKind::Engine;
  }
  const bool needsStore = aRole == Role::Sidecar && hasEngine;
  aReader.Endpoint(
    "weight_store", needsStore ? Presence::Required : Presence::Optional, aOut.mWeightStore);
}

static void
CheckTargetsOfRole(ObjectReader& aReader, Role aRole, const boost::json::object& aObject)
{
  const boost::json::value* targets = aObject.if_contains("targets");
  const bool empty = targets == nullptr || (targets->is_array() && targets->get_array().empty());
  if (aRole == Role::Sidecar && empty) {
    aReader.Fault("targets", "must name at least one target; a sidecar serves targets");
  }
  if (aRole != Role::Sidecar && !empty) {
    aReader.Fault("targets", "must be absent; only a sidecar serves targets");
  }
}

static void
ReadDurations(ObjectReader& aReader, Settings& aOut)
{
  aReader.Duration("retention_ms", Millis(1000), 365 * kDay, aOut.mRetention);
  aReader.Duration("owner_timeout_ms", Millis(100), kMinute, aOut.mOwnerTimeout);
  aReader.Duration("config_poll_ms", Millis(10), kMinute, aOut.mConfigPoll);
  aReader.Duration("config_max_age_ms", Millis(100), kHour, aOut.mConfigMaxAge);
  aReader.Duration("config_max_age_with_peers_ms", Millis(100), kDay, aOut.mConfigMaxAgeWithPeers);
  aReader.Duration("hold_lease_ms", Millis(100), kHour, aOut.mHoldLease);
  aReader.Duration("hold_interval_ms", Millis(10), kHour, aOut.mHoldInterval);
  aReader.Duration("instance_list_poll_ms", Millis(10), kMinute, aOut.mInstanceListPoll);
  aReader.Duration("default_deadline_ms", Millis(100), kDay, aOut.mDefaultDeadline);
  aReader.Duration("drain_limit_ms", Millis(100), kDay, aOut.mDrainLimit);
  double storeRetentionSeconds = 0;
  aReader.Real("store_retention_s", 1, 1e9, storeRetentionSeconds);
  aOut.mStoreRetention = Millis(static_cast<int64_t>(storeRetentionSeconds * 1000));
  double linkMbits = aOut.mLinkMbits;
  aReader.Real("link_mbits", 1, 1e6, linkMbits);
  aOut.mLinkMbits = static_cast<uint32_t>(linkMbits);
  double graceSeconds = 0;
  aReader.Real("stop_grace_s", 1, 86400, graceSeconds);
  if (graceSeconds > 0) {
    const Millis grace(static_cast<int64_t>(graceSeconds * 1000));
    aOut.mDrainLimit = std::min(aOut.mDrainLimit, grace - kStopMargin);
  }
}

static void
ReadAccountRules(ObjectReader& aReader, Settings& aOut)
{
  double windowSeconds = std::chrono::duration<double>(aOut.mQuota.mWindow).count();
  aReader.Real("quota_window_s", 0.1, 3600, windowSeconds);
  aOut.mQuota.mWindow = Millis(static_cast<int64_t>(windowSeconds * 1000));
  aReader.Real("quota_slack", 0, 1e6, aOut.mQuota.mSlack);
  aReader.Boolean("revoke_strict", aOut.mRevocation.mStrict);
  aReader.Duration("revoke_ms", Millis(100), kHour, aOut.mRevocation.mMaxAge);
}

static void
CheckDurations(ObjectReader& aReader, const Settings& aSettings)
{
  if (aSettings.mConfigPoll >= aSettings.mConfigMaxAge) {
    aReader.Fault("config_poll_ms", "must be less than config_max_age_ms");
  }
  if (aSettings.mConfigMaxAge > aSettings.mConfigMaxAgeWithPeers) {
    aReader.Fault("config_max_age_with_peers_ms", "must not be less than config_max_age_ms");
  }
  if (aSettings.mHoldInterval >= aSettings.mHoldLease) {
    aReader.Fault("hold_interval_ms", "must be less than hold_lease_ms");
  }
}

static void
ReadLimits(ObjectReader& aReader, Settings& aOut)
{
  constexpr size_t kKilobyte = 1024;
  constexpr size_t kMegabyte = size_t{ 1 } << 20;
  constexpr size_t kGigabyte = size_t{ 1 } << 30;
  aReader.Integer<uint32_t>("partitions", 1, 1024, aOut.mPartitions);
  aReader.Integer<uint32_t>("store_partitions", 1, 1024, aOut.mStorePartitions);
  aReader.Real("appends_per_second", 0.1, 100000, aOut.mAppendsPerSecond);
  aReader.Integer<size_t>("history_cache_bytes", 0, 64 * kGigabyte, aOut.mHistoryCacheBytes);
  size_t memoryMegabytes = aOut.mMemoryBytes / kMegabyte;
  aReader.Integer<size_t>("memory_mb", 16, size_t{ 1 } << 20, memoryMegabytes);
  aOut.mMemoryBytes = memoryMegabytes * kMegabyte;
  aReader.Integer<size_t>("max_descriptors", 64, size_t{ 1 } << 20, aOut.mDescriptors);
  aReader.Integer<size_t>("max_pending_bytes", kKilobyte, kGigabyte, aOut.mMaxPendingBytes);
  aReader.Integer<size_t>("max_body_bytes", kKilobyte, kGigabyte, aOut.mMaxBodyBytes);
  ReadChoice(aReader, "ordering", kOrderings, aOut.mOrdering);
  ReadChoice(aReader, "routing", kRoutings, aOut.mRouting);
  ReadChoice(aReader, "log_level", kLogLevels, aOut.mLogLevel);
}

static Settings
ReadSettings(const boost::json::object& aObject, std::vector<base::Error>& aFaults)
{
  Settings settings;
  ObjectReader reader(aObject, "", aFaults);
  const std::optional<Role> role = ReadRole(reader);
  settings.mRole = role.value_or(Role::Entry);
  ReadIdentity(reader, settings);
  ReadPlatform(reader, role, settings);
  if (role) {
    CheckTargetsOfRole(reader, *role, aObject);
  }
  ReadDurations(reader, settings);
  CheckDurations(reader, settings);
  ReadLimits(reader, settings);
  ReadAccountRules(reader, settings);
  reader.RefuseUnknown();
  return settings;
}

std::variant<Settings, std::vector<base::Error>>
Parse(std::string_view aJson)
{
  boost::json::error_code error;
  const boost::json::value root = boost::json::parse(aJson, error);
  if (error) {
    return std::vector<base::Error>{
      { base::ErrorKind::InvalidSettings, fmt::format("is no JSON: {}", error.message()), "/" }
    };
  }
  if (!root.is_object()) {
    return std::vector<base::Error>{
      { base::ErrorKind::InvalidSettings, "must be an object", "/" }
    };
  }
  std::vector<base::Error> faults;
  Settings settings = ReadSettings(root.get_object(), faults);
  if (!faults.empty()) {
    return faults;
  }
  return settings;
}

}
