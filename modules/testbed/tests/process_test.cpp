#include "sycamore/testbed/process.h"

#include "sycamore/testbed/binaries.h"
#include "sycamore/testbed/temporary_directory.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

namespace sycamore::testbed {

struct ProcessFixture
{
  ProcessFixture()
    : mProcess(StandinProgram(), { "tool", "--listen=127.0.0.1:0" }, mDirectory.Path() / "tool.log")
  {
    BOOST_REQUIRE_MESSAGE(mProcess.WaitForOutput("tool ready", base::Seconds(20)),
                          mProcess.Output());
  }

  TemporaryDirectory mDirectory;
  Process mProcess;
};

// Guards against processes that survive a test.
BOOST_FIXTURE_TEST_CASE(ProcessAfterKillIsReaped, ProcessFixture)
{
  BOOST_TEST(mProcess.Running());
  mProcess.Kill();
  BOOST_TEST(!mProcess.Running());
  BOOST_TEST(mProcess.WaitForExit(base::Millis(0)).value() == 128 + SIGKILL);
  BOOST_TEST(::kill(mProcess.Pid(), 0) == -1);
}

BOOST_FIXTURE_TEST_CASE(ProcessAfterTerminateExitsInOrder, ProcessFixture)
{
  mProcess.Terminate();
  BOOST_TEST(mProcess.WaitForExit(base::Seconds(20)).value() == 0);
}

// Guards against a pause that has not taken effect when it returns, and against a stopped process
// that cannot be ended.
BOOST_FIXTURE_TEST_CASE(ProcessWhilePausedDoesNotReactUntilResumed, ProcessFixture)
{
  mProcess.Pause();
  BOOST_TEST(mProcess.Running());
  mProcess.Terminate();
  BOOST_TEST(!mProcess.WaitForExit(base::Millis(200)).has_value());
  mProcess.Resume();
  BOOST_TEST(mProcess.WaitForExit(base::Seconds(20)).value() == 0);
}

BOOST_FIXTURE_TEST_CASE(ProcessWhilePausedCanBeKilled, ProcessFixture)
{
  mProcess.Pause();
  mProcess.Kill();
  BOOST_TEST(!mProcess.Running());
}

// Guards against waiting for the whole limit when the program cannot start.
BOOST_AUTO_TEST_CASE(ProcessOfMissingProgramReportsItsExit)
{
  const TemporaryDirectory directory;
  Process process(directory.Path() / "missing", {}, directory.Path() / "log");
  BOOST_TEST(!process.WaitForOutput("ready", base::Seconds(20)));
  BOOST_TEST(process.WaitForExit(base::Seconds(20)).value() == Process::kExitNotExecuted);
}

}
