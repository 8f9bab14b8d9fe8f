#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <optional>
#include <string>

namespace sycamore::gateway {

// Reads one frame within the time set on aStream; returns it without its length. Nothing if the
// connection ends or the frame is too long.
boost::asio::awaitable<std::optional<std::string>>
ReadFrame(boost::beast::tcp_stream& aStream);

// Writes a frame that carries its length. False if the connection failed.
boost::asio::awaitable<bool>
WriteFrame(boost::beast::tcp_stream& aStream, std::string aFrame);

}
