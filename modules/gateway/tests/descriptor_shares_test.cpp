#include "descriptor_shares.h"

#include <boost/test/unit_test.hpp>

namespace sycamore::gateway {

// Guards against shares that together exceed the descriptors.
BOOST_AUTO_TEST_CASE(DescriptorSharesOfAnyLimitFitIntoIt)
{
  for (const size_t limit : { 64U, 400U, 4100U, 8200U, 1048576U }) {
    const DescriptorShares shares = SharesOf(limit);
    BOOST_TEST(shares.mCallers + shares.mCalls + shares.mPeers < limit);
    BOOST_TEST(shares.mCallers >= shares.mCalls);
    BOOST_TEST(shares.mCalls > 0U);
  }
}

}
