#define BOOST_TEST_MODULE testbed_processes
#include <boost/test/unit_test.hpp>
