#pragma once

#include "sycamore/accounts/quota_share.h"
#include "sycamore/base/clock.h"
#include "sycamore/http/endpoint.h"
#include "sycamore/world/link.h"
#include "sycamore/world/target.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sycamore::settings {

enum class Role : uint8_t
{
  Entry,
  Sidecar,
  Gateway,
};

// A target that a sidecar serves.
struct TargetSettings
{
  world::Target mTarget;
  http::Endpoint mEndpoint;
  uint32_t mMaxRunning = 32; // Calls given to the target at the same time.
};

// How a gateway serves API keys while it cannot tell whether they have been taken away.
struct RevocationSettings
{
  // Whether requests with a key are refused while the configuration is older than mMaxAge.
  bool mStrict = false;
  // Age after which the configuration may lack a change: an unknown key may be new then.
  base::Millis mMaxAge{ 5000 };
};

// Settings of one sycamoreleverd process, as read from its JSON file. docs/settings.md names each
// key.
struct Settings
{
  Role mRole = Role::Entry;
  std::string mInstance;
  std::string mRegion;
  std::string mDomain;
  http::Endpoint mHttp;                               // Callers (entry); dump and metrics (both).
  http::Endpoint mPeer;                               // Other processes of the system.
  std::optional<http::Endpoint> mLog;                 // Entry: required.
  std::optional<http::Endpoint> mInstanceList;        // Entry: required.
  std::optional<http::Endpoint> mWeightStore;         // Sidecar with engines: required.
  std::optional<http::Endpoint> mStore;               // Gateway: required; the platform's store.
  std::optional<http::Endpoint> mReadiness;           // Gateway: required; asked by the balancer.
  std::optional<http::Endpoint> mMetrics;             // Gateway: metrics and state dump.
  std::map<std::string, std::string> mRegionOfDomain; // Gateway: where replicas are.
  uint32_t mStorePartitions = 1;                      // Gateway: that a stream may have.
  base::Millis mStoreRetention{ 0 };                  // Gateway: of records; 0 if not told.
  uint32_t mLinkMbits = 1;                            // Gateway: bandwidth of the machine's link.
  std::vector<world::Link> mLinks;                    // Entry.
  std::vector<TargetSettings> mTargets;               // Sidecar: at least one.
  uint32_t mPartitions = 8;                           // Entry; the same in all entries.
  double mAppendsPerSecond = 300;
  base::Millis mRetention{ 24 * 3600 * 1000LL };
  base::Millis mOwnerTimeout{ 3000 };
  base::Millis mConfigPoll{ 1000 };
  base::Millis mConfigMaxAge{ 7000 };            // Without log and peers.
  base::Millis mConfigMaxAgeWithPeers{ 300000 }; // With peers, without log.
  base::Millis mHoldLease{ 60000 };
  base::Millis mHoldInterval{ 20000 };
  base::Millis mInstanceListPoll{ 1000 };
  base::Millis mDefaultDeadline{ 120000 }; // Of a call without deadline_ms.
  base::Millis mDrainLimit{ 120000 };      // Longest graceful shutdown.
  size_t mHistoryCacheBytes = size_t{ 16 } << 20;
  size_t mMemoryBytes = size_t{ 128 } << 20; // Gateway: that the process may use.
  size_t mDescriptors = 0;                   // Gateway: that the process may use; 0: its limit.
  accounts::QuotaRules mQuota;               // Gateway: of client accounts.
  RevocationSettings mRevocation;            // Gateway.
  size_t mMaxPendingBytes = size_t{ 8 } << 20;
  size_t mMaxBodyBytes = size_t{ 4 } << 20;
  std::string mOrdering = "remaining"; // Sidecar: "remaining", "attained" or "fifo" (baseline).
  std::string mRouting = "cache";      // Entry: "cache" or "load" (baseline).
  std::string mLogLevel = "info";
};

}
