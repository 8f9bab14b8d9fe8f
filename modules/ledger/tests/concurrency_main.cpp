#define BOOST_TEST_MODULE ledger_concurrency
#include <boost/test/unit_test.hpp>
