#pragma once

#include "sycamore/ctl/exit_code.h"
#include "sycamore/ctl/terminal.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamore::ctl {

// Words that follow the name of a command; flags are in the FLAGS_ variables.
struct Invocation
{
  std::vector<std::string> mArguments;
  const Terminal& mTerminal;
};

// A sub-command, e.g. "program create".
struct Command
{
  std::string_view mName;
  std::string_view mArguments; // Names of the arguments, separated by spaces; "..." repeats.
  std::string_view mSummary;
  std::vector<std::string_view> mFlags; // Accepted besides the common ones.
  std::function<ExitCode(const Invocation&)> mRun;
};

// All commands in the order of the help text.
const std::vector<Command>&
AllCommands();

// Finds the command that aWords begins with and runs it with the remaining words. Prints help if
// FLAGS_help is set.
ExitCode
RunCommand(const std::vector<std::string>& aWords, const Terminal& aTerminal);

// Parses flags and words and runs the command.
ExitCode
Main(int aCount, char** aArguments, const Terminal& aTerminal);

}
