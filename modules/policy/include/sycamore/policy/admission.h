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

// Why a call is not admitted, and when it may be tried again.
struct Refusal
{
  base::ErrorKind mKind = base::ErrorKind::RequestLimit;
  base::Millis mRetryAfter{ 0 };
};

// One entry's share of aContract among aEntries live entries.
world::Contract
ShareOf(const world::Contract& aContract, size_t aEntries);

// Admits calls per table row by request rate, token rate and concurrency.
class Admission
{
public:
  // Admits a call of aTokens expected tokens under aShare, the entry's share of row aRow. If
  // admitted, Finish must be called once for it.
  std::optional<Refusal> Admit(const std::string& aRow,
                               const world::Contract& aShare,
                               uint64_t aTokens,
                               base::TimePoint aNow);

  // Ends an admitted call and charges the difference between expected and used tokens.
  void Finish(const std::string& aRow, uint64_t aTokens, uint64_t aUsed, base::TimePoint aNow);

  // Calls admitted and not finished.
  uint32_t Running(const std::string& aRow) const;

  // Forgets rows without calls that were not used for aIdle.
  void Trim(base::Millis aIdle, base::TimePoint aNow);

private:
  struct State
  {
    TokenBucket mRequests;
    TokenBucket mTokens;
    uint32_t mRunning = 0;
    base::TimePoint mUsed;
  };

  State& StateOf(const std::string& aRow, const world::Contract& aShare, base::TimePoint aNow);

  std::map<std::string, State> mRows;
};

}
