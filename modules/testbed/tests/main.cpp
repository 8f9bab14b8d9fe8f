#define BOOST_TEST_MODULE testbed
#include <boost/test/unit_test.hpp>
