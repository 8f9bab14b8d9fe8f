#include "sycamore/base/error_kind.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <fstream>
#include <string>
#include <vector>

namespace sycamore::ctl {

struct ErrorsPageFixture
{
  std::vector<std::string> mRows; // Rows of the table of errors.

  ErrorsPageFixture()
  {
    std::ifstream file(SYCAMORE_API_PAGE);
    BOOST_REQUIRE(file);
    bool inTable = false;
    for (std::string line; std::getline(file, line);) {
      if (inTable && line.starts_with("| ")) {
        mRows.push_back(line);
      }
      inTable = inTable || line.starts_with("| code |");
    }
  }
};

// Guards against an error that callers receive but cannot look up, or that is documented with
// another status, run state or advice to retry.
BOOST_FIXTURE_TEST_CASE(ErrorsPageListsAllErrorsInOrder, ErrorsPageFixture)
{
  BOOST_TEST_REQUIRE(mRows.size() == base::kErrorKindCount);
  for (size_t i = 0; i < mRows.size(); ++i) {
    const base::Answer& answer = base::AnswerFor(static_cast<base::ErrorKind>(i));
    const std::string_view run = base::RunStateName(answer.mRun);
    const auto expected = fmt::format("| {} | {} |{}{} | {} | ",
                                      answer.mCode,
                                      answer.mHttpStatus,
                                      run.empty() ? "" : " ",
                                      run,
                                      answer.mRetryable ? "yes" : "no");
    BOOST_TEST(mRows[i].starts_with(expected), mRows[i] + " instead of " + expected);
  }
}

}
