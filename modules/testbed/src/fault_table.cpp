#include "sycamore/testbed/fault_table.h"

namespace sycamore::testbed {

void
FaultTable::Add(const FaultRule& aRule, base::TimePoint aNow)
{
  mRules.push_back(ActiveRule{ aRule, aNow });
}

void
FaultTable::Clear()
{
  mRules.clear();
}

std::optional<FaultRule>
FaultTable::Match(const http::Request& aRequest, base::TimePoint aNow)
{
  mRules.remove_if([aNow](const ActiveRule& aActive) { return Expired(aActive, aNow); });
  for (ActiveRule& active : mRules) {
    if (!Fits(active.mRule, aRequest)) {
      continue;
    }
    ++active.mMatched;
    if (active.mMatched <= active.mRule.mSkip) {
      continue;
    }
    ++mApplied;
    return active.mRule;
  }
  return std::nullopt;
}

bool
FaultTable::Expired(const ActiveRule& aActive, base::TimePoint aNow)
{
  const FaultRule& rule = aActive.mRule;
  const bool used = rule.mCount > 0 && aActive.mMatched >= rule.mSkip + rule.mCount;
  const bool late = rule.mFor > base::Millis(0) && aNow >= aActive.mAdded + rule.mFor;
  return used || late;
}

bool
FaultTable::Fits(const FaultRule& aRule, const http::Request& aRequest)
{
  const bool method = aRule.mMethod.empty() || aRule.mMethod == aRequest.mMethod;
  const bool path = aRequest.mPath.starts_with(aRule.mPath);
  return method && path && aRequest.mBody.find(aRule.mContains) != std::string::npos;
}

}
