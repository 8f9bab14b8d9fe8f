#include "sycamore/platform/base64.h"

#include <boost/test/unit_test.hpp>

namespace sycamore::platform {

// Guards against records that change on their way through the log. Vectors of RFC 4648, section 10.
BOOST_AUTO_TEST_CASE(Base64OfStandardVectorsMatches)
{
  const std::pair<std::string, std::string> vectors[] = {
    { "", "" },
    { "f", "Zg==" },
    { "fo", "Zm8=" },
    { "foo", "Zm9v" },
    { "foob", "Zm9vYg==" },
    { "fooba", "Zm9vYmE=" },
    { "foobar", "Zm9vYmFy" },
  };
  for (const auto& [data, text] : vectors) {
    BOOST_TEST(EncodeBase64(data) == text);
    BOOST_TEST(DecodeBase64(text).value() == data);
  }
}

BOOST_AUTO_TEST_CASE(Base64OfAllBytesRoundTrips)
{
  std::string data;
  for (int i = 0; i < 256; ++i) {
    data.push_back(static_cast<char>(i));
    BOOST_TEST(DecodeBase64(EncodeBase64(data)).value() == data);
  }
}

BOOST_AUTO_TEST_CASE(Base64OfMalformedTextIsRejected)
{
  for (const char* text : { "Zg", "Zg=", "Z===", "Zm9v!A==", "Zg==Zg==", "====", "Zm 9" }) {
    BOOST_TEST(!DecodeBase64(text).has_value(), text);
  }
}

}
