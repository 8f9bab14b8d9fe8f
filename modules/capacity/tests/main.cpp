#define BOOST_TEST_MODULE capacity
#include <boost/test/unit_test.hpp>
