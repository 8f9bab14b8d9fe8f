#pragma once

#include "sycamore/accounts/usage_row.h"
#include "sycamore/base/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace sycamore::accounts {

// The requests of accounts at all gateways, as the hub of a failure domain knows it: reports of the
// gateways of its failure domain, and those of the hubs of the others, each about its failure
// domain as a whole. The last report of a sender counts for kReportLifetime, since one that is cut
// off may still send requests. Not thread-safe.
class UsageTotals
{
public:
  // Whether the demand of an account, in all, is so near its limit that all gateways have to know
  // it.
  using IsHot = std::function<bool(uint64_t aAccount, uint32_t aDemand)>;

  // aWindow is the one in which requests are counted.
  UsageTotals(base::Millis aWindow, IsHot aIsHot);

  // What a report is about.
  enum class Scope : uint8_t
  {
    Gateway, // Of the own failure domain.
    Domain,  // Another failure domain.
  };

  // Records a report about aSender, made by the process that aEpoch identifies. With aFull it
  // replaces all that was reported before, else it tells what has changed. Returns false and
  // records nothing if the changes refer to reports that are not known here: the sender has to
  // report in full. aCountsFor is how long the sender has counted requests. What an earlier process
  // knew still counts for a while.
  bool Apply(Scope aScope,
             const std::string& aSender,
             uint64_t aEpoch,
             bool aFull,
             base::Millis aCountsFor,
             const UsageRows& aRows,
             base::TimePoint aNow);

  // Whether any account is hot.
  bool AnyHot() const { return !mHot.empty(); }

  // Judges again which accounts are hot; after a change of their limits.
  void JudgeHot();

  // The requests at all gateways but aGateway of the accounts that it has reported, and of the hot
  // ones.
  UsageRows Elsewhere(const std::string& aGateway) const;

  // The demand in the own failure domain that has changed since it was last told to aDomain, or
  // with aAll every demand that is not zero.
  UsageRows ForDomain(const std::string& aDomain, bool aAll) const;

  // What an earlier hub of aDomain knew and the present one does not, which is told it in the
  // answer to its reports.
  UsageRows KeptOf(const std::string& aDomain) const;

  // Records what the hub of another failure domain keeps of the own one; see KeptOf.
  void HearKept(const UsageRows& aRows, base::TimePoint aNow);

  // Records that the hub of aDomain has aRows; with aAll, and nothing else.
  void MarkTold(const std::string& aDomain, const UsageRows& aRows, bool aAll);

  // The part of the last window that is known, as time: the mean of how long the gateways of the
  // failure domain have counted, each a window at most. What processes let through that have ended
  // is not known. Zero without a gateway.
  base::Millis KnowledgeAge(base::TimePoint aNow) const;

  // Drops the reports of senders that were not heard for kReportLifetime.
  void Expire(base::TimePoint aNow);

private:
  struct Sender
  {
    Scope mScope = Scope::Gateway;
    uint64_t mEpoch = 0;                        // Of the process that made its reports.
    std::unordered_map<uint64_t, Usage> mUsage; // By account; none is zero.
    base::TimePoint mHeardAt;
    base::TimePoint mCountsSince;
    bool mEnded = false;         // The process has ended.
    base::Millis mLifetime{ 0 }; // After mHeardAt.
  };

  struct Sums
  {
    Usage mDomain;
    Usage mOtherDomains;

    Usage Total() const { return mDomain + mOtherDomains; }
  };

  // Sets the requests of one account at aSender.
  void Set(Sender& aSender, uint64_t aAccount, const Usage& aUsage);
  void Drop(Sender& aSender);
  // Keeps what the process that made the reports of aSender knew and the next one, which reports
  // aNext, does not: what a gateway let through before its restart, or the gateways of a failure
  // domain that the next hub does not hear.
  void KeepEnded(const std::string& aKey, const Sender& aSender, const UsageRows& aNext);

  const base::Millis mWindow;
  const IsHot mIsHot;
  std::map<std::string, Sender> mSenders;                           // By scope and name.
  std::unordered_map<uint64_t, Sums> mSums;                         // By account.
  std::unordered_set<uint64_t> mHot;                                // Of mSums.
  std::map<std::string, std::unordered_map<uint64_t, Usage>> mTold; // By domain, then account.
};

}
