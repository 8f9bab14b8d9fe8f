#pragma once

#include "sycamore/base/clock.h"

#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace sycamore::testbed {

// A child process. Signals go to its process id alone. It is killed and reaped at the end of the
// object's life, and killed by the kernel if the thread that started it ends; start processes on a
// thread that lives as long as they. Not thread-safe.
class Process
{
public:
  // Starts aProgram. Standard output and error are appended to aLogFile. Throws std::system_error
  // if no process can be started; a program that cannot be executed exits with kExitNotExecuted.
  Process(const std::filesystem::path& aProgram,
          const std::vector<std::string>& aArguments,
          std::filesystem::path aLogFile);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  static constexpr int kExitNotExecuted = 127;

  pid_t Pid() const { return mPid; }

  // Whether the process has not ended; a paused one counts as running.
  bool Running();

  // Sends SIGKILL and waits for the end.
  void Kill();

  // Sends SIGSTOP and waits until the process has stopped.
  void Pause();

  // Sends SIGCONT.
  void Resume();

  // Sends SIGTERM and returns at once.
  void Terminate();

  // Waits for the end. Returns the exit status, or 128 plus the number of the signal that ended the
  // process; nothing if it still runs after aLimit.
  std::optional<int> WaitForExit(base::Millis aLimit);

  // What the process has written so far.
  std::string Output() const;

  // Waits until the output of this process contains aText. Returns false if the process ends or
  // aLimit passes before.
  bool WaitForOutput(std::string_view aText, base::Millis aLimit);

private:
  void Send(int aSignal) const;
  void Reap(int aStatus);

  std::filesystem::path mLogFile;
  size_t mLogStart = 0; // Size of the log file before the start.
  pid_t mPid = 0;
  std::optional<int> mExit; // Set once reaped.
};

}
