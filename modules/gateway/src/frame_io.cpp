#include "frame_io.h"

#include "async.h"

#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

namespace sycamore::gateway {

// The store's longest answer is about a megabyte.
static constexpr size_t kMaxFrameBytes = size_t{ 4 } << 20;

boost::asio::awaitable<std::optional<std::string>>
ReadFrame(boost::beast::tcp_stream& aStream)
{
  std::array<unsigned char, 4> length{};
  auto [error, bytes] =
    co_await boost::asio::async_read(aStream, boost::asio::buffer(length), kAsTuple);
  const size_t size = boost::endian::load_big_u32(length.data());
  if (error || size > kMaxFrameBytes) {
    co_return std::nullopt;
  }
  std::string frame(size, '\0');
  std::tie(error, bytes) =
    co_await boost::asio::async_read(aStream, boost::asio::buffer(frame), kAsTuple);
  if (error) {
    co_return std::nullopt;
  }
  co_return frame;
}

boost::asio::awaitable<bool>
WriteFrame(boost::beast::tcp_stream& aStream, std::string aFrame)
{
  const auto [error, bytes] =
    co_await boost::asio::async_write(aStream, boost::asio::buffer(aFrame), kAsTuple);
  co_return !error;
}

}
