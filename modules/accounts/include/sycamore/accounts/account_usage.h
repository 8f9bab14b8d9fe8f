#pragma once

#include "sycamore/accounts/account.h"
#include "sycamore/accounts/quota_share.h"
#include "sycamore/accounts/sliding_count.h"
#include "sycamore/accounts/usage_row.h"
#include "sycamore/base/clock.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace sycamore::accounts {

// Whether a request may go on, with the figures that decided it.
struct QuotaVerdict
{
  bool mAllowed = true;
  uint32_t mAdmitted = 0; // Requests of the window that this gateway let through.
  double mShare = 0;      // Of these that it may let through.
  double mLimit = 0;      // Of all gateways together; 0 if there is none.
  double mOthers = 0;     // Demand at other gateways, as last heard.
  base::Millis mRetryAfter{ 0 };
};

// The requests of accounts at one gateway, and which of them may go on. What other gateways have is
// heard by messages; see quota_share.h. Accounts without a limit are not counted. Not thread-safe.
class AccountUsage
{
public:
  // aInstance is the name of this gateway.
  AccountUsage(const QuotaRules& aRules, std::string_view aInstance);

  // Sets the number of gateways of the deployment.
  void SetGateways(size_t aCount) { mGateways = aCount; }

  // Counts a request of aAccount at aNow and, if it may go on, that it does. aBegins tells that a
  // program begins with it: its further requests need the quota too, so that it is refused sooner
  // than those of programs that have begun.
  QuotaVerdict Admit(const Account& aAccount, base::TimePoint aNow, bool aBegins = false);

  // Takes back a request that was let through at aAdmittedAt and reached no replica.
  void Return(uint64_t aAccount, base::TimePoint aAdmittedAt, base::TimePoint aNow);

  // The requests of accounts that have changed since they were last reported, or with aAll those of
  // all accounts.
  UsageRows Report(bool aAll, base::TimePoint aNow);

  // Records that others have aRows of a report.
  void MarkReported(const UsageRows& aRows);

  // Records the requests of accounts at other gateways, as heard at aNow. Accounts that are not in
  // aRows have none that matter: no request of theirs was reported from here, and their demand is
  // not near their limit. aKnowledgeAge is that of the hub, see UsageTotals.
  void HearOthers(const UsageRows& aRows, base::Millis aKnowledgeAge, base::TimePoint aNow);

  // Whether the demand of an account is above aPart of its limit, as far as this gateway knows.
  bool IsNearLimit(double aPart, base::TimePoint aNow);

  // Forgets accounts without requests in the window.
  void Expire(base::TimePoint aNow);

  size_t Size() const { return mStates.size(); }

private:
  struct State
  {
    SlidingCount mDemand;
    SlidingCount mAdmitted;
    double mLimit = 0; // Granted to the account when it last sent a request.
    Usage mReported;
    Usage mOthers;
    double mOthersPerSecond = 0; // By which the demand there grew.
    Usage mOwnAtHearing;
    base::TimePoint mHeardAt; // When mOthers was last told.
  };

  Usage OwnUsage(State& aState, base::TimePoint aNow) const;
  void Hear(State& aState, const Usage& aOthers, base::TimePoint aNow);
  AccountDemand DemandOf(State& aState, base::TimePoint aNow) const;
  double RoundingOf(uint64_t aAccount, base::TimePoint aNow) const;

  const QuotaRules mRules;
  const uint64_t mInstance; // Hash.
  size_t mGateways = 1;
  base::TimePoint mKnownSince;                 // By the hub that was heard last.
  base::TimePoint mHeardAt;                    // Of others at all; the epoch if never.
  std::unordered_map<uint64_t, State> mStates; // By account.
};

}
