#pragma once

#include "sycamore/accounts/account_usage.h"
#include "sycamore/accounts/usage_totals.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace sycamore::accounts {

// Gateways of several failure domains that share the quotas of accounts, with a virtual clock and
// messages that take time or are lost. Requests run at once when they are let through. Each step is
// 10 ms.
class QuotaModel
{
public:
  static constexpr base::Millis kStep{ 10 };
  static constexpr base::Millis kReportInterval{ 50 };
  // One way, between gateways of a failure domain and of two regions.
  static constexpr base::Millis kNearDelay{ 1 };
  static constexpr base::Millis kFarDelay{ 31 };

  QuotaModel(size_t aDomains, size_t aGatewaysPerDomain, uint64_t aSeed);

  // Requests a second of aAccount, at gateways that are drawn with the weight of each.
  void SetDemand(const Account& aAccount, double aPerSecond);

  // All requests of an account come to one gateway.
  void Concentrate(const Account& aAccount, size_t aGateway) { mOnly[aAccount.mId] = aGateway; }

  void Run(base::Millis aTime);

  // Ends the process of a gateway; another one starts there at once and knows nothing.
  void Restart(size_t aGateway);

  // Messages to and from a gateway are lost until it is joined again; its requests go on.
  void Cut(size_t aGateway, bool aIsCut) { mGateways[aGateway].mCut = aIsCut; }

  // A frozen gateway runs nothing; its requests wait and run when it wakes.
  void Freeze(size_t aGateway, bool aIsFrozen) { mGateways[aGateway].mFrozen = aIsFrozen; }

  size_t GatewayCount() const { return mGateways.size(); }

  // The most requests of aAccount that ran in any window so far.
  size_t MostInAWindow(const Account& aAccount) const;

  // Requests of aAccount that ran in the last aTime.
  size_t RanIn(const Account& aAccount, base::Millis aTime) const;

  // Requests of aAccount that were refused so far.
  size_t Refused(const Account& aAccount) const;

  const QuotaRules& Rules() const { return mRules; }

private:
  struct Gateway
  {
    size_t mDomain = 0;
    std::string mName;
    double mWeight = 1;
    uint64_t mEpoch = 0;
    base::TimePoint mStartedAt;
    bool mCut = false;
    bool mFrozen = false;
    std::unique_ptr<AccountUsage> mUsage;
    std::unique_ptr<UsageTotals> mTotals;
    std::string mReportedTo;             // Hub and its epoch; empty if to none.
    std::map<size_t, std::string> mTold; // The same for hubs of other domains.
    std::vector<Account> mWaiting;       // While it is frozen.
  };

  struct Message
  {
    base::TimePoint mArrives;
    std::function<void()> mDeliver;
  };

  struct Demand
  {
    Account mAccount;
    double mPerSecond = 0;
  };

  void Start(Gateway& aGateway);
  base::Millis CountsFor(const Gateway& aGateway) const;
  void Send(size_t aFrom, size_t aTo, std::function<void()> aDeliver);
  // The first gateway of a domain that is reached from aFrom.
  size_t HubOf(size_t aDomain, size_t aFrom) const;
  bool Reaches(size_t aFrom, size_t aTo) const;
  void Request(size_t aGateway, const Account& aAccount);
  void Exchange(size_t aGateway);
  void TellDomain(size_t aGateway, size_t aDomain);
  bool IsHot(uint64_t aAccount, uint32_t aDemand) const;

  const QuotaRules mRules{ base::Millis(5000), 20 };
  std::mt19937_64 mRandom;
  base::TimePoint mNow = base::TimePoint(base::Seconds(100000));
  uint64_t mLastEpoch = 0;
  size_t mDomains;
  std::vector<Gateway> mGateways;
  std::deque<Message> mMessages;
  std::map<uint64_t, Demand> mDemand;
  std::map<uint64_t, size_t> mOnly;
  std::map<uint64_t, std::vector<base::TimePoint>> mRan;
  std::map<uint64_t, size_t> mRefused;
};

}
