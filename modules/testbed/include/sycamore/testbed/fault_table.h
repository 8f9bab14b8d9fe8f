#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/http/request.h"
#include "sycamore/testbed/fault_rule.h"

#include <list>
#include <optional>

namespace sycamore::testbed {

// The active fault rules of one stand-in. The oldest matching rule applies.
class FaultTable
{
public:
  void Add(const FaultRule& aRule, base::TimePoint aNow);

  void Clear();

  // The rule that applies to aRequest, if any; counts the request against it.
  std::optional<FaultRule> Match(const http::Request& aRequest, base::TimePoint aNow);

  // Requests affected so far.
  uint64_t Applied() const { return mApplied; }

private:
  struct ActiveRule
  {
    FaultRule mRule;
    base::TimePoint mAdded;
    uint64_t mMatched = 0;
  };

  static bool Expired(const ActiveRule& aActive, base::TimePoint aNow);
  static bool Fits(const FaultRule& aRule, const http::Request& aRequest);

  std::list<ActiveRule> mRules;
  uint64_t mApplied = 0;
};

}
