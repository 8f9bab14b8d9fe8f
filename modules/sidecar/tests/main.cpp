#define BOOST_TEST_MODULE sidecar
#include <boost/test/unit_test.hpp>
