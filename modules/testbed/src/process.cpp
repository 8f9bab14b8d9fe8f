#include "sycamore/testbed/process.h"

#include "sycamore/testbed/wait.h"

#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace sycamore::testbed {

static constexpr int kSignalBase = 128;

// Runs in the child between fork and exec: only async-signal-safe functions.
[[noreturn]] static void
Execute(const char* aProgram, char* const* aArguments, const char* aLogFile, pid_t aParent)
{
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  // The parent may have ended before the call above.
  if (::getppid() != aParent) {
    ::_exit(Process::kExitNotExecuted);
  }
  sigset_t none;
  sigemptyset(&none);
  ::sigprocmask(SIG_SETMASK, &none, nullptr);
  const int input = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
  const int output = ::open(aLogFile, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  ::dup2(input, STDIN_FILENO);
  ::dup2(output, STDOUT_FILENO);
  ::dup2(output, STDERR_FILENO);
  // The test's own sockets must not stay open in the child.
  ::close_range(STDERR_FILENO + 1, ~0U, 0);
  ::execv(aProgram, aArguments);
  ::_exit(Process::kExitNotExecuted);
}

static size_t
SizeOf(const std::filesystem::path& aFile)
{
  std::error_code error;
  const auto size = std::filesystem::file_size(aFile, error);
  return error ? 0 : size;
}

Process::Process(const std::filesystem::path& aProgram,
                 const std::vector<std::string>& aArguments,
                 std::filesystem::path aLogFile)
  : mLogFile(std::move(aLogFile))
  , mLogStart(SizeOf(mLogFile))
{
  // Prepared before the fork, since the child must not allocate memory.
  const std::string program = aProgram.string();
  const std::string logFile = mLogFile.string();
  std::vector<std::string> texts{ program };
  texts.insert(texts.end(), aArguments.begin(), aArguments.end());
  std::vector<char*> arguments;
  for (std::string& text : texts) {
    arguments.push_back(text.data());
  }
  arguments.push_back(nullptr);
  const pid_t parent = ::getpid();
  mPid = ::fork();
  if (mPid < 0) {
    throw std::system_error(errno, std::generic_category(), "fork");
  }
  if (mPid == 0) {
    Execute(program.c_str(), arguments.data(), logFile.c_str(), parent);
  }
}

Process::~Process()
{
  Kill();
}

bool
Process::Running()
{
  int status = 0;
  if (!mExit && ::waitpid(mPid, &status, WNOHANG) == mPid) {
    Reap(status);
  }
  return !mExit;
}

void
Process::Kill()
{
  if (mExit) {
    return;
  }
  Send(SIGKILL);
  int status = 0;
  while (::waitpid(mPid, &status, 0) < 0 && errno == EINTR) {
  }
  Reap(status);
}

void
Process::Pause()
{
  if (!Running()) {
    return;
  }
  Send(SIGSTOP);
  int status = 0;
  while (::waitpid(mPid, &status, WUNTRACED) < 0 && errno == EINTR) {
  }
  if (!WIFSTOPPED(status)) {
    Reap(status);
  }
}

void
Process::Resume()
{
  Send(SIGCONT);
}

void
Process::Terminate()
{
  Send(SIGTERM);
}

std::optional<int>
Process::WaitForExit(base::Millis aLimit)
{
  WaitUntil(aLimit, [this] { return !Running(); });
  return mExit;
}

std::string
Process::Output() const
{
  std::ifstream file(mLogFile, std::ios::binary);
  file.seekg(static_cast<std::streamoff>(mLogStart));
  return { std::istreambuf_iterator<char>(file), {} };
}

bool
Process::WaitForOutput(std::string_view aText, base::Millis aLimit)
{
  bool found = false;
  WaitUntil(aLimit, [this, aText, &found] {
    const bool running = Running();
    found = Output().find(aText) != std::string::npos;
    return found || !running;
  });
  return found;
}

void
Process::Send(int aSignal) const
{
  // The id of a reaped process may belong to another one.
  if (!mExit) {
    ::kill(mPid, aSignal);
  }
}

void
Process::Reap(int aStatus)
{
  mExit = WIFEXITED(aStatus) ? WEXITSTATUS(aStatus) : kSignalBase + WTERMSIG(aStatus);
}

}
