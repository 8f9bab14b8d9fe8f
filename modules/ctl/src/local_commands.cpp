#include "groups.h"
#include "request.h"

#include "sycamore/settings/parse.h"

#include <fmt/format.h>

namespace sycamore::ctl {

static ExitCode
CheckSettings(const Invocation& aInvocation)
{
  const std::string& path = aInvocation.mArguments[0];
  const auto text = ReadFile(path, aInvocation.mTerminal);
  if (!text) {
    return ExitCode::Usage;
  }
  const auto parsed = settings::Parse(*text);
  if (const auto* faults = std::get_if<std::vector<base::Error>>(&parsed)) {
    for (const base::Error& fault : *faults) {
      aInvocation.mTerminal.mErr(fmt::format("{}: {} {}\n", path, fault.mField, fault.mMessage));
    }
    return ExitCode::Usage;
  }
  aInvocation.mTerminal.mOut(fmt::format("{}: valid\n", path));
  return ExitCode::Ok;
}

static ExitCode
Dump(const Invocation& aInvocation)
{
  return PerformAndPrint(Get("/dump"), client::Resend::Safe, aInvocation.mTerminal);
}

std::vector<Command>
LocalCommands()
{
  return { { "settings check",
             "FILE",
             "Checks a settings file without any connection; prints each fault with its path.",
             {},
             CheckSettings },
           { "dump", "", "Prints the state of the first process that --entry names.", {}, Dump } };
}

}
