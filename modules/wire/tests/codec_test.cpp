#define BOOST_TEST_MODULE wire
#include "sycamore/wire/codec.h"

#include <boost/test/unit_test.hpp>

namespace sycamore::wire {

struct CodecFixture
{
  static FrameT Token()
  {
    CallTokenT token;
    token.call = std::make_unique<CallIdT>();
    token.call->partition = 3;
    token.index = 7;
    token.text = "hello";
    return MakeFrame(std::move(token));
  }
};

// Guards against fields lost between encoding and decoding.
BOOST_FIXTURE_TEST_CASE(CodecFrameRoundTripKeepsFields, CodecFixture)
{
  const std::string encoded = EncodeFrame(Token());
  const size_t length = base::ValueOf(DecodeLength(encoded));
  BOOST_TEST(length == encoded.size() - kLengthBytes);
  const auto decoded = DecodeFrame(std::string_view(encoded).substr(kLengthBytes));
  BOOST_REQUIRE(base::IsOk(decoded));
  const CallTokenT* token = base::ValueOf(decoded).body.AsCallToken();
  BOOST_REQUIRE(token != nullptr);
  BOOST_TEST(token->call->partition == 3U);
  BOOST_TEST(token->index == 7U);
  BOOST_TEST(token->text == "hello");
}

// Guards against reading past the end of a truncated or corrupt frame.
BOOST_FIXTURE_TEST_CASE(CodecTruncatedFrameIsRefused, CodecFixture)
{
  const std::string encoded = EncodeFrame(Token());
  for (size_t size = 0; size + 1 < encoded.size() - kLengthBytes; ++size) {
    const auto decoded = DecodeFrame(std::string_view(encoded).substr(kLengthBytes, size));
    BOOST_TEST(!base::IsOk(decoded));
  }
}

// Guards against allocating whatever length a broken peer announces.
BOOST_FIXTURE_TEST_CASE(CodecLengthOutOfRangeIsRefused, CodecFixture)
{
  BOOST_TEST(!base::IsOk(DecodeLength(std::string(4, '\0'))));
  BOOST_TEST(!base::IsOk(DecodeLength(std::string(4, '\xff'))));
}

}
