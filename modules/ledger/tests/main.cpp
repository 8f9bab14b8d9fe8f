#define BOOST_TEST_MODULE ledger
#include <boost/test/unit_test.hpp>
