#define BOOST_TEST_MODULE client
#include <boost/test/unit_test.hpp>
