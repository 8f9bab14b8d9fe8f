#include "bounded_name.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace sycamore::gateway {

// Guards against long names that fill the memory, and against two programs that share a budget
// because their names are shortened alike.
BOOST_AUTO_TEST_CASE(BoundedNameOfLongNamesIsShortAndDistinct)
{
  const std::string longest(64, 'p');
  BOOST_TEST(BoundedName(longest) == longest);
  BOOST_TEST(BoundedName("") == "");
  const std::string one = BoundedName(std::string(12000, 'p') + "1");
  const std::string other = BoundedName(std::string(12000, 'p') + "2");
  BOOST_TEST(one.size() == 65U);
  BOOST_TEST(one != other);
  BOOST_TEST(one == BoundedName(std::string(12000, 'p') + "1"));
  // A caller that sends the short form names another program.
  BOOST_TEST(BoundedName(one) != one);
}

}
