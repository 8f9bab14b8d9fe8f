#pragma once

#include "sycamore/base/result.h"
#include "sycamore/http/endpoint.h"
#include "sycamore/http/request.h"
#include "sycamore/http/response_part.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace sycamore::http {

// What the server reports to the thread that decides.
struct ServerHandlers
{
  // A complete request. Returns false if it cannot be taken; the server then answers 503
  // overloaded.
  std::function<bool(Request)> mOnRequest;
  // The caller closed its connection before the last part was sent. May be empty.
  std::function<void(uint64_t)> mOnClosed;
};

struct ServerLimits
{
  size_t mMaxBodyBytes = size_t{ 4 } << 20; // A longer body is answered 413 body_too_large.
  base::Millis mReadTimeout{ 30000 };       // From the first byte of a request to its last.
  // At the limit a new connection closes the one that has waited longest for its request, or is
  // closed itself if all are being answered.
  size_t mMaxConnections = 1024;
  size_t mMaxBufferedBytes = size_t{ 4 } << 20; // Unsent answer per connection; beyond it, closed.
};

// An HTTP/1.1 server on its own thread. Handlers run on that thread and must not block.
class Server
{
public:
  Server(const ServerLimits& aLimits, ServerHandlers aHandlers);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Binds and starts to accept. Port 0 takes a free port; returns the bound endpoint.
  // ErrorKind::InvalidSettings if the address cannot be bound.
  base::Result<Endpoint> Listen(const Endpoint& aEndpoint);

  // Sends a part of an answer. Parts of one request are sent in the order of the calls; a part for
  // a request that is closed is dropped. Thread-safe.
  void Send(ResponsePart aPart);

  // Stops accepting; requests already received can still be answered. Thread-safe.
  void StopAccepting();

  // Number of requests received and not yet answered completely. Thread-safe.
  size_t OpenRequests() const;

  // Closes everything and joins the thread. Idempotent.
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

}
