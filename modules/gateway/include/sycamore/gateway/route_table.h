#pragma once

#include "sycamore/accounts/account_table.h"
#include "sycamore/base/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamore::gateway {

// Whether a call may be executed again.
enum class CallKind : uint8_t
{
  Repeatable,    // May run more than once.
  NonIdempotent, // Runs at most once for each attempt of the caller.
  Stream,        // Answered by events; treated as NonIdempotent.
};

// A service that serves a route, and its weight in the traffic split.
struct Backend
{
  std::string mService;
  uint32_t mWeight = 1;
};

// One row of the operator's routes.
struct Route
{
  std::string mName;
  std::string mHost;
  std::string mPathPrefix; // Begins and ends with a slash.
  CallKind mKind = CallKind::NonIdempotent;
  base::Millis mTimeout{ 0 };       // Longest time that a caller is kept waiting.
  base::Millis mLatencyTarget{ 0 }; // Time for a whole answer, or to the first event of a stream.
  base::Millis mGapTarget{ 0 };     // Longest pause between two events of a stream.
  uint32_t mAttempts = 1;           // Most replicas that one attempt of a caller is sent to.
  uint32_t mPriority = 0;           // 0 is the most urgent.
  bool mKeepsHistory = false;       // Requests carry only the new input of a turn.
  bool mResumable = false;          // A stream may be continued after its last event.
  bool mPublic = false;             // Requests need no API key.
  bool mSticky = false;             // Replicas serve an object faster that they served recently.
  base::Millis mRetention{ 0 };     // Time for which a turn can be continued.
  std::vector<Backend> mBackends;   // At least one.
};

// Properties of a service's model engine.
struct EngineProfile
{
  uint32_t mSlots = 1;
  uint64_t mCacheTokens = 0;
  uint32_t mTokensPerEvent = 1;
};

struct Service
{
  std::string mName;
  uint32_t mMaxConnections = 0; // Of one replica, from all callers; 0 if not limited.
  std::optional<EngineProfile> mEngine;
};

// Limits on the size and duration of callers' requests.
struct CallerLimits
{
  size_t mMaxHeaderBytes = 16384;
  size_t mMaxBodyBytes = size_t{ 4 } << 20;
  base::Millis mHeaderTimeout{ 3000 };
  base::Millis mIdleTimeout{ 15000 };
};

// The operator's configuration as a whole. A higher version replaces a lower one.
struct RouteTable
{
  uint64_t mVersion = 0;
  std::vector<Route> mRoutes;
  std::map<std::string, Service> mServices;
  accounts::AccountTable mAccounts;
  CallerLimits mLimits;
};

// Whether a call on aRoute may run more than once.
bool
MayRunAgain(const Route& aRoute);

// The route of aHost whose prefix is the longest that begins aPath, or null if none does. A port in
// aHost and its case are ignored; aPath may carry a query.
const Route*
FindRoute(const RouteTable& aTable, std::string_view aHost, std::string_view aPath);

// Selects the service for aKey by the weights of aRoute. All calls of one key go to the same
// service while the weights are unchanged.
const std::string&
ServiceFor(const Route& aRoute, std::string_view aKey);

}
