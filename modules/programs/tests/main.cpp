#define BOOST_TEST_MODULE programs
#include <boost/test/unit_test.hpp>
