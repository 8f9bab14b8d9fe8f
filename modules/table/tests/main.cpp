#define BOOST_TEST_MODULE table
#include <boost/test/unit_test.hpp>
