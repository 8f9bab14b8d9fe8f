#pragma once

#include "async.h"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/system/errc.hpp>
#include <functional>
#include <string_view>

namespace sycamore::gateway {

// What a parsed field takes besides its text: a node of a list and of a tree, and the allocator's
// share.
inline constexpr size_t kFieldOverheadBytes = 96;

// Whether the memory for a head of a size may be taken.
using GrowHead = std::function<bool(size_t)>;

// The memory that aFields take.
size_t
MemoryOf(const boost::beast::http::fields& aFields);

// Reads a head into aParser, and leaves in aBuffer what follows it. Asks aGrow for the memory of
// the head, a multiple of its size if it has many short fields, before it is parsed. Errors: those
// of the stream and of the parser, and not_enough_memory if aGrow refuses.
template<typename Parser>
boost::asio::awaitable<boost::system::error_code>
ReadHead(boost::beast::tcp_stream& aStream,
         boost::beast::flat_buffer& aBuffer,
         Parser& aParser,
         GrowHead aGrow)
{
  namespace http = boost::beast::http;
  // Of a read; heads mostly fit into one.
  constexpr size_t kMinReadBytes = 512;
  size_t unread = aBuffer.size(); // Bytes at the end of aBuffer whose lines are not counted.
  size_t bytes = 0;
  size_t lines = 0;
  boost::system::error_code error;
  for (;;) {
    const std::string_view text(static_cast<const char*>(aBuffer.data().data()), aBuffer.size());
    const std::string_view added = text.substr(text.size() - unread);
    bytes += added.size();
    lines += static_cast<size_t>(std::count(added.begin(), added.end(), '\n'));
    // The bytes are there twice: in the buffer and as fields.
    if (!aGrow(2 * bytes + lines * kFieldOverheadBytes)) {
      co_return make_error_code(boost::system::errc::not_enough_memory);
    }
    if (aBuffer.size() > 0) {
      aBuffer.consume(aParser.put(aBuffer.data(), error));
      if (error != http::error::need_more) {
        co_return error;
      }
    }
    if (aBuffer.size() == aBuffer.max_size()) {
      co_return make_error_code(http::error::buffer_overflow);
    }
    const size_t room = std::max(kMinReadBytes, aBuffer.capacity() - aBuffer.size());
    const size_t size = std::min(room, aBuffer.max_size() - aBuffer.size());
    std::tie(error, unread) = co_await aStream.async_read_some(aBuffer.prepare(size), kAsTuple);
    aBuffer.commit(unread);
    if (error == boost::asio::error::eof) {
      co_return aParser.got_some() ? make_error_code(http::error::partial_message)
                                   : make_error_code(http::error::end_of_stream);
    }
    if (error) {
      co_return error;
    }
  }
}

}
