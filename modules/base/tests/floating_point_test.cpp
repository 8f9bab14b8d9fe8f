#include <boost/test/unit_test.hpp>

namespace sycamore::base {

// Guards against decisions and seeded tests whose results depend on the architecture: where the
// processor can, GCC fuses a product with a sum unless it is told not to.
BOOST_AUTO_TEST_CASE(ProductInsideASumIsRoundedOnItsOwn)
{
  // Volatile, so that the expression is not evaluated by the compiler.
  const volatile double factor = 1 + 0x1p-27;
  const volatile double roundedSquare = 1 + 0x1p-26; // The exact square is 2^-54 larger.
  BOOST_TEST(factor * factor - roundedSquare == 0);
}

}
