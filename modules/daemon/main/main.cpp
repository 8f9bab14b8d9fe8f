#include "sycamore/base/log.h"
#include "sycamore/daemon/run.h"
#include "sycamore/settings/parse.h"

#include <fmt/format.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iterator>
#include <string>
#include <variant>
#include <vector>

DEFINE_string(settings, "", "JSON settings file; its keys are listed in docs/settings.md");

using sycamore::base::Error;
using sycamore::base::Log;
using sycamore::base::LogEvent;
using sycamore::base::LogLevel;
using sycamore::settings::Settings;

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

// Reads and checks a settings file; a file that cannot be read is returned as a fault too.
static std::variant<Settings, std::vector<Error>>
ReadSettings(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return std::vector<Error>{
      { sycamore::base::ErrorKind::InvalidSettings, "cannot be read; pass --settings=FILE", "/" }
    };
  }
  const std::string text{ std::istreambuf_iterator<char>(file), {} };
  return sycamore::settings::Parse(text);
}

// Applies the only setting that can change while the process runs, the log level. An invalid file
// changes nothing.
static void
Reload()
{
  const auto read = ReadSettings(FLAGS_settings);
  if (const auto* faults = std::get_if<1>(&read)) {
    Log(LogEvent::SettingsInvalid,
        "reload: {}: {}; the settings before stay in force",
        faults->front().mField,
        faults->front().mMessage);
    return;
  }
  const auto& settings = std::get<0>(read);
  sycamore::base::SetLogLevel(LevelOf(settings.mLogLevel));
  Log(LogEvent::SettingsReloaded, "log_level={}", settings.mLogLevel);
}

int
main(int argc, char** argv)
{
  namespace daemon = sycamore::daemon;
  gflags::SetUsageMessage("--settings=FILE\n\nRuns one entry or sidecar process of sycamorelever.\n"
                          "Exit codes: 0 stopped gracefully, 1 start failed, 2 invalid settings,\n"
                          "3 stopped with work in flight.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const auto read = ReadSettings(FLAGS_settings);
  if (const auto* faults = std::get_if<1>(&read)) {
    for (const auto& fault : *faults) {
      fmt::print(stderr, "{}: {}: {}\n", FLAGS_settings, fault.mField, fault.mMessage);
    }
    return daemon::ExitInvalidSettings;
  }
  const auto& settings = std::get<0>(read);
  sycamore::base::SetLogInstance(settings.mInstance);
  sycamore::base::SetLogLevel(LevelOf(settings.mLogLevel));
  daemon::BlockSignals();
  const sycamore::base::LogWriter writer;
  const auto service = daemon::MakeService(settings);
  return daemon::RunUntilSignal(*service, settings.mDrainLimit, Reload);
}
