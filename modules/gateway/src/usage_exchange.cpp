#include "usage_exchange.h"

#include "async.h"
#include "sycamore/base/log.h"
#include "sycamore/base/random.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <utility>

namespace sycamore::gateway {

using accounts::UsageRows;
using accounts::UsageTotals;
using base::Millis;

// Interval of reports while the demand of an account is near its limit, so that a rush is known
// everywhere before it has used up the burst.
static constexpr Millis kFastTick{ 50 };
static constexpr Millis kSlowTick{ 200 };
// Longest time without a report: tells that this gateway is alive, and asks for accounts that have
// come near their limit at others.
static constexpr Millis kMaxSilence{ 500 };
// As above, between the hubs of two failure domains.
static constexpr Millis kMaxDomainSilence{ 2000 };
static constexpr Millis kIdleInterval{ 500 };
// The farthest hub answers in 65 ms.
static constexpr Millis kAnswerTimeout{ 300 };
// A gateway that others report to tells the other failure domains for this time.
static constexpr Millis kHubLease{ 2000 };
// A gateway that is a hub for itself hears of others if one reported within this time.
static constexpr Millis kHearingTimeout{ 1500 };
// Part of the limit above which all gateways are told of an account, and reports are fast.
static constexpr double kHotPart = 0.6;

UsageExchange::UsageExchange(const boost::asio::any_io_executor& aExecutor,
                             FactExchange& aHubs,
                             accounts::AccountUsage& aUsage,
                             const accounts::QuotaRules& aRules,
                             Member aOwn,
                             Accounts aAccounts)
  : mExecutor(aExecutor)
  , mHubs(aHubs)
  , mUsage(aUsage)
  , mRules(aRules)
  , mOwn(std::move(aOwn))
  , mAccounts(std::move(aAccounts))
  , mEpoch(base::RandomId())
  , mTotals(aRules.mWindow,
            [this](uint64_t aAccount, uint32_t aDemand) { return IsHot(aAccount, aDemand); })
{
}

void
UsageExchange::SetMembers(const std::vector<Member>& aMembers)
{
  mMembers = aMembers;
  std::erase_if(mMembers,
                [&](const Member& aMember) { return aMember.mInstance == mOwn.mInstance; });
  mUsage.SetGateways(mMembers.size() + 1);
}

bool
UsageExchange::InForce() const
{
  const accounts::AccountTable* table = mAccounts();
  return table != nullptr && table->InForce();
}

bool
UsageExchange::IsHub()
{
  return mHubs.Hub().empty() || base::Clock::now() - mLastServed < kHubLease;
}

bool
UsageExchange::IsHot(uint64_t aAccount, uint32_t aDemand) const
{
  const accounts::AccountTable* table = mAccounts();
  const accounts::Account* account =
    table == nullptr ? nullptr : accounts::FindAccount(*table, aAccount);
  return account != nullptr && account->mLimit.mPerSecond > 0 &&
         aDemand > accounts::RoomFor(account->mLimit, mRules).mGranted * kHotPart;
}

Millis
UsageExchange::CountsFor(base::TimePoint aNow) const
{
  return std::chrono::duration_cast<Millis>(aNow - mCountsSince);
}

Millis
UsageExchange::Tick(base::TimePoint aNow)
{
  return mUsage.IsNearLimit(kHotPart, aNow) ? kFastTick : kSlowTick;
}

boost::asio::awaitable<void>
UsageExchange::Run()
{
  boost::asio::co_spawn(mExecutor, TellOtherDomains(), LogFailure{});
  for (;;) {
    if (!InForce()) {
      co_await SleepFor(kIdleInterval);
      continue;
    }
    if (IsHub()) {
      UpdateOwnHub();
    }
    const std::string hub = mHubs.Hub();
    if (!hub.empty()) {
      const bool told = co_await TellHub(hub);
      if (!told) {
        mHub.clear();
      }
    }
    const base::TimePoint now = base::Clock::now();
    mTotals.Expire(now);
    mUsage.Expire(now);
    co_await SleepFor(Tick(now));
  }
}

void
UsageExchange::UpdateOwnHub()
{
  const base::TimePoint now = base::Clock::now();
  mTotals.Apply(UsageTotals::Scope::Gateway,
                mOwn.mInstance,
                mEpoch,
                true,
                CountsFor(now),
                mUsage.Report(true, now),
                now);
  if (!mHubs.Hub().empty()) {
    return; // The hub tells what is elsewhere.
  }
  // A gateway that hears nobody keeps what it heard before: the others may go on without it.
  if (mMembers.empty() || now - mLastServed < kHearingTimeout) {
    mUsage.HearOthers(mTotals.Elsewhere(mOwn.mInstance), mTotals.KnowledgeAge(now), now);
  }
}

boost::asio::awaitable<bool>
UsageExchange::TellHub(std::string aInstance)
{
  const bool full = aInstance != mHub;
  base::TimePoint now = base::Clock::now();
  UsageRows rows = mUsage.Report(full, now);
  if (!full && rows.empty() && now - mLastReport < kMaxSilence) {
    co_return true;
  }
  const std::shared_ptr<RelayClient> client = mHubs.ClientOf(aInstance);
  RelayClient::UsageRequest request{ mOwn.mInstance, false, mEpoch, full, CountsFor(now), rows };
  const auto answer = co_await client->Usage(std::move(request), kAnswerTimeout);
  if (!base::IsOk(answer) || !base::ValueOf(answer).mComplete) {
    co_return false;
  }
  now = base::Clock::now();
  mHub = aInstance;
  mLastReport = now;
  mUsage.MarkReported(rows);
  mUsage.HearOthers(base::ValueOf(answer).mRows, base::ValueOf(answer).mKnowledgeAge, now);
  co_return true;
}

boost::asio::awaitable<void>
UsageExchange::TellOtherDomains()
{
  for (;;) {
    for (const Member& member : mMembers) {
      const bool other = member.mDomain != mOwn.mDomain;
      if (InForce() && other && mToldDomains.insert(member.mDomain).second) {
        boost::asio::co_spawn(mExecutor, TellDomain(member.mDomain), LogFailure{});
      }
    }
    co_await SleepFor(kIdleInterval);
  }
}

boost::asio::awaitable<void>
UsageExchange::TellDomain(std::string aDomain)
{
  std::string told; // The hub that has all reports of this gateway.
  base::TimePoint last;
  for (;;) {
    const std::string hub = InForce() && IsHub() ? mHubs.HubOf(aDomain) : "";
    if (hub.empty()) {
      told.clear();
      co_await SleepFor(kIdleInterval);
      continue;
    }
    const bool full = hub != told;
    UsageRows rows = mTotals.ForDomain(aDomain, full);
    const bool due = base::Clock::now() - last >= kMaxDomainSilence;
    if (full || !rows.empty() || due) {
      const std::shared_ptr<RelayClient> client = mHubs.ClientOf(hub);
      RelayClient::UsageRequest request{
        mOwn.mDomain, true, mEpoch, full, CountsFor(base::Clock::now()), rows
      };
      const auto answer = co_await client->Usage(std::move(request), kAnswerTimeout);
      const bool complete = base::IsOk(answer) && base::ValueOf(answer).mComplete;
      told = complete ? hub : "";
      if (complete) {
        last = base::Clock::now();
        mTotals.HearKept(base::ValueOf(answer).mRows, last);
        mTotals.MarkTold(aDomain, rows, full);
      }
    }
    co_await SleepFor(mTotals.AnyHot() ? kFastTick : kSlowTick);
  }
}

wire::RelayResponseT
UsageExchange::Serve(const wire::RelayRequestT& aRequest)
{
  wire::RelayResponseT response;
  std::string_view bytes;
  if (aRequest.records.size() == 1) {
    const auto& record = aRequest.records.front()->bytes;
    bytes = { reinterpret_cast<const char*>(record.data()), record.size() };
  }
  const auto rows = accounts::DecodeUsage(bytes);
  if (!rows) {
    base::Log(base::LogEvent::PeerProtocolError, "a report of usage that cannot be read");
    response.failure = "malformed usage";
    return response;
  }
  const base::TimePoint now = base::Clock::now();
  const auto scope = aRequest.shared ? UsageTotals::Scope::Domain : UsageTotals::Scope::Gateway;
  mLastServed = now;
  response.joined = mTotals.Apply(
    scope, aRequest.key, aRequest.epoch, aRequest.fresh, Millis(aRequest.wait_ms), *rows, now);
  UsageRows elsewhere;
  if (scope == UsageTotals::Scope::Domain) {
    elsewhere = mTotals.KeptOf(aRequest.key);
  } else if (response.joined) {
    elsewhere = mTotals.Elsewhere(aRequest.key);
  }
  response.age_ms = static_cast<uint64_t>(mTotals.KnowledgeAge(now).count());
  const std::string encoded = accounts::EncodeUsage(elsewhere);
  auto record = std::make_unique<wire::RelayRecordT>();
  record->value = std::make_unique<wire::RelayBytesT>();
  record->value->bytes.assign(encoded.begin(), encoded.end());
  response.records.push_back(std::move(record));
  return response;
}

}
