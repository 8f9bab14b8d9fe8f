#define BOOST_TEST_MODULE entry
#include "sycamore/base/log.h"

#include <boost/test/unit_test.hpp>

// Suppresses log lines, which would hide the reports of failed tests.
struct QuietLog
{
  QuietLog() { sycamore::base::SetLogLevel(sycamore::base::LogLevel::Error); }
};

BOOST_TEST_GLOBAL_FIXTURE(QuietLog);
