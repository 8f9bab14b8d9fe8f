#include "sycamore/base/log.h"

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

namespace sycamore::base {

// Standard output goes to a file while the fixture lives.
struct LogWriterFixture
{
  std::FILE* mFile = std::tmpfile();
  int mSaved = ::dup(STDOUT_FILENO);

  LogWriterFixture() { ::dup2(::fileno(mFile), STDOUT_FILENO); }

  ~LogWriterFixture()
  {
    ::dup2(mSaved, STDOUT_FILENO);
    ::close(mSaved);
    std::fclose(mFile);
  }

  // The lines written so far that contain aText.
  int CountLines(const std::string& aText) const
  {
    std::rewind(mFile);
    int count = 0;
    char line[512];
    while (std::fgets(line, sizeof line, mFile) != nullptr) {
      count += std::string(line).find(aText) != std::string::npos ? 1 : 0;
    }
    return count;
  }
};

// Guards against lines that are lost at the end of the process, or mixed when threads write at
// once.
BOOST_FIXTURE_TEST_CASE(LogWriterAtItsEndHasWrittenEachLineWhole, LogWriterFixture)
{
  {
    const LogWriter writer;
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i) {
      threads.emplace_back([] {
        for (int line = 0; line < 100; ++line) {
          Log(LogEvent::GatewayCall, "begin {} end", line);
        }
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
  }
  BOOST_TEST(CountLines(" begin ") == 400);
  BOOST_TEST(CountLines(" end\n") == 400);
}

// Guards against lines with text that a caller chooses: two thousand of them wait for a writer that
// nobody reads from, and filled the memory.
BOOST_FIXTURE_TEST_CASE(LogLineOfALongTextIsCut, LogWriterFixture)
{
  {
    const LogWriter writer;
    Log(LogEvent::GatewayCall, "begin {}", std::string(12000, 'x'));
    Log(LogEvent::GatewayCall, "next");
  }
  BOOST_TEST(CountLines(" begin ") == 1);
  BOOST_TEST(CountLines("... (cut)\n") == 1);
  BOOST_TEST(CountLines(" next\n") == 1);
  BOOST_TEST(std::ftell(mFile) < 3000);
}

}
