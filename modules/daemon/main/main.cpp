#include "sycamore/base/log.h"
#include "sycamore/daemon/run.h"
#include "sycamore/settings/parse.h"

#include <fmt/format.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iterator>
#include <string>

DEFINE_string(settings, "", "JSON settings file; its keys are listed in docs/settings.md");

using sycamore::base::LogLevel;

static LogLevel
LevelOf(const std::string& aName)
{
  if (aName == "debug") {
    return LogLevel::Debug;
  }
  if (aName == "warning") {
    return LogLevel::Warning;
  }
  return aName == "error" ? LogLevel::Error : LogLevel::Info;
}

int
main(int argc, char** argv)
{
  namespace daemon = sycamore::daemon;
  gflags::SetUsageMessage("--settings=FILE\n\nRuns one entry or sidecar process of sycamorelever.\n"
                          "Exit codes: 0 stopped gracefully, 1 start failed, 2 invalid settings,\n"
                          "3 stopped with work in flight.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::ifstream file(FLAGS_settings);
  if (!file) {
    fmt::print(
      stderr, "cannot read the settings file '{}'; pass --settings=FILE\n", FLAGS_settings);
    return daemon::ExitInvalidSettings;
  }
  const std::string text{ std::istreambuf_iterator<char>(file), {} };
  const auto parsed = sycamore::settings::Parse(text);
  if (const auto* faults = std::get_if<1>(&parsed)) {
    for (const auto& fault : *faults) {
      fmt::print(stderr, "{}: {}: {}\n", FLAGS_settings, fault.mField, fault.mMessage);
    }
    return daemon::ExitInvalidSettings;
  }
  const auto& settings = std::get<0>(parsed);
  sycamore::base::SetLogInstance(settings.mInstance);
  sycamore::base::SetLogLevel(LevelOf(settings.mLogLevel));
  daemon::BlockSignals();
  const auto service = daemon::MakeService(settings);
  return daemon::RunUntilSignal(*service, settings.mDrainLimit);
}
