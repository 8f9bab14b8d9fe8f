#define BOOST_TEST_MODULE accounts
#include <boost/test/unit_test.hpp>
