#include "sycamore/bench/engine_reading.h"

#include "sycamore/http/client.h"

#include <algorithm>
#include <boost/json.hpp>
#include <optional>

namespace sycamore::bench {

static constexpr base::Millis kTimeout{ 5000 };
static constexpr int kOk = 200;

static std::optional<boost::json::object>
ReadObject(const http::Endpoint& aEndpoint, const std::string& aTarget)
{
  http::Client client(aEndpoint, kTimeout);
  http::ClientRequest request;
  request.mTarget = aTarget;
  const auto response = client.Perform(request);
  if (!base::IsOk(response) || base::ValueOf(response).mStatus != kOk) {
    return std::nullopt;
  }
  boost::json::error_code error;
  auto root = boost::json::parse(base::ValueOf(response).mBody, error);
  return root.is_object() ? std::optional(root.get_object()) : std::nullopt;
}

static double
NumberOf(const boost::json::object& aObject, std::string_view aKey)
{
  const auto* value = aObject.if_contains(aKey);
  return value != nullptr && value->is_number() ? value->to_number<double>() : 0;
}

static void
AddTotals(const boost::json::object& aStats, EngineReading& aOut)
{
  const auto* totals = aStats.if_contains("totals");
  if (totals == nullptr || !totals->is_object()) {
    return;
  }
  const boost::json::object& object = totals->get_object();
  aOut.mPromptTokens += NumberOf(object, "prompt_tokens");
  aOut.mCachedTokens += NumberOf(object, "cached_tokens");
  aOut.mRecomputedTokens += NumberOf(object, "recomputed_tokens");
  aOut.mGeneratedTokens += NumberOf(object, "generated_tokens");
  // What idle prefixes have accumulated since their last use is wasted unless a call reuses them;
  // after the last call of a run none does.
  aOut.mWastedTokenSeconds +=
    NumberOf(object, "wasted_token_seconds") + NumberOf(object, "pending_token_seconds");
}

static void
AddHeld(const boost::json::object& aCache, EngineReading& aOut)
{
  const auto* programs = aCache.if_contains("programs");
  if (programs == nullptr || !programs->is_array()) {
    return;
  }
  for (const auto& element : programs->get_array()) {
    const auto* object = element.if_object();
    const auto* name = object == nullptr ? nullptr : object->if_contains("program");
    if (name != nullptr && name->is_string()) {
      aOut.mHeldTokens[std::string(name->get_string())] +=
        static_cast<uint64_t>(NumberOf(*object, "tokens"));
    }
  }
}

EngineReading
ReadStandins(const std::vector<http::Endpoint>& aEngines, const std::vector<http::Endpoint>& aTools)
{
  EngineReading reading;
  for (const http::Endpoint& engine : aEngines) {
    const auto stats = ReadObject(engine, "/stats");
    const auto cache = ReadObject(engine, "/v1/cache");
    if (stats && cache) {
      ++reading.mAnswered;
      AddTotals(*stats, reading);
      AddHeld(*cache, reading);
    } else {
      ++reading.mUnanswered;
    }
  }
  for (const http::Endpoint& tool : aTools) {
    const auto stats = ReadObject(tool, "/stats");
    (stats ? reading.mAnswered : reading.mUnanswered) += 1;
    const double runs = stats ? NumberOf(*stats, "max_runs_per_key") : 0;
    reading.mMaxRunsPerKey = std::max(reading.mMaxRunsPerKey, static_cast<uint64_t>(runs));
  }
  return reading;
}

}
