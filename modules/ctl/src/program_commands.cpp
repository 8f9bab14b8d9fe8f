#include "flags.h"
#include "groups.h"
#include "request.h"

#include <fmt/format.h>

namespace sycamore::ctl {

static ExitCode
Create(const Invocation& aInvocation)
{
  boost::json::object body;
  const auto addText = [&body](std::string_view aKey, const std::string& aValue) {
    if (!aValue.empty()) {
      body.emplace(aKey, aValue);
    }
  };
  const auto addNumber = [&body](std::string_view aKey, uint64_t aValue) {
    if (aValue != 0) {
      body.emplace(aKey, aValue);
    }
  };
  if (FLAGS_parent.empty() &&
      (FLAGS_account.empty() || FLAGS_region.empty() || FLAGS_budget_tokens == 0)) {
    return UsageError(aInvocation.mTerminal,
                      "give --account, --region and --budget_tokens, or --parent");
  }
  addText("account", FLAGS_account);
  addText("region", FLAGS_region);
  addNumber("budget_tokens", FLAGS_budget_tokens);
  addNumber("max_turns", FLAGS_max_turns);
  addNumber("time_limit_ms", FLAGS_time_limit_ms);
  addNumber("idle_limit_ms", FLAGS_idle_limit_ms);
  addText("parent", FLAGS_parent);
  // Safe to resend: a surplus program runs nothing and ends at its idle limit.
  return PerformAndPrint(
    Send("POST", "/v1/programs", body), client::Resend::Safe, aInvocation.mTerminal);
}

static std::string
ProgramPath(const Invocation& aInvocation, std::string_view aRest)
{
  return fmt::format("/v1/programs/{}{}", EncodeSegment(aInvocation.mArguments[0]), aRest);
}

static ExitCode
Show(const Invocation& aInvocation)
{
  return PerformAndPrint(
    Get(ProgramPath(aInvocation, "")), client::Resend::Safe, aInvocation.mTerminal);
}

static ExitCode
History(const Invocation& aInvocation)
{
  return PerformAndPrint(
    Get(ProgramPath(aInvocation, "/history")), client::Resend::Safe, aInvocation.mTerminal);
}

static ExitCode
End(const Invocation& aInvocation)
{
  return PerformAndPrint(Send("POST", ProgramPath(aInvocation, "/end"), {}),
                         client::Resend::Safe,
                         aInvocation.mTerminal);
}

std::vector<Command>
ProgramCommands()
{
  return { { "program create",
             "",
             "Creates a program and prints its id.",
             { "account",
               "region",
               "budget_tokens",
               "max_turns",
               "time_limit_ms",
               "idle_limit_ms",
               "parent" },
             Create },
           { "program show",
             "PROGRAM",
             "Prints state, budget, next seq and the non-idempotent calls of a program.",
             {},
             Show },
           { "program history", "PROGRAM", "Prints all committed turns in order.", {}, History },
           { "program end",
             "PROGRAM",
             "Ends a program and prints its outstanding non-idempotent calls.",
             {},
             End } };
}

}
