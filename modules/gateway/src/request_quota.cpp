#include "request_quota.h"

#include "sycamore/base/random.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sycamore::gateway {

using base::Millis;

// Time whose calls a quota saves up while it is not used.
static constexpr double kSavedSeconds = 0.25;
// A lower limit counts as this one: without any call nobody would hear that it has ended.
static constexpr double kMinPerSecond = 0.2;

static double
Capacity(const RequestQuota& aQuota)
{
  return std::max(1.0, aQuota.mPerSecond * kSavedSeconds);
}

static double
TokensAt(const RequestQuota& aQuota, base::TimePoint aNow)
{
  const double seconds = std::chrono::duration<double>(aNow - aQuota.mUpdated).count();
  return std::min(aQuota.mTokens + std::max(seconds, 0.0) * aQuota.mPerSecond, Capacity(aQuota));
}

static void
Add(RequestQuota& aQuota, double aTokens, base::TimePoint aNow)
{
  aQuota.mTokens = std::min(TokensAt(aQuota, aNow) + aTokens, Capacity(aQuota));
  aQuota.mUpdated = aNow;
}

void
SetRate(RequestQuota& aQuota, double aPerSecond, base::TimePoint aNow)
{
  if (aQuota.mUpdated == base::TimePoint()) {
    aQuota.mUpdated = aNow;
  }
  Add(aQuota, 0, aNow);
  aQuota.mPerSecond = aPerSecond;
}

std::optional<Millis>
DelayOf(const RequestQuota& aQuota, base::TimePoint aNow)
{
  const double missing = 1 - TokensAt(aQuota, aNow);
  if (missing <= 0) {
    return Millis(0);
  }
  if (aQuota.mPerSecond <= 0) {
    return std::nullopt;
  }
  return std::chrono::ceil<Millis>(std::chrono::duration<double>(missing / aQuota.mPerSecond));
}

void
Take(RequestQuota& aQuota, base::TimePoint aNow)
{
  Add(aQuota, -1, aNow);
}

void
Return(RequestQuota& aQuota, base::TimePoint aNow)
{
  Add(aQuota, 1, aNow);
}

QuotaShare
ShareOf(const std::string& aInstance,
        const std::vector<std::string>& aCandidates,
        std::string_view aReplica,
        double aPerSecond)
{
  const double limit = std::max(aPerSecond, kMinPerSecond);
  const auto wanted =
    static_cast<size_t>(std::ceil(std::min(limit, static_cast<double>(aCandidates.size()))));
  const size_t holders = std::min(std::max<size_t>(wanted, 1), aCandidates.size());
  std::vector<std::pair<uint64_t, std::string_view>> ranked;
  ranked.reserve(aCandidates.size());
  for (const std::string& candidate : aCandidates) {
    ranked.emplace_back(base::MixHash(base::StableHash(candidate), base::StableHash(aReplica)),
                        candidate);
  }
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(holders);
  std::partial_sort(ranked.begin(), end, ranked.end());
  const bool holds = std::any_of(
    ranked.begin(), end, [&](const auto& aRanked) { return aRanked.second == aInstance; });
  return { holds ? limit / static_cast<double>(holders) : 0, holders };
}

}
