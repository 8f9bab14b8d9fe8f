#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/base/error_kind.h"
#include "sycamore/policy/token_bucket.h"
#include "sycamore/world/contract.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace sycamore::policy {

// Why a call is refused, and after which time the caller may try again.
struct Refusal
{
  base::ErrorKind mKind = base::ErrorKind::RequestLimit;
  base::Millis mRetryAfter{ 0 };
};

// The part of the limits of aContract that each of aEntries live entries enforces.
world::Contract
ShareOf(const world::Contract& aContract, size_t aEntries);

// Admission control: limits the calls of each table row by request rate, token rate and
// concurrency.
class Admission
{
public:
  // Admits a call of aTokens expected tokens under aShare, this entry's share of the limits of row
  // aRow, or returns why not. Finish must be called once for each admitted call.
  std::optional<Refusal> Admit(const std::string& aRow,
                               const world::Contract& aShare,
                               uint64_t aTokens,
                               base::TimePoint aNow);

  // Ends an admitted call and charges or refunds the difference between the aUsed and the aTokens
  // expected tokens.
  void Finish(const std::string& aRow, uint64_t aTokens, uint64_t aUsed, base::TimePoint aNow);

  // Number of calls admitted and not finished.
  uint32_t Running(const std::string& aRow) const;

  // Removes the rows that have no running call and were last used more than aIdle ago.
  void Trim(base::Millis aIdle, base::TimePoint aNow);

private:
  struct State
  {
    TokenBucket mRequests;
    TokenBucket mTokens;
    uint32_t mRunning = 0;
    base::TimePoint mLastUsed;
  };

  State& StateOf(const std::string& aRow, const world::Contract& aShare, base::TimePoint aNow);

  std::map<std::string, State> mRows;
};

}
