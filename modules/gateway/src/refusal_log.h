#pragma once

#include "sycamore/accounts/account_usage.h"
#include "sycamore/base/clock.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace sycamore::gateway {

// Logs why requests of accounts are refused: at most one line a second for each account and reason,
// with the number of refusals since the line before, and for a bounded number of accounts.
class RefusalLog
{
public:
  // Records that a request was refused. aReason is one word.
  void Note(const std::string& aAccount,
            std::string_view aReason,
            std::string_view aAttempt,
            const accounts::QuotaVerdict& aVerdict);

private:
  struct Line
  {
    base::TimePoint mLoggedAt;
    uint64_t mRefused = 0; // Since then.
  };

  std::map<std::string, Line, std::less<>> mLines; // By account and reason.
};

}
