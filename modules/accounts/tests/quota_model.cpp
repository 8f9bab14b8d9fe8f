#include "quota_model.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace sycamore::accounts {

using base::Millis;
using base::TimePoint;

QuotaModel::QuotaModel(size_t aDomains, size_t aGatewaysPerDomain, uint64_t aSeed)
  : mRandom(aSeed)
  , mDomains(aDomains)
{
  for (size_t i = 0; i < aDomains * aGatewaysPerDomain; ++i) {
    Gateway gateway;
    gateway.mDomain = i / aGatewaysPerDomain;
    gateway.mName = fmt::format("front-{}", i);
    gateway.mWeight = std::uniform_real_distribution<>(0.2, 2)(mRandom);
    mGateways.push_back(std::move(gateway));
  }
  for (Gateway& gateway : mGateways) {
    Start(gateway);
  }
}

void
QuotaModel::Start(Gateway& aGateway)
{
  aGateway.mEpoch = ++mLastEpoch;
  aGateway.mStartedAt = mNow;
  aGateway.mUsage = std::make_unique<AccountUsage>(mRules, aGateway.mName);
  aGateway.mUsage->SetGateways(mGateways.size());
  aGateway.mTotals =
    std::make_unique<UsageTotals>(mRules.mWindow, [this](uint64_t aAccount, uint32_t aDemand) {
      return IsHot(aAccount, aDemand);
    });
  aGateway.mReportedTo.clear();
  aGateway.mTold.clear();
  aGateway.mWaiting.clear();
}

void
QuotaModel::Restart(size_t aGateway)
{
  Start(mGateways[aGateway]);
}

void
QuotaModel::SetDemand(const Account& aAccount, double aPerSecond)
{
  mDemand[aAccount.mId] = { aAccount, aPerSecond };
}

Millis
QuotaModel::CountsFor(const Gateway& aGateway) const
{
  return std::chrono::duration_cast<Millis>(mNow - aGateway.mStartedAt);
}

bool
QuotaModel::Reaches(size_t aFrom, size_t aTo) const
{
  const Gateway& to = mGateways[aTo];
  return aFrom == aTo || (!mGateways[aFrom].mCut && !to.mCut && !to.mFrozen);
}

size_t
QuotaModel::HubOf(size_t aDomain, size_t aFrom) const
{
  for (size_t i = 0; i < mGateways.size(); ++i) {
    if (mGateways[i].mDomain == aDomain && Reaches(aFrom, i)) {
      return i;
    }
  }
  return aFrom;
}

void
QuotaModel::Send(size_t aFrom, size_t aTo, std::function<void()> aDeliver)
{
  if (!Reaches(aFrom, aTo)) {
    return;
  }
  const bool near = mGateways[aFrom].mDomain == mGateways[aTo].mDomain;
  mMessages.push_back({ mNow + (near ? kNearDelay : kFarDelay), std::move(aDeliver) });
}

bool
QuotaModel::IsHot(uint64_t aAccount, uint32_t aDemand) const
{
  return aDemand > RoomFor(mDemand.at(aAccount).mAccount.mLimit, mRules).mGranted * 0.6;
}

void
QuotaModel::Request(size_t aGateway, const Account& aAccount)
{
  Gateway& gateway = mGateways[aGateway];
  if (gateway.mFrozen) {
    gateway.mWaiting.push_back(aAccount);
  } else if (gateway.mUsage->Admit(aAccount, mNow).mAllowed) {
    mRan[aAccount.mId].push_back(mNow);
  } else {
    ++mRefused[aAccount.mId];
  }
}

void
QuotaModel::Exchange(size_t aGateway)
{
  Gateway& gateway = mGateways[aGateway];
  const size_t hub = HubOf(gateway.mDomain, aGateway);
  if (hub == aGateway) {
    gateway.mTotals->Apply(UsageTotals::Scope::Gateway,
                           gateway.mName,
                           gateway.mEpoch,
                           true,
                           CountsFor(gateway),
                           gateway.mUsage->Report(true, mNow),
                           mNow);
    gateway.mTotals->Expire(mNow);
    if (!gateway.mCut) {
      gateway.mUsage->HearOthers(
        gateway.mTotals->Elsewhere(gateway.mName), gateway.mTotals->KnowledgeAge(mNow), mNow);
    }
    for (size_t domain = 0; domain < mDomains; ++domain) {
      if (domain != gateway.mDomain) {
        TellDomain(aGateway, domain);
      }
    }
    return;
  }
  const std::string to = fmt::format("{}/{}", hub, mGateways[hub].mEpoch);
  const bool full = gateway.mReportedTo != to;
  gateway.mReportedTo = to;
  const UsageRows rows = gateway.mUsage->Report(full, mNow);
  gateway.mUsage->MarkReported(rows);
  const uint64_t epoch = gateway.mEpoch;
  const Millis counted = CountsFor(gateway);
  Send(aGateway, hub, [this, aGateway, hub, epoch, full, counted, rows] {
    UsageTotals& totals = *mGateways[hub].mTotals;
    const std::string& name = mGateways[aGateway].mName;
    const bool complete =
      totals.Apply(UsageTotals::Scope::Gateway, name, epoch, full, counted, rows, mNow);
    if (!complete) {
      mGateways[aGateway].mReportedTo.clear();
      return;
    }
    const UsageRows elsewhere = totals.Elsewhere(name);
    const Millis age = totals.KnowledgeAge(mNow);
    Send(hub, aGateway, [this, aGateway, epoch, elsewhere, age] {
      if (mGateways[aGateway].mEpoch == epoch) {
        mGateways[aGateway].mUsage->HearOthers(elsewhere, age, mNow);
      }
    });
  });
}

void
QuotaModel::TellDomain(size_t aGateway, size_t aDomain)
{
  Gateway& gateway = mGateways[aGateway];
  const size_t hub = HubOf(aDomain, aGateway);
  if (hub == aGateway) {
    return; // None is reached.
  }
  const std::string to = fmt::format("{}/{}", hub, mGateways[hub].mEpoch);
  const bool full = gateway.mTold[aDomain] != to;
  gateway.mTold[aDomain] = to;
  const std::string other = fmt::format("domain-{}", aDomain);
  const UsageRows rows = gateway.mTotals->ForDomain(other, full);
  gateway.mTotals->MarkTold(other, rows, full);
  const std::string own = fmt::format("domain-{}", gateway.mDomain);
  const uint64_t epoch = gateway.mEpoch;
  Send(aGateway, hub, [this, aGateway, aDomain, hub, own, epoch, full, rows] {
    const bool complete = mGateways[hub].mTotals->Apply(
      UsageTotals::Scope::Domain, own, epoch, full, mRules.mWindow, rows, mNow);
    if (!complete) {
      mGateways[aGateway].mTold.erase(aDomain);
      return;
    }
    const UsageRows kept = mGateways[hub].mTotals->KeptOf(own);
    Send(
      hub, aGateway, [this, aGateway, kept] { mGateways[aGateway].mTotals->HearKept(kept, mNow); });
  });
}

void
QuotaModel::Run(Millis aTime)
{
  std::vector<double> weights;
  for (const Gateway& gateway : mGateways) {
    weights.push_back(gateway.mWeight);
  }
  std::discrete_distribution<size_t> draw(weights.begin(), weights.end());
  for (const TimePoint end = mNow + aTime; mNow < end; mNow += kStep) {
    std::stable_sort(mMessages.begin(), mMessages.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mArrives < aRight.mArrives;
    });
    while (!mMessages.empty() && mMessages.front().mArrives <= mNow) {
      const std::function<void()> deliver = std::move(mMessages.front().mDeliver);
      mMessages.pop_front();
      deliver();
    }
    for (auto& [id, demand] : mDemand) {
      const double mean = demand.mPerSecond * std::chrono::duration<double>(kStep).count();
      const auto only = mOnly.find(id);
      for (int i = std::poisson_distribution<>(mean)(mRandom); i > 0; --i) {
        Request(only == mOnly.end() ? draw(mRandom) : only->second, demand.mAccount);
      }
    }
    for (size_t i = 0; i < mGateways.size(); ++i) {
      Gateway& gateway = mGateways[i];
      if (gateway.mFrozen) {
        continue;
      }
      for (const Account& account : std::exchange(gateway.mWaiting, {})) {
        Request(i, account);
      }
      // Gateways report at different times.
      const auto phase = std::chrono::duration_cast<Millis>(mNow.time_since_epoch()) +
                         kStep * static_cast<int>(i % 5);
      if (phase % kReportInterval == Millis(0)) {
        Exchange(i);
      }
    }
  }
}

size_t
QuotaModel::MostInAWindow(const Account& aAccount) const
{
  const auto ran = mRan.find(aAccount.mId);
  size_t most = 0;
  if (ran == mRan.end()) {
    return most;
  }
  size_t first = 0;
  for (size_t last = 0; last < ran->second.size(); ++last) {
    while (ran->second[last] - ran->second[first] >= mRules.mWindow) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

size_t
QuotaModel::RanIn(const Account& aAccount, Millis aTime) const
{
  const auto ran = mRan.find(aAccount.mId);
  if (ran == mRan.end()) {
    return 0;
  }
  return static_cast<size_t>(std::count_if(
    ran->second.begin(), ran->second.end(), [&](TimePoint aAt) { return aAt > mNow - aTime; }));
}

size_t
QuotaModel::Refused(const Account& aAccount) const
{
  const auto refused = mRefused.find(aAccount.mId);
  return refused == mRefused.end() ? 0 : refused->second;
}

}
