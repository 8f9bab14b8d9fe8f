#include "sycamore/ctl/command.h"

#include "flags.h"
#include "groups.h"
#include "request.h"

#include <algorithm>
#include <fmt/format.h>
#include <sstream>
#include <utility>

namespace sycamore::ctl {

static constexpr std::string_view kCommonFlags[] = { "entry", "timeout_ms", "help" };

static constexpr std::string_view kExitCodes =
  "Exit codes: 0 success; 1 refused, not run; 2 faulty arguments or file; 3 no entry reached;\n"
  "4 edit conflict; 5 the request may have been run.\n";

const std::vector<Command>&
AllCommands()
{
  static const std::vector<Command> sCommands = [] {
    std::vector<Command> all;
    for (auto group : { ProgramCommands(),
                        CallCommands(),
                        TableCommands(),
                        LocalCommands(),
                        BenchCommands(),
                        CapacityCommands() }) {
      std::move(group.begin(), group.end(), std::back_inserter(all));
    }
    return all;
  }();
  return sCommands;
}

static std::vector<std::string>
Words(std::string_view aText)
{
  std::istringstream stream{ std::string(aText) };
  return { std::istream_iterator<std::string>(stream), std::istream_iterator<std::string>() };
}

static std::string
Overview()
{
  std::string text = "Usage: sycamorectl COMMAND [ARGUMENTS] [--FLAGS]\n\nCommands:\n";
  for (const Command& command : AllCommands()) {
    const auto usage = fmt::format("{} {}", command.mName, command.mArguments);
    text += fmt::format("  {:<36} {}\n", usage, command.mSummary);
  }
  text += "\n`sycamorectl COMMAND --help` describes the flags of a command.\n";
  return text + std::string(kExitCodes);
}

static std::string
FlagHelp(std::string_view aName)
{
  gflags::CommandLineFlagInfo info;
  if (!gflags::GetCommandLineFlagInfo(std::string(aName).c_str(), &info)) {
    return "";
  }
  const std::string initial = info.default_value.empty() ? "\"\"" : info.default_value;
  return fmt::format(
    "  --{} ({}, default {})\n      {}\n", aName, info.type, initial, info.description);
}

static std::string
Help(const Command& aCommand)
{
  std::string text = fmt::format("Usage: sycamorectl {} {} [--FLAGS]\n\n{}\n\nFlags:\n",
                                 aCommand.mName,
                                 aCommand.mArguments,
                                 aCommand.mSummary);
  for (const std::string_view flag : aCommand.mFlags) {
    text += FlagHelp(flag);
  }
  for (const std::string_view flag : kCommonFlags) {
    text += flag == "help" ? "" : FlagHelp(flag);
  }
  return fmt::format("{}\n{}", text, kExitCodes);
}

static const Command*
FindCommand(const std::vector<std::string>& aWords)
{
  for (const Command& command : AllCommands()) {
    const auto name = Words(command.mName);
    if (aWords.size() >= name.size() && std::equal(name.begin(), name.end(), aWords.begin())) {
      return &command;
    }
  }
  return nullptr;
}

// The first flag that was set but does not apply to aCommand; empty if there is none.
static std::string
InapplicableFlag(const Command& aCommand)
{
  std::vector<gflags::CommandLineFlagInfo> flags;
  gflags::GetAllFlags(&flags);
  for (const auto& flag : flags) {
    const auto named = [&flag](std::string_view aName) { return aName == flag.name; };
    const bool known = std::any_of(std::begin(kCommonFlags), std::end(kCommonFlags), named) ||
                       std::any_of(aCommand.mFlags.begin(), aCommand.mFlags.end(), named);
    if (!flag.is_default && !known) {
      return flag.name;
    }
  }
  return "";
}

static bool
ArgumentCountFits(const Command& aCommand, size_t aCount)
{
  const size_t wanted = Words(aCommand.mArguments).size();
  return aCommand.mArguments.ends_with("...") ? aCount >= wanted : aCount == wanted;
}

ExitCode
RunCommand(const std::vector<std::string>& aWords, const Terminal& aTerminal)
{
  const Command* command = FindCommand(aWords);
  if (command == nullptr) {
    const bool help = FLAGS_help || (aWords.size() == 1 && aWords[0] == "help");
    (help ? aTerminal.mOut : aTerminal.mErr)(Overview());
    return help ? ExitCode::Ok : ExitCode::Usage;
  }
  if (FLAGS_help) {
    aTerminal.mOut(Help(*command));
    return ExitCode::Ok;
  }
  const size_t nameLength = Words(command->mName).size();
  const std::vector<std::string> arguments(aWords.begin() + static_cast<std::ptrdiff_t>(nameLength),
                                           aWords.end());
  if (!ArgumentCountFits(*command, arguments.size())) {
    return UsageError(aTerminal,
                      fmt::format("usage: sycamorectl {} {}", command->mName, command->mArguments));
  }
  const std::string inapplicable = InapplicableFlag(*command);
  if (!inapplicable.empty()) {
    return UsageError(
      aTerminal,
      fmt::format("--{} has no meaning for `{}`; see --help", inapplicable, command->mName));
  }
  return command->mRun({ arguments, aTerminal });
}

// The first unknown flag, for which gflags would end the process; empty if all are known.
static std::string
UnknownFlag(int aCount, char** aArguments)
{
  for (int i = 1; i < aCount; ++i) {
    std::string_view text = aArguments[i];
    if (text == "--") {
      break;
    }
    if (!text.starts_with('-') || text.size() < 2) {
      continue;
    }
    text.remove_prefix(text.starts_with("--") ? 2 : 1);
    std::string name(text.substr(0, text.find('=')));
    gflags::CommandLineFlagInfo info;
    const bool known = gflags::GetCommandLineFlagInfo(name.c_str(), &info);
    const bool negated = name.starts_with("no") &&
                         gflags::GetCommandLineFlagInfo(name.substr(2).c_str(), &info) &&
                         info.type == "bool";
    if (!known && !negated) {
      return name;
    }
    // The value in "--name value" is not a flag, even if it begins with a dash.
    i += known && info.type != "bool" && text.find('=') == std::string_view::npos ? 1 : 0;
  }
  return "";
}

ExitCode
Main(int aCount, char** aArguments, const Terminal& aTerminal)
{
  const std::string unknown = UnknownFlag(aCount, aArguments);
  if (!unknown.empty()) {
    return UsageError(aTerminal, fmt::format("unknown flag --{}; see --help", unknown));
  }
  gflags::ParseCommandLineNonHelpFlags(&aCount, &aArguments, true);
  return RunCommand({ aArguments + 1, aArguments + aCount }, aTerminal);
}

}
