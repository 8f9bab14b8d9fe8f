#include "frame_io.h"

#include "async.h"

#include <algorithm>
#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

namespace sycamore::gateway {

// The store's longest answer is about a megabyte.
static constexpr size_t kMaxFrameBytes = size_t{ 4 } << 20;

// Memory is taken in steps of this size, or of what has arrived: a length alone must take none.
static constexpr size_t kMinStepBytes = size_t{ 16 } << 10;

boost::asio::awaitable<std::optional<size_t>>
ReadFrameLength(boost::beast::tcp_stream& aStream)
{
  std::array<unsigned char, 4> length{};
  const auto [error, bytes] =
    co_await boost::asio::async_read(aStream, boost::asio::buffer(length), kAsTuple);
  const size_t size = boost::endian::load_big_u32(length.data());
  co_return error || size > kMaxFrameBytes ? std::nullopt : std::optional(size);
}

boost::asio::awaitable<std::optional<std::string>>
ReadFrameBody(boost::beast::tcp_stream& aStream, size_t aLength, MemoryAccount::Hold* aMemory)
{
  std::string frame;
  while (frame.size() < aLength) {
    const size_t read = frame.size();
    const size_t size = std::min(aLength, read + std::max(read, kMinStepBytes));
    if (aMemory != nullptr && !aMemory->Grow(size)) {
      co_return std::nullopt;
    }
    frame.resize(size);
    const auto [error, bytes] = co_await boost::asio::async_read(
      aStream, boost::asio::buffer(frame.data() + read, size - read), kAsTuple);
    if (error) {
      co_return std::nullopt;
    }
  }
  co_return frame;
}

boost::asio::awaitable<std::optional<std::string>>
ReadFrame(boost::beast::tcp_stream& aStream)
{
  const auto length = co_await ReadFrameLength(aStream);
  if (!length) {
    co_return std::nullopt;
  }
  co_return co_await ReadFrameBody(aStream, *length);
}

boost::asio::awaitable<bool>
WriteFrame(boost::beast::tcp_stream& aStream, std::string aFrame)
{
  const auto [error, bytes] =
    co_await boost::asio::async_write(aStream, boost::asio::buffer(aFrame), kAsTuple);
  co_return !error;
}

}
