#include "sycamore/bench/summary.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <numeric>

namespace sycamore::bench {

double
Percentile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto count = static_cast<double>(aValues.size());
  const double rank = std::clamp(std::ceil(aShare * count), 1.0, count);
  const auto position = aValues.begin() + static_cast<std::ptrdiff_t>(rank) - 1;
  std::nth_element(aValues.begin(), position, aValues.end());
  return *position;
}

static boost::json::object
Distribution(const std::vector<double>& aValues)
{
  const double sum = std::accumulate(aValues.begin(), aValues.end(), 0.0);
  const double mean = aValues.empty() ? 0 : sum / static_cast<double>(aValues.size());
  return { { "count", aValues.size() },
           { "mean", mean },
           { "p50", Percentile(aValues, 0.5) },
           { "p95", Percentile(aValues, 0.95) },
           { "p99", Percentile(aValues, 0.99) } };
}

static void
Append(std::vector<double>& aTo, const std::vector<double>& aFrom)
{
  aTo.insert(aTo.end(), aFrom.begin(), aFrom.end());
}

static AccountRecord
Total(const std::vector<AccountRecord>& aRecords)
{
  AccountRecord total;
  for (const AccountRecord& record : aRecords) {
    total.mStarted += record.mStarted;
    total.mDone += record.mDone;
    total.mEndedByLimit += record.mEndedByLimit;
    total.mFailed += record.mFailed;
    total.mUnfinished += record.mUnfinished;
    total.mSubAgents += record.mSubAgents;
    total.mSubAgentsFailed += record.mSubAgentsFailed;
    total.mCalls += record.mCalls;
    total.mRefused += record.mRefused;
    total.mRetried += record.mRetried;
    total.mReconnected += record.mReconnected;
    total.mUnknown += record.mUnknown;
    for (const auto& [code, count] : record.mErrors) {
      total.mErrors[code] += count;
    }
    Append(total.mLatency, record.mLatency);
    Append(total.mWaiting, record.mWaiting);
    Append(total.mFirstToken, record.mFirstToken);
  }
  return total;
}

static boost::json::object
RecordJson(const std::string& aName, const AccountRecord& aRecord)
{
  boost::json::object errors;
  for (const auto& [code, count] : aRecord.mErrors) {
    errors.emplace(code, count);
  }
  return { { "account", aName },
           { "programs",
             { { "started", aRecord.mStarted },
               { "done", aRecord.mDone },
               { "ended_by_limit", aRecord.mEndedByLimit },
               { "failed", aRecord.mFailed },
               { "unfinished", aRecord.mUnfinished } } },
           { "sub_agents",
             { { "started", aRecord.mSubAgents }, { "failed", aRecord.mSubAgentsFailed } } },
           { "calls", aRecord.mCalls },
           { "refused", aRecord.mRefused },
           { "retried", aRecord.mRetried },
           { "reconnected", aRecord.mReconnected },
           { "unknown", aRecord.mUnknown },
           { "errors", std::move(errors) },
           { "latency_ms", Distribution(aRecord.mLatency) },
           { "waiting_ms", Distribution(aRecord.mWaiting) },
           { "first_token_ms", Distribution(aRecord.mFirstToken) } };
}

// Tokens that engines still hold for programs that will not call again.
static uint64_t
HeldForFinished(const RunRecord& aRecord, const EngineReading& aAfter)
{
  uint64_t tokens = 0;
  for (const auto& [program, held] : aAfter.mHeldTokens) {
    tokens += aRecord.mFinished.contains(program) ? held : 0;
  }
  return tokens;
}

static boost::json::object
EnginesJson(const RunRecord& aRecord, const EngineReading& aBefore, const EngineReading& aAfter)
{
  return { { "read", aAfter.mAnswered },
           { "not_read", aBefore.mUnanswered + aAfter.mUnanswered },
           { "prompt_tokens", aAfter.mPromptTokens - aBefore.mPromptTokens },
           { "cached_tokens", aAfter.mCachedTokens - aBefore.mCachedTokens },
           { "recomputed_tokens", aAfter.mRecomputedTokens - aBefore.mRecomputedTokens },
           { "generated_tokens", aAfter.mGeneratedTokens - aBefore.mGeneratedTokens },
           { "wasted_token_seconds", aAfter.mWastedTokenSeconds - aBefore.mWastedTokenSeconds },
           { "held_for_finished_tokens", HeldForFinished(aRecord, aAfter) },
           { "max_runs_per_key", aAfter.mMaxRunsPerKey } };
}

boost::json::object
Summarize(const Mix& aMix,
          const RunTitle& aTitle,
          const RunRecord& aRecord,
          const EngineReading& aBefore,
          const EngineReading& aAfter)
{
  boost::json::array accounts;
  for (size_t i = 0; i < aRecord.mAccounts.size(); ++i) {
    accounts.push_back(RecordJson(aMix.mAccounts[i].mName, aRecord.mAccounts[i]));
  }
  return { { "mix", aMix.mName },
           { "label", aTitle.mLabel },
           { "seed", aTitle.mSeed },
           { "elapsed_s", static_cast<double>(aRecord.mElapsed.count()) / 1000 },
           { "accounts", std::move(accounts) },
           { "total", RecordJson("total", Total(aRecord.mAccounts)) },
           { "engines", EnginesJson(aRecord, aBefore, aAfter) } };
}

static double
NumberAt(const boost::json::object& aObject, std::string_view aGroup, std::string_view aKey)
{
  return aObject.at(aGroup).as_object().at(aKey).to_number<double>();
}

static std::string
DistributionText(const boost::json::object& aRecord, std::string_view aGroup)
{
  return fmt::format("{:>9.0f} {:>9.0f} {:>9.0f} {:>9.0f}",
                     NumberAt(aRecord, aGroup, "mean"),
                     NumberAt(aRecord, aGroup, "p50"),
                     NumberAt(aRecord, aGroup, "p95"),
                     NumberAt(aRecord, aGroup, "p99"));
}

static std::string
RecordText(const boost::json::object& aRecord)
{
  const auto count = [&](std::string_view aKey) { return aRecord.at(aKey).to_number<double>(); };
  std::string text = fmt::format(
    "{}\n  programs: {:.0f} started, {:.0f} done ({:.0f} of them ended by a limit), {:.0f} failed, "
    "{:.0f} unfinished\n",
    std::string_view(aRecord.at("account").as_string()),
    NumberAt(aRecord, "programs", "started"),
    NumberAt(aRecord, "programs", "done"),
    NumberAt(aRecord, "programs", "ended_by_limit"),
    NumberAt(aRecord, "programs", "failed"),
    NumberAt(aRecord, "programs", "unfinished"));
  text +=
    fmt::format("  calls: {:.0f}; refused {:.0f}, retried {:.0f}, reconnected {:.0f}, unknown "
                "{:.0f}\n",
                count("calls"),
                count("refused"),
                count("retried"),
                count("reconnected"),
                count("unknown"));
  text += "  ms               mean       p50       p95       p99\n";
  text += fmt::format("  latency     {}\n", DistributionText(aRecord, "latency_ms"));
  text += fmt::format("  waiting     {}\n", DistributionText(aRecord, "waiting_ms"));
  text += fmt::format("  first token {}\n", DistributionText(aRecord, "first_token_ms"));
  for (const auto& error : aRecord.at("errors").as_object()) {
    text += fmt::format(
      "  failed with {}: {}\n", std::string_view(error.key()), error.value().to_number<uint64_t>());
  }
  return text;
}

std::string
SummaryText(const boost::json::object& aSummary)
{
  std::string text = fmt::format("mix {}, label {}, seed {}, {:.1f} s\n\n",
                                 std::string_view(aSummary.at("mix").as_string()),
                                 std::string_view(aSummary.at("label").as_string()),
                                 aSummary.at("seed").to_number<uint64_t>(),
                                 aSummary.at("elapsed_s").to_number<double>());
  for (const auto& account : aSummary.at("accounts").as_array()) {
    text += RecordText(account.as_object()) + "\n";
  }
  text += RecordText(aSummary.at("total").as_object()) + "\nengines\n";
  for (const auto& member : aSummary.at("engines").as_object()) {
    text += fmt::format(
      "  {:<26} {:>14.0f}\n", std::string_view(member.key()), member.value().to_number<double>());
  }
  return text;
}

}
