#pragma once

#include "sycamore/base/clock.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>

namespace sycamore::gateway {

// An open connection to a replica; carries one call at a time.
struct ReplicaConnection
{
  // Limits the bytes that wait for the parser, which needs a whole head, chunk header or trailer
  // before it goes on; reading fails when one does not fit.
  static constexpr size_t kMaxUnparsedBytes = 65536;

  explicit ReplicaConnection(const boost::asio::any_io_executor& aExecutor)
    : mStream(aExecutor)
  {
  }

  boost::beast::tcp_stream mStream;
  boost::beast::flat_buffer mBuffer{ kMaxUnparsedBytes };
  bool mUsedBefore = false;     // By a call that has ended.
  base::TimePoint mUsableUntil; // While idle: the replica may close the connection after this time.
};

using ReplicaConnectionPtr = std::unique_ptr<ReplicaConnection>;

// Whether an idle connection is still open and has received no bytes, which would belong to no
// call.
bool
IsReusable(ReplicaConnection& aConnection);

// Makes the kernel detect a peer that has stopped responding: after aTimeout with unacknowledged
// data, or by keep-alive probes while the connection is idle. Failures are ignored: the options
// only shorten the detection.
void
EnableDeadPeerDetection(boost::asio::ip::tcp::socket& aSocket, base::Millis aTimeout);

}
