#include "sycamore/accounts/usage_totals.h"

#include "sycamore/accounts/quota_share.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace sycamore::accounts {

using base::TimePoint;

// How long the own hub counts what others keep of its failure domain after one of them told it;
// they tell it at least every two seconds.
static constexpr base::Millis kKeptLifetime{ 4000 };

static std::string
KeyOf(UsageTotals::Scope aScope, const std::string& aSender)
{
  return (aScope == UsageTotals::Scope::Gateway ? "gateway/" : "domain/") + aSender;
}

static std::string
EndedPrefix(const std::string& aKey)
{
  return "ended/" + aKey + "/";
}

UsageTotals::UsageTotals(base::Millis aWindow, IsHot aIsHot)
  : mWindow(aWindow)
  , mIsHot(std::move(aIsHot))
{
}

void
UsageTotals::Set(Sender& aSender, uint64_t aAccount, const Usage& aUsage)
{
  const auto entry = aSender.mUsage.find(aAccount);
  const Usage before = entry == aSender.mUsage.end() ? Usage{} : entry->second;
  if (before == aUsage) {
    return;
  }
  Sums& sums = mSums[aAccount];
  Usage& sum = aSender.mScope == Scope::Gateway ? sums.mDomain : sums.mOtherDomains;
  sum = sum - before + aUsage;
  if (aUsage == Usage{}) {
    aSender.mUsage.erase(aAccount);
  } else {
    aSender.mUsage[aAccount] = aUsage;
  }
  if (mIsHot(aAccount, sums.Total().mDemand)) {
    mHot.insert(aAccount);
  } else {
    mHot.erase(aAccount);
  }
  if (sums.Total() == Usage{}) {
    mSums.erase(aAccount);
  }
}

void
UsageTotals::JudgeHot()
{
  mHot.clear();
  for (const auto& [account, sums] : mSums) {
    if (mIsHot(account, sums.Total().mDemand)) {
      mHot.insert(account);
    }
  }
}

void
UsageTotals::Drop(Sender& aSender)
{
  while (!aSender.mUsage.empty()) {
    Set(aSender, aSender.mUsage.begin()->first, {});
  }
}

void
UsageTotals::KeepEnded(const std::string& aKey, const Sender& aSender, const UsageRows& aNext)
{
  Sender& ended = mSenders[EndedPrefix(aKey) + fmt::format("{:x}", aSender.mEpoch)];
  ended.mScope = aSender.mScope;
  ended.mEpoch = aSender.mEpoch;
  ended.mEnded = true;
  ended.mHeardAt = aSender.mHeardAt;
  ended.mLifetime = aSender.mScope == Scope::Gateway ? mWindow : kReportLifetime;
  std::unordered_map<uint64_t, uint32_t> admitted;
  for (const auto& [account, usage] : aSender.mUsage) {
    admitted[account] = usage.mAdmitted;
  }
  if (aSender.mScope == Scope::Domain) {
    for (const UsageRow& row : aNext) {
      uint32_t& before = admitted[row.mAccount];
      before -= std::min(before, row.mUsage.mAdmitted);
    }
  }
  for (const auto& [account, count] : admitted) {
    Set(ended, account, { count, count });
  }
}

UsageRows
UsageTotals::KeptOf(const std::string& aDomain) const
{
  std::unordered_map<uint64_t, Usage> sums;
  const std::string prefix = EndedPrefix(KeyOf(Scope::Domain, aDomain));
  for (auto entry = mSenders.lower_bound(prefix);
       entry != mSenders.end() && entry->first.starts_with(prefix);
       ++entry) {
    for (const auto& [account, usage] : entry->second.mUsage) {
      sums[account] = sums[account] + usage;
    }
  }
  UsageRows rows;
  for (const auto& [account, usage] : sums) {
    rows.push_back({ account, usage });
  }
  return rows;
}

void
UsageTotals::HearKept(const UsageRows& aRows, TimePoint aNow)
{
  if (aRows.empty()) {
    return; // Not every hub has heard of the earlier one.
  }
  // It is no part of the own reports: the others count it already.
  Sender& kept = mSenders["kept"];
  kept.mScope = Scope::Domain;
  kept.mHeardAt = aNow;
  kept.mLifetime = kKeptLifetime;
  Drop(kept);
  for (const UsageRow& row : aRows) {
    Set(kept, row.mAccount, row.mUsage);
  }
}

bool
UsageTotals::Apply(Scope aScope,
                   const std::string& aSender,
                   uint64_t aEpoch,
                   bool aFull,
                   base::Millis aCountsFor,
                   const UsageRows& aRows,
                   TimePoint aNow)
{
  const std::string key = KeyOf(aScope, aSender);
  const auto known = mSenders.find(key);
  if (!aFull && (known == mSenders.end() || known->second.mEpoch != aEpoch)) {
    return false;
  }
  Sender& sender = mSenders[key];
  if (sender.mEpoch != 0 && sender.mEpoch != aEpoch) {
    KeepEnded(key, sender, aRows);
  }
  sender.mScope = aScope;
  sender.mEpoch = aEpoch;
  sender.mHeardAt = aNow;
  sender.mLifetime = kReportLifetime;
  sender.mCountsSince = aNow - aCountsFor;
  if (aFull) {
    Drop(sender);
  }
  for (const UsageRow& row : aRows) {
    Set(sender, row.mAccount, row.mUsage);
  }
  return true;
}

UsageRows
UsageTotals::Elsewhere(const std::string& aGateway) const
{
  UsageRows rows;
  const auto sender = mSenders.find(KeyOf(Scope::Gateway, aGateway));
  const bool known = sender != mSenders.end();
  if (known) {
    for (const auto& [account, usage] : sender->second.mUsage) {
      rows.push_back({ account, mSums.at(account).Total() - usage });
    }
  }
  for (const uint64_t account : mHot) {
    if (!known || !sender->second.mUsage.contains(account)) {
      rows.push_back({ account, mSums.at(account).Total() });
    }
  }
  return rows;
}

UsageRows
UsageTotals::ForDomain(const std::string& aDomain, bool aAll) const
{
  UsageRows rows;
  const auto told = mTold.find(aDomain);
  for (const auto& [account, sums] : mSums) {
    Usage before;
    if (!aAll && told != mTold.end()) {
      const auto entry = told->second.find(account);
      before = entry == told->second.end() ? Usage{} : entry->second;
    }
    if (sums.mDomain != before) {
      rows.push_back({ account, sums.mDomain });
    }
  }
  if (aAll || told == mTold.end()) {
    return rows;
  }
  for (const auto& [account, usage] : told->second) {
    if (!mSums.contains(account)) {
      rows.push_back({ account, {} });
    }
  }
  return rows;
}

void
UsageTotals::MarkTold(const std::string& aDomain, const UsageRows& aRows, bool aAll)
{
  auto& told = mTold[aDomain];
  if (aAll) {
    told.clear();
  }
  for (const UsageRow& row : aRows) {
    if (row.mUsage == Usage{}) {
      told.erase(row.mAccount);
    } else {
      told[row.mAccount] = row.mUsage;
    }
  }
}

base::Millis
UsageTotals::KnowledgeAge(TimePoint aNow) const
{
  base::Millis sum{ 0 };
  int gateways = 0;
  for (const auto& [key, sender] : mSenders) {
    if (sender.mScope == Scope::Gateway && !sender.mEnded) {
      const auto counted = std::chrono::duration_cast<base::Millis>(aNow - sender.mCountsSince);
      sum += std::min(counted, mWindow);
      ++gateways;
    }
  }
  return gateways == 0 ? base::Millis(0) : sum / gateways;
}

void
UsageTotals::Expire(TimePoint aNow)
{
  for (auto entry = mSenders.begin(); entry != mSenders.end();) {
    if (aNow - entry->second.mHeardAt > entry->second.mLifetime) {
      Drop(entry->second);
      entry = mSenders.erase(entry);
    } else {
      ++entry;
    }
  }
}

}
