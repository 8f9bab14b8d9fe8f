#pragma once

#include "call_slots.h"
#include "call_trace.h"
#include "caller_link.h"
#include "request_hash.h"
#include "sycamore/base/clock.h"
#include "sycamore/gateway/call_head.h"
#include "sycamore/gateway/route_table.h"

#include <memory>
#include <optional>
#include <string>

namespace sycamore::gateway {

// A caller's request and the route that it matches.
struct Call
{
  CallerRequest mRequest;
  CallHead mHead;
  std::shared_ptr<const RouteTable> mTable; // Keeps mRoute alive.
  const Route* mRoute = nullptr;
  const Service* mService = nullptr; // Null if the table does not describe it.
  std::string mServiceName;
  std::string mTurnName; // Of the turn that the call completes, for its records; see BoundedName.
  RequestHash mHash;
  base::TimePoint mArrived;
  base::TimePoint mDeadline; // The caller's, or the route's timeout if that is earlier.
  CallTrace mTrace;
  const accounts::Account* mAccount = nullptr; // In mTable; null on a public route.
  std::optional<accounts::KeyDigest> mKey;     // That the caller sent; set with mAccount.
  uint64_t mAccountId = accounts::kUnknownAccount;
  std::optional<CallSlots::Hold> mSlot; // While it may need a connection to a replica.
  bool mMayHaveRun = false;             // A replica that may have run it has received it.

  // The engine of the service; null if it has none, or the table does not describe it.
  const EngineProfile* Engine() const
  {
    return mService != nullptr && mService->mEngine ? &*mService->mEngine : nullptr;
  }

  // The memory of that engine; 0 if unknown.
  uint64_t CacheTokens() const { return Engine() != nullptr ? Engine()->mCacheTokens : 0; }
};

}
