#include "sycamore/policy/admission.h"

#include <algorithm>
#include <cassert>

namespace sycamore::policy {

// A bucket holds one second of its rate, and at least one request, so that rates below one per
// second still admit single requests.
static double
BurstOf(double aRate)
{
  return aRate > 0 ? std::max(1.0, aRate) : 0.0;
}

world::Contract
ShareOf(const world::Contract& aContract, size_t aEntries)
{
  const auto entries = std::max<size_t>(1, aEntries);
  world::Contract share = aContract;
  share.mRequestsPerSecond /= static_cast<double>(entries);
  share.mTokensPerSecond /= static_cast<double>(entries);
  if (aContract.mConcurrency > 0) {
    share.mConcurrency =
      std::max<uint32_t>(1, aContract.mConcurrency / static_cast<uint32_t>(entries));
  }
  return share;
}

std::optional<Refusal>
Admission::Admit(const std::string& aRow,
                 const world::Contract& aShare,
                 uint64_t aTokens,
                 base::TimePoint aNow)
{
  State& state = StateOf(aRow, aShare, aNow);
  const auto tokens = static_cast<double>(aTokens);
  if (!state.mRequests.CanTake(1, aNow)) {
    return Refusal{ base::ErrorKind::RequestLimit, state.mRequests.WaitFor(1, aNow) };
  }
  if (!state.mTokens.CanTake(tokens, aNow)) {
    return Refusal{ base::ErrorKind::TokenLimit, state.mTokens.WaitFor(tokens, aNow) };
  }
  if (state.mRunning >= aShare.mConcurrency) {
    return Refusal{ base::ErrorKind::ConcurrencyLimit, base::Seconds{ 1 } };
  }
  state.mRequests.Take(1, aNow);
  state.mTokens.Take(tokens, aNow);
  ++state.mRunning;
  return std::nullopt;
}

void
Admission::Finish(const std::string& aRow, uint64_t aTokens, uint64_t aUsed, base::TimePoint aNow)
{
  const auto found = mRows.find(aRow);
  assert(found != mRows.end() && found->second.mRunning > 0);
  State& state = found->second;
  --state.mRunning;
  state.mLastUsed = aNow;
  if (aUsed < aTokens) {
    state.mTokens.GiveBack(static_cast<double>(aTokens - aUsed), aNow);
  } else {
    state.mTokens.Take(static_cast<double>(aUsed - aTokens), aNow);
  }
}

uint32_t
Admission::Running(const std::string& aRow) const
{
  const auto found = mRows.find(aRow);
  return found == mRows.end() ? 0 : found->second.mRunning;
}

void
Admission::Trim(base::Millis aIdle, base::TimePoint aNow)
{
  std::erase_if(mRows, [&](const auto& aPair) {
    return aPair.second.mRunning == 0 && aNow - aPair.second.mLastUsed > aIdle;
  });
}

Admission::State&
Admission::StateOf(const std::string& aRow, const world::Contract& aShare, base::TimePoint aNow)
{
  const double requests = aShare.mRequestsPerSecond;
  const double tokens = aShare.mTokensPerSecond;
  const auto [found, added] =
    mRows.try_emplace(aRow,
                      State{ TokenBucket(requests, BurstOf(requests), aNow),
                             TokenBucket(tokens, BurstOf(tokens), aNow),
                             0,
                             aNow });
  State& state = found->second;
  if (!added) {
    state.mRequests.SetLimits(requests, BurstOf(requests), aNow);
    state.mTokens.SetLimits(tokens, BurstOf(tokens), aNow);
  }
  state.mLastUsed = aNow;
  return state;
}

}
