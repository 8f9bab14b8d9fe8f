#pragma once

#include "call.h"
#include "context.h"
#include "sycamore/accounts/account_usage.h"

#include <optional>
#include <string>

namespace sycamore::gateway {

// Removes the caller's API key from the request of aCall, so that it goes to no replica and no log,
// and returns it. Nothing if the configuration has no accounts, or the caller sent no key.
std::optional<std::string>
TakeKey(const Context& aContext, Call& aCall);

// Sets the account of aCall, whose route is set, from the key that the caller sent. UnknownKey if
// no account holds the key and the route is not public; ConfigStale if the configuration is too old
// to tell.
std::optional<base::Error>
CheckAccount(const Context& aContext, const std::optional<std::string>& aKey, Call& aCall);

// Whether the configuration that is in force now gives the key of aCall to another account, or to
// none. A call that waited is checked again before it is sent.
bool
IsRevoked(const Context& aContext, const Call& aCall);

base::Error
UnknownKeyError();

// Counts a call under the quota of its account. If the call has reached no replica that may have
// run it when the guard ends, it does not count.
class QuotaGuard
{
public:
  // aContext and aCall outlive this object.
  QuotaGuard(Context& aContext, const Call& aCall);
  ~QuotaGuard();
  QuotaGuard(const QuotaGuard&) = delete;
  QuotaGuard& operator=(const QuotaGuard&) = delete;

  const accounts::QuotaVerdict& Verdict() const { return mVerdict; }

private:
  Context& mContext;
  const Call& mCall;
  const base::TimePoint mAdmittedAt;
  accounts::QuotaVerdict mVerdict;
};

}
