#include "member.h"

#include <boost/test/unit_test.hpp>

namespace sycamore::gateway {

// Guards against members that cannot be reached after an upgrade: gateways of before announced
// their address alone.
BOOST_AUTO_TEST_CASE(MemberAddressOfAnOlderGatewayIsAMemberThatIsNoAggregator)
{
  const auto member = DecodeMember("g1", "10.0.0.1:7380");
  BOOST_TEST_REQUIRE(member.has_value());
  BOOST_TEST(member->mInstance == "g1");
  BOOST_TEST(ToString(member->mPeer) == "10.0.0.1:7380");
  BOOST_TEST(member->mLinkMbits == 0U);
}

BOOST_AUTO_TEST_CASE(MemberEncodedAndDecodedIsTheSame)
{
  const Member member{ "g1", { "10.0.0.1", 7380 }, "zone-a", 600 };
  const auto decoded = DecodeMember("g1", EncodeMember(member));
  BOOST_TEST_REQUIRE(decoded.has_value());
  BOOST_TEST((*decoded == member));
}

// Guards against a crash or a wrong address by a value that another program has written.
BOOST_AUTO_TEST_CASE(MemberMalformedValueIsIgnored)
{
  for (const char* value :
       { "", "{}", "[]", "{\"peer\":5}", "{\"peer\":\"x\"}", "x:1", "{", "null" }) {
    BOOST_TEST(!DecodeMember("g1", value).has_value(), value);
  }
  const auto odd = DecodeMember("g1", R"({"peer":"10.0.0.1:1","domain":3,"link_mbits":-4})");
  BOOST_TEST_REQUIRE(odd.has_value());
  BOOST_TEST(odd->mDomain.empty());
  BOOST_TEST(odd->mLinkMbits == 0U);
}

}
