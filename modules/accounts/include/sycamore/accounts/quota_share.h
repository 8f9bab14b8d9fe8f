#pragma once

#include "sycamore/accounts/account.h"
#include "sycamore/accounts/usage_row.h"
#include "sycamore/base/clock.h"

#include <cstddef>

namespace sycamore::accounts {

// How the requests of an account are counted.
struct QuotaRules
{
  base::Millis mWindow{ 5000 };
  // Requests that a window may hold beyond the limit. Half of them are granted to every account,
  // since the limits of small ones are below the calls of one program; the rest covers what
  // gateways have not heard of each other yet.
  double mSlack = 0;
};

// How long the demand of a gateway counts at the others after they last heard from it. A gateway
// that is cut off for less keeps its share; after it, the others share the limit without it.
inline constexpr base::Millis kReportLifetime{ 10000 };

// The requests that gateways may let through together in a window, and how many more before the
// limit is broken.
struct QuotaRoom
{
  double mGranted = 0;
  double mReserve = 0;
};

// What a gateway knows of the requests of an account in the last window.
struct AccountDemand
{
  Usage mOwn;                  // At this gateway, the present request included in the demand.
  Usage mOwnAtHearing;         // mOwn when it last heard of others.
  Usage mOthers;               // At all other gateways together, as last heard.
  double mOthersPerSecond = 0; // By which the demand there grew; 0 if it did not.
  bool mHeard = false;         // Whether it ever heard of others.
  base::Millis mAge{ 0 };      // Since it last did.
  base::Millis mWindow{ 5000 };
  // Part of the last window that the gateways have counted, see UsageTotals::KnowledgeAge.
  double mKnownPart = 0;
  size_t mGateways = 1; // Of the deployment.
};

QuotaRoom
RoomFor(const RequestLimit& aLimit, const QuotaRules& aRules);

// The requests of a window that this gateway may let through: all of them while the demand of all
// gateways is within what is granted. Beyond it, those that it had let through when it last heard
// of the others, and a part of what was left then: that of its requests among those that all
// gateways get until they hear of each other again. So gateways that hear the same take what is
// left once, not each of them. Demand that is only expected counts where it exceeds the reserve.
double
OwnShare(const QuotaRoom& aRoom, const AccountDemand& aDemand);

}
