#include "explain.h"
#include "flags.h"
#include "groups.h"
#include "request.h"

#include "sycamore/settings/parse.h"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <sstream>

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

static boost::json::object
ToJson(const Explanation& aExplanation)
{
  boost::json::array lines;
  for (const LogLine& line : aExplanation.mLines) {
    lines.push_back({ { "time", line.mTime },
                      { "instance", line.mInstance },
                      { "event", line.mName },
                      { "text", line.mText } });
  }
  return { { "lines", std::move(lines) },
           { "findings",
             boost::json::array(aExplanation.mFindings.begin(), aExplanation.mFindings.end()) } };
}

static std::string
ToText(const Explanation& aExplanation)
{
  std::string text;
  for (const LogLine& line : aExplanation.mLines) {
    text +=
      fmt::format("{} {:<20} {:<20} {}\n", line.mTime, line.mInstance, line.mName, line.mText);
  }
  text += "\n";
  for (const std::string& finding : aExplanation.mFindings) {
    text += finding + "\n";
  }
  return text;
}

static ExitCode
ExplainRequest(const Invocation& aInvocation)
{
  std::vector<LogLine> lines;
  for (size_t i = 1; i < aInvocation.mArguments.size(); ++i) {
    const auto content = ReadFile(aInvocation.mArguments[i], aInvocation.mTerminal);
    if (!content) {
      return ExitCode::Usage;
    }
    std::istringstream stream(*content);
    for (std::string text; std::getline(stream, text);) {
      if (auto line = ParseLogLine(text)) {
        lines.push_back(std::move(*line));
      }
    }
  }
  const std::string& id = aInvocation.mArguments[0];
  const Explanation explanation = Explain(std::move(lines), id);
  if (explanation.mLines.empty()) {
    aInvocation.mTerminal.mErr(
      fmt::format("sycamorectl: no line in these files has the id {}\n", id));
    return ExitCode::Refused;
  }
  aInvocation.mTerminal.mOut(FLAGS_json ? boost::json::serialize(ToJson(explanation)) + "\n"
                                        : ToText(explanation));
  return ExitCode::Ok;
}

std::vector<Command>
LocalCommands()
{
  return { { "settings check",
             "FILE",
             "Checks a settings file without any connection; prints each fault with its path.",
             {},
             CheckSettings },
           { "explain",
             "ID FILE...",
             "Shows from the log files of daemons what happened to a request or program.",
             { "json" },
             ExplainRequest },
           { "dump", "", "Prints the state of the first process that --entry names.", {}, Dump } };
}

}
