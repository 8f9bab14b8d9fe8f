#include "sycamore/base/error_kind.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace sycamore::base {

struct ErrorTableFixture
{
  static ErrorKind KindAt(size_t aIndex) { return static_cast<ErrorKind>(aIndex); }
};

// Guards against a kind added to the list without a row, or rows out of order.
BOOST_FIXTURE_TEST_CASE(ErrorTableForEachKindHasItsRow, ErrorTableFixture)
{
  for (size_t i = 0; i < kErrorKindCount; ++i) {
    BOOST_TEST((AnswerFor(KindAt(i)).mKind == KindAt(i)));
  }
}

// Guards against two errors that a client cannot tell apart.
BOOST_FIXTURE_TEST_CASE(ErrorTableCodesAreUnique, ErrorTableFixture)
{
  std::set<std::string_view> codes;
  for (size_t i = 0; i < kErrorKindCount; ++i) {
    BOOST_TEST(codes.insert(AnswerFor(KindAt(i)).mCode).second);
  }
}

// Guards against answers for calls with unknown outcome that claim the call did not run, or that
// invite a retry.
BOOST_FIXTURE_TEST_CASE(ErrorTableUnknownOutcomeIsNeitherNotRunNorRetryable, ErrorTableFixture)
{
  const Answer& answer = AnswerFor(ErrorKind::OutcomeUnknown);
  BOOST_TEST((answer.mRun == RunState::Unknown));
  BOOST_TEST(!answer.mRetryable);
}

}
