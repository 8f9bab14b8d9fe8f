#include "sycamore/bench/mix.h"

#include "json_cursor.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace sycamore::bench {

static constexpr double kMaxTokens = 1e6;
static constexpr double kMaxRate = 1e5;
static constexpr double kMaxSeconds = 1e6;

static base::Millis
ToMillis(double aSeconds)
{
  return base::Millis(std::llround(aSeconds * 1000));
}

static std::vector<Step>
ReadSteps(const JsonCursor& aCursor);

static Step
ReadModelStep(const JsonCursor& aCursor)
{
  aCursor.Allow({ "service", "prompt_tokens", "answer_tokens", "stream" });
  return { ModelStep{ aCursor.At("service").Text(),
                      aCursor.At("prompt_tokens").NumberRange(1, kMaxTokens),
                      aCursor.At("answer_tokens").NumberRange(1, kMaxTokens),
                      aCursor.FlagOr("stream", true) } };
}

static Step
ReadToolStep(const JsonCursor& aCursor)
{
  aCursor.Allow({ "service", "tool", "argument_bytes", "repeatable" });
  const auto bytes = aCursor.Find("argument_bytes");
  return { ToolStep{ aCursor.At("service").Text(),
                     aCursor.At("tool").Text(),
                     bytes ? bytes->NumberRange(0, kMaxTokens) : Range{ 20, 20 },
                     aCursor.FlagOr("repeatable", true) } };
}

static Step
ReadSubAgentsStep(const JsonCursor& aCursor)
{
  aCursor.Allow({ "template", "count" });
  return { SubAgentsStep{ aCursor.At("template").Text(),
                          aCursor.At("count").NumberRange(1, 100) } };
}

static Step
ReadRepeatStep(const JsonCursor& aCursor)
{
  aCursor.Allow({ "times", "steps" });
  return { RepeatStep{ aCursor.At("times").NumberRange(0, 10000),
                       ReadSteps(aCursor.At("steps")) } };
}

static Step
ReadStep(const JsonCursor& aCursor)
{
  aCursor.Allow({ "model", "tool", "pause_ms", "sub_agents", "repeat" });
  if (const auto model = aCursor.Find("model")) {
    return ReadModelStep(*model);
  }
  if (const auto tool = aCursor.Find("tool")) {
    return ReadToolStep(*tool);
  }
  if (const auto pause = aCursor.Find("pause_ms")) {
    return { PauseStep{ pause->NumberRange(0, kMaxSeconds * 1000) } };
  }
  if (const auto subAgents = aCursor.Find("sub_agents")) {
    return ReadSubAgentsStep(*subAgents);
  }
  return ReadRepeatStep(aCursor.At("repeat"));
}

static std::vector<Step>
ReadSteps(const JsonCursor& aCursor)
{
  std::vector<Step> steps;
  for (const JsonCursor& element : aCursor.Elements()) {
    steps.push_back(ReadStep(element));
  }
  return steps;
}

static Template
ReadTemplate(const JsonCursor& aCursor)
{
  aCursor.Allow(
    { "name", "budget_tokens", "max_turns", "idle_limit_s", "ends", "ends_by_limit", "steps" });
  Template result;
  result.mName = aCursor.At("name").Text();
  result.mBudgetTokens = static_cast<uint64_t>(aCursor.At("budget_tokens").Number(1, 1e12));
  result.mMaxTurns = static_cast<uint64_t>(aCursor.NumberOr("max_turns", 1, 1e6, 0));
  result.mIdleLimit = ToMillis(aCursor.NumberOr("idle_limit_s", 1, kMaxSeconds, 0));
  result.mEnds = aCursor.FlagOr("ends", true);
  result.mEndsByLimit = aCursor.FlagOr("ends_by_limit", false);
  result.mSteps = ReadSteps(aCursor.At("steps"));
  return result;
}

static Arrivals
ReadArrivals(const JsonCursor& aCursor)
{
  aCursor.Allow({ "region", "base_per_s", "peak_per_s", "sunset", "width" });
  Arrivals arrivals;
  arrivals.mRegion = aCursor.At("region").Text();
  arrivals.mBasePerSecond = aCursor.At("base_per_s").Number(0, kMaxRate);
  arrivals.mPeakPerSecond =
    aCursor.NumberOr("peak_per_s", arrivals.mBasePerSecond, kMaxRate, arrivals.mBasePerSecond);
  arrivals.mSunset = aCursor.NumberOr("sunset", 0, 1, arrivals.mSunset);
  arrivals.mWidth = aCursor.NumberOr("width", 0.001, 1, arrivals.mWidth);
  return arrivals;
}

static world::Contract
ReadContract(const JsonCursor& aCursor)
{
  aCursor.Allow({ "weight", "requests_per_s", "tokens_per_s", "concurrency" });
  world::Contract contract;
  contract.mWeight = aCursor.At("weight").Number(0.001, 1e6);
  contract.mRequestsPerSecond = aCursor.At("requests_per_s").Number(0, 1e9);
  contract.mTokensPerSecond = aCursor.At("tokens_per_s").Number(0, 1e9);
  contract.mConcurrency = static_cast<uint32_t>(aCursor.At("concurrency").Number(0, 1e9));
  return contract;
}

static Account
ReadAccount(const JsonCursor& aCursor)
{
  aCursor.Allow({ "account", "row", "arrivals", "programs" });
  Account account;
  account.mName = aCursor.At("account").Text();
  account.mContract = ReadContract(aCursor.At("row"));
  for (const JsonCursor& element : aCursor.At("arrivals").Elements()) {
    account.mArrivals.push_back(ReadArrivals(element));
  }
  for (const JsonCursor& element : aCursor.At("programs").Elements()) {
    element.Allow({ "template", "share" });
    account.mPrograms.push_back(
      { element.At("template").Text(), element.NumberOr("share", 0.0001, 1e6, 1) });
  }
  return account;
}

// The template that aName refers to must be in front of aEnd, so that no template contains itself.
static void
CheckReference(const Mix& aMix, size_t aEnd, const std::string& aName, std::string_view aPath)
{
  const auto end = aMix.mTemplates.begin() + static_cast<std::ptrdiff_t>(aEnd);
  const bool found = std::any_of(
    aMix.mTemplates.begin(), end, [&](const Template& aOne) { return aOne.mName == aName; });
  if (!found) {
    throw base::Error{ base::ErrorKind::InvalidField,
                       fmt::format("the template \"{}\" is not defined before its use", aName),
                       std::string(aPath) };
  }
}

static void
CheckSteps(const Mix& aMix, size_t aEnd, const std::vector<Step>& aSteps, const std::string& aPath)
{
  for (const Step& step : aSteps) {
    if (const auto* subAgents = std::get_if<SubAgentsStep>(&step.mKind)) {
      CheckReference(aMix, aEnd, subAgents->mTemplate, aPath);
    } else if (const auto* repeat = std::get_if<RepeatStep>(&step.mKind)) {
      CheckSteps(aMix, aEnd, repeat->mSteps, aPath);
    }
  }
}

static void
CheckReferences(const Mix& aMix)
{
  for (size_t i = 0; i < aMix.mTemplates.size(); ++i) {
    CheckSteps(aMix, i, aMix.mTemplates[i].mSteps, fmt::format("/templates/{}", i));
  }
  for (size_t i = 0; i < aMix.mAccounts.size(); ++i) {
    for (const TemplateShare& share : aMix.mAccounts[i].mPrograms) {
      CheckReference(
        aMix, aMix.mTemplates.size(), share.mTemplate, fmt::format("/accounts/{}/programs", i));
    }
  }
}

static Mix
ReadMix(const JsonCursor& aCursor)
{
  aCursor.Allow(
    { "name", "seed", "duration_s", "day_s", "sunset_drift_per_day", "templates", "accounts" });
  Mix mix;
  mix.mName = aCursor.At("name").Text();
  mix.mSeed = static_cast<uint64_t>(aCursor.NumberOr("seed", 0, 1e15, 1));
  mix.mDuration = ToMillis(aCursor.At("duration_s").Number(0.1, kMaxSeconds));
  mix.mDay = ToMillis(aCursor.At("day_s").Number(0.1, kMaxSeconds));
  mix.mSunsetDriftPerDay = aCursor.NumberOr("sunset_drift_per_day", -1, 1, 0);
  for (const JsonCursor& element : aCursor.At("templates").Elements()) {
    mix.mTemplates.push_back(ReadTemplate(element));
  }
  for (const JsonCursor& element : aCursor.At("accounts").Elements()) {
    mix.mAccounts.push_back(ReadAccount(element));
  }
  CheckReferences(mix);
  return mix;
}

base::Result<Mix>
ParseMix(std::string_view aJson)
{
  boost::json::error_code error;
  const boost::json::value root = boost::json::parse(aJson, error);
  if (error) {
    return base::Error{ base::ErrorKind::InvalidField, "is no JSON: " + error.message(), "/" };
  }
  try {
    return ReadMix(JsonCursor(root, ""));
  } catch (const base::Error& fault) {
    return fault;
  }
}

double
RateAt(const Mix& aMix, const Arrivals& aArrivals, base::Millis aTime)
{
  const double days = static_cast<double>(aTime.count()) / static_cast<double>(aMix.mDay.count());
  const double sunset = aArrivals.mSunset + aMix.mSunsetDriftPerDay * std::floor(days);
  // Distance on the circle of the day.
  const double offset = days - sunset - std::floor(days - sunset);
  const double distance = std::min(offset, 1 - offset) / aArrivals.mWidth;
  return aArrivals.mBasePerSecond +
         (aArrivals.mPeakPerSecond - aArrivals.mBasePerSecond) * std::exp(-distance * distance / 2);
}

}
