#pragma once

#include "sycamore/base/error.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace sycamore::gateway {

using CallerRequest = boost::beast::http::request<boost::beast::http::string_body>;
using WholeAnswer = boost::beast::http::response<boost::beast::http::string_body>;

// Sends the answer of a call to its caller: once, whole or as a stream. All sends return false if
// the caller has disconnected.
class CallerLink
{
public:
  virtual ~CallerLink() = default;

  // Sends a complete answer with its Content-Length.
  virtual boost::asio::awaitable<bool> SendWhole(WholeAnswer aAnswer) = 0;

  // Sends the header of an answer whose body follows in pieces.
  virtual boost::asio::awaitable<bool> BeginStream(
    boost::beast::http::response_header<> aHeader) = 0;

  virtual boost::asio::awaitable<bool> SendPiece(std::string_view aBytes) = 0;

  // Ends the streamed answer. Without it the connection is closed before the last chunk, so that a
  // truncated answer never looks complete.
  virtual boost::asio::awaitable<bool> EndStream() = 0;

  // Whether the caller closed its connection.
  virtual bool Gone() const = 0;

  // Runs aHandler when the caller closes its connection; replaces the handler before it.
  virtual void SetGoneHandler(std::function<void()> aHandler) = 0;
};

// The error response for aError. aRetryAfter, if set, is the time after which the caller may send a
// call again that has not run; it becomes the Retry-After header.
WholeAnswer
ErrorAnswer(const base::Error& aError, std::optional<std::chrono::milliseconds> aRetryAfter);

}
