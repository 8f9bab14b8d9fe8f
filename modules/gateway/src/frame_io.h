#pragma once

#include "memory_account.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstddef>
#include <optional>
#include <string>

namespace sycamore::gateway {

// Reads the length of a frame within the time set on aStream. Nothing if the connection ends or the
// frame is too long.
boost::asio::awaitable<std::optional<size_t>>
ReadFrameLength(boost::beast::tcp_stream& aStream);

// Reads the rest of a frame of aLength within the time set on aStream. Takes memory as the bytes
// arrive, counted in aMemory if there is one. Nothing if the connection ends or the memory is
// short.
boost::asio::awaitable<std::optional<std::string>>
ReadFrameBody(boost::beast::tcp_stream& aStream,
              size_t aLength,
              MemoryAccount::Hold* aMemory = nullptr);

// Reads one frame within the time set on aStream; returns it without its length. Nothing if the
// connection ends or the frame is too long.
boost::asio::awaitable<std::optional<std::string>>
ReadFrame(boost::beast::tcp_stream& aStream);

// Writes a frame that carries its length. False if the connection failed.
boost::asio::awaitable<bool>
WriteFrame(boost::beast::tcp_stream& aStream, std::string aFrame);

}
