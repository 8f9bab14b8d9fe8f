#include "sycamore/base/parse_number.h"

#include <boost/test/unit_test.hpp>

namespace sycamore::base {

// Guards against a number that is read from a part of a text, or wraps around.
BOOST_AUTO_TEST_CASE(ParseNumberTakesOnlyWholeNumbersWithoutSign)
{
  BOOST_TEST(ParseNumber("0").value() == 0U);
  BOOST_TEST(ParseNumber("18446744073709551615").value() == ~uint64_t{ 0 });
  BOOST_TEST(ParseNumber("ff", 16).value() == 255U);
  for (const char* text : { "", " 1", "1 ", "-1", "+1", "1e3", "ff", "18446744073709551616" }) {
    BOOST_TEST(!ParseNumber(text).has_value(), text);
  }
}

}
