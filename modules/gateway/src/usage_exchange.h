#pragma once

#include "fact_exchange.h"
#include "member.h"
#include "sycamore/accounts/account_table.h"
#include "sycamore/accounts/account_usage.h"
#include "sycamore/accounts/usage_totals.h"
#include "sycamore/wire/store_relay_generated.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace sycamore::gateway {

// Tells the gateways of a deployment the demand of accounts without the store: each reports to the
// hub of its failure domain and hears the demand elsewhere in the answer; the hubs tell each other
// the demand of their failure domains. The hubs are those of FactExchange. Idle while the
// configuration has no accounts. Lives on one event loop.
class UsageExchange
{
public:
  // The accounts in force; null if no configuration is known.
  using Accounts = std::function<const accounts::AccountTable*()>;

  // aHubs and aUsage outlive this object.
  UsageExchange(const boost::asio::any_io_executor& aExecutor,
                FactExchange& aHubs,
                accounts::AccountUsage& aUsage,
                const accounts::QuotaRules& aRules,
                Member aOwn,
                Accounts aAccounts);

  // Sets the gateways of the deployment.
  void SetMembers(const std::vector<Member>& aMembers);

  // To be called when the accounts in force have changed.
  void OnAccountsChanged() { mTotals.JudgeHot(); }

  // Exchanges reports until the event loop ends.
  boost::asio::awaitable<void> Run();

  // Answers a request with operation Usage of another gateway.
  wire::RelayResponseT Serve(const wire::RelayRequestT& aRequest);

private:
  bool InForce() const;
  // Whether other gateways take this one as the hub of its failure domain.
  bool IsHub();
  // Whether the demand of an account is so near its limit that all gateways have to know it.
  bool IsHot(uint64_t aAccount, uint32_t aDemand) const;
  // Enters the own demand in the totals, and what they tell in the usage.
  void UpdateOwnHub();
  // Reports to the hub aInstance. Whether it answered.
  boost::asio::awaitable<bool> TellHub(std::string aInstance);
  boost::asio::awaitable<void> TellOtherDomains();
  boost::asio::awaitable<void> TellDomain(std::string aDomain);
  base::Millis Tick(base::TimePoint aNow);
  // How long this process has counted requests.
  base::Millis CountsFor(base::TimePoint aNow) const;

  boost::asio::any_io_executor mExecutor;
  FactExchange& mHubs;
  accounts::AccountUsage& mUsage;
  const accounts::QuotaRules mRules;
  const Member mOwn;
  const Accounts mAccounts;
  const uint64_t mEpoch; // Identifies this process in its reports.
  const base::TimePoint mCountsSince = base::Clock::now();
  accounts::UsageTotals mTotals;
  std::vector<Member> mMembers;       // The others.
  std::set<std::string> mToldDomains; // Other domains with a task that tells them.
  std::string mHub;                   // That has all reports of this gateway; empty if none has.
  base::TimePoint mLastReport;        // To mHub.
  base::TimePoint mLastServed;        // When another gateway last reported here.
};

}
