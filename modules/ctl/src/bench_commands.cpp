#include "flags.h"
#include "groups.h"
#include "json_text.h"
#include "request.h"

#include "sycamore/base/log.h"
#include "sycamore/bench/chart.h"
#include "sycamore/bench/compare.h"
#include "sycamore/bench/engine_reading.h"
#include "sycamore/bench/mix.h"
#include "sycamore/bench/plan.h"
#include "sycamore/bench/runner.h"
#include "sycamore/bench/summary.h"

#include <cmath>
#include <exception>
#include <fmt/format.h>
#include <fstream>
#include <map>
#include <thread>

namespace sycamore::ctl {

static std::optional<bench::Mix>
ReadMix(const Invocation& aInvocation)
{
  const std::string& path = aInvocation.mArguments[0];
  const auto text = ReadFile(path, aInvocation.mTerminal);
  if (!text) {
    return std::nullopt;
  }
  auto mix = bench::ParseMix(*text);
  if (!base::IsOk(mix)) {
    const base::Error& fault = base::ErrorOf(mix);
    UsageError(aInvocation.mTerminal, fmt::format("{}: {} {}", path, fault.mField, fault.mMessage));
    return std::nullopt;
  }
  return base::TakeValue(std::move(mix));
}

static base::Millis
ToMillis(double aSeconds)
{
  return base::Millis(std::llround(aSeconds * 1000));
}

static uint64_t
SeedFor(const bench::Mix& aMix)
{
  return FLAGS_seed < 0 ? aMix.mSeed : static_cast<uint64_t>(FLAGS_seed);
}

static std::vector<bench::PlannedProgram>
PlanOf(const bench::Mix& aMix)
{
  const auto duration = FLAGS_duration_s > 0 ? ToMillis(FLAGS_duration_s) : aMix.mDuration;
  return bench::BuildPlan(aMix, SeedFor(aMix), duration);
}

// Prints the number of arrivals per account, region and tenth of the duration.
static ExitCode
ShowPlan(const Invocation& aInvocation)
{
  const auto mix = ReadMix(aInvocation);
  if (!mix) {
    return ExitCode::Usage;
  }
  constexpr size_t kBins = 10;
  const auto plan = PlanOf(*mix);
  const auto length = plan.empty() ? 1 : plan.back().mArrival.count() + 1;
  std::map<std::string, std::vector<size_t>> counts;
  for (const bench::PlannedProgram& program : plan) {
    const auto name = mix->mAccounts[program.mAccount].mName + " " + program.mRegion;
    auto& bins = counts.try_emplace(name, kBins).first->second;
    ++bins[static_cast<size_t>(program.mArrival.count()) * kBins / static_cast<size_t>(length)];
  }
  aInvocation.mTerminal.mOut(
    fmt::format("{} programs; arrivals per tenth of the duration:\n", plan.size()));
  for (const auto& [name, bins] : counts) {
    aInvocation.mTerminal.mOut(fmt::format("{:<32} {:>5}\n", name, fmt::join(bins, " ")));
  }
  return ExitCode::Ok;
}

// Version of the row account/*/* in the table; 0 if there is none.
static uint64_t
RowVersion(const boost::json::value& aTable, const std::string& aAccount)
{
  for (const auto& row : aTable.at("rows").as_array()) {
    const auto matches = [&row](std::string_view aKey, std::string_view aText) {
      return std::string_view(row.at(aKey).as_string()) == aText;
    };
    if (matches("account", aAccount) && matches("region", "*") && matches("model", "*")) {
      return row.at("version").to_number<uint64_t>();
    }
  }
  return 0;
}

// Sets the table row of one account to the limits in the mix.
static ExitCode
PrepareAccount(client::Entries& aEntries, const bench::Account& aAccount, const Terminal& aTerminal)
{
  const client::Answer answer = aEntries.Perform(Get("/v1/table"), client::Resend::Safe);
  if (const auto* failure = std::get_if<client::Failure>(&answer)) {
    return Report(*failure, aTerminal);
  }
  const auto table = boost::json::parse(std::get<http::ClientResponse>(answer).mBody);
  const world::Contract& contract = aAccount.mContract;
  const boost::json::object body{ { "base_version", RowVersion(table, aAccount.mName) },
                                  { "weight", contract.mWeight },
                                  { "requests_per_s", contract.mRequestsPerSecond },
                                  { "tokens_per_s", contract.mTokensPerSecond },
                                  { "concurrency", contract.mConcurrency } };
  const auto path = fmt::format("/v1/table/rows/{}/*/*", EncodeSegment(aAccount.mName));
  const client::Answer edit = aEntries.Perform(Send("PUT", path, body), client::Resend::Never);
  if (const auto* failure = std::get_if<client::Failure>(&edit)) {
    return Report(*failure, aTerminal);
  }
  aTerminal.mOut(
    fmt::format("{}: {}\n", aAccount.mName, std::get<http::ClientResponse>(edit).mBody));
  return ExitCode::Ok;
}

static ExitCode
Prepare(const Invocation& aInvocation)
{
  const auto mix = ReadMix(aInvocation);
  auto entries = mix ? EntriesOfFlags(aInvocation.mTerminal) : std::nullopt;
  if (!entries) {
    return ExitCode::Usage;
  }
  try {
    for (const bench::Account& account : mix->mAccounts) {
      const ExitCode code = PrepareAccount(*entries, account, aInvocation.mTerminal);
      if (code != ExitCode::Ok) {
        return code;
      }
    }
  } catch (const std::exception& error) {
    aInvocation.mTerminal.mErr(
      fmt::format("sycamorectl: the answer is not a table: {}\n", error.what()));
    return ExitCode::Refused;
  }
  return ExitCode::Ok;
}

// The endpoints that an optional flag lists; prints the fault and returns nothing if it is faulty.
static std::optional<std::vector<http::Endpoint>>
OptionalEndpoints(const std::string& aFlag, const std::string& aText, const Terminal& aTerminal)
{
  if (aText.empty()) {
    return std::vector<http::Endpoint>();
  }
  auto endpoints = client::ParseEndpoints(aText);
  if (!base::IsOk(endpoints)) {
    UsageError(aTerminal, fmt::format("--{}: {}", aFlag, base::ErrorOf(endpoints).mMessage));
    return std::nullopt;
  }
  return base::TakeValue(std::move(endpoints));
}

static ExitCode
WriteResults(const bench::Mix& aMix,
             const bench::RunRecord& aRecord,
             const boost::json::object& aSummary,
             const Terminal& aTerminal)
{
  const std::string text = bench::SummaryText(aSummary);
  aTerminal.mOut(text);
  if (FLAGS_out.empty()) {
    return ExitCode::Ok;
  }
  const bool written =
    WriteFile(FLAGS_out + ".txt", text, aTerminal) &&
    WriteFile(FLAGS_out + ".json", PrettyJson(aSummary), aTerminal) &&
    WriteFile(FLAGS_out + ".html", bench::ReportPage(aMix, aRecord, aSummary), aTerminal);
  return written ? ExitCode::Ok : ExitCode::Usage;
}

static ExitCode
RunBench(const Invocation& aInvocation)
{
  const Terminal& terminal = aInvocation.mTerminal;
  const auto mix = ReadMix(aInvocation);
  const auto entries = OptionalEndpoints("entry", FLAGS_entry, terminal);
  const auto engines = OptionalEndpoints("engines", FLAGS_engines, terminal);
  const auto tools = OptionalEndpoints("tools", FLAGS_tools, terminal);
  if (!mix || !entries || !engines || !tools) {
    return ExitCode::Usage;
  }
  if (entries->empty()) {
    return UsageError(terminal, "give --entry");
  }
  bench::RunOptions options;
  options.mEntries = *entries;
  options.mPatience = ToMillis(FLAGS_patience_s);
  options.mDrain = ToMillis(FLAGS_drain_s);
  options.mProgress = terminal.mErr;
  const auto plan = PlanOf(*mix);
  const auto before = bench::ReadStandins(*engines, *tools);
  base::Log(base::LogEvent::BenchStarted,
            "mix={} seed={} programs={}",
            mix->mName,
            SeedFor(*mix),
            plan.size());
  const bench::RunRecord record = bench::RunPlan(*mix, plan, options);
  base::Log(base::LogEvent::BenchFinished, "mix={} ms={}", mix->mName, record.mElapsed.count());
  std::this_thread::sleep_for(ToMillis(FLAGS_settle_s));
  const auto after = bench::ReadStandins(*engines, *tools);
  const auto summary =
    bench::Summarize(*mix, { FLAGS_label, SeedFor(*mix) }, record, before, after);
  return WriteResults(*mix, record, summary, terminal);
}

static ExitCode
Compare(const Invocation& aInvocation)
{
  std::vector<boost::json::object> summaries;
  try {
    for (const std::string& path : aInvocation.mArguments) {
      const auto text = ReadFile(path, aInvocation.mTerminal);
      if (!text) {
        return ExitCode::Usage;
      }
      summaries.push_back(boost::json::parse(*text).as_object());
    }
    aInvocation.mTerminal.mOut(bench::RatioText(bench::CompareRuns(summaries)));
  } catch (const std::exception& error) {
    return UsageError(
      aInvocation.mTerminal,
      fmt::format("file {} is not a result of `bench run`: {}", summaries.size(), error.what()));
  }
  return ExitCode::Ok;
}

std::vector<Command>
BenchCommands()
{
  return { { "bench plan",
             "MIX",
             "Prints the arrivals of a load mix over time without sending anything.",
             { "seed", "duration_s" },
             ShowPlan },
           { "bench prepare", "MIX", "Sets the table rows of a mix's accounts.", {}, Prepare },
           { "bench run",
             "MIX",
             "Sends the load of a mix to the entries and reports latency and waste.",
             { "engines",
               "tools",
               "out",
               "label",
               "seed",
               "duration_s",
               "drain_s",
               "patience_s",
               "settle_s" },
             RunBench },
           { "bench compare",
             "FILE FILE...",
             "Prints ratios of results to those of the first label, with their spread.",
             {},
             Compare } };
}

}
