#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/base/error.h"
#include "sycamore/http/client.h"
#include "sycamore/http/endpoint.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace sycamore::http {

// How far a request got when it failed. Decides whether "not run" may be said of it.
enum class SendProgress : uint8_t
{
  NothingSent, // The connection was not established; no byte was written.
  MaybeSent,   // At least one byte may have reached the server.
};

// Reports of one asynchronous request. Exactly one of mOnDone and mOnError is called, last, unless
// the client is stopped first.
struct AsyncHandlers
{
  std::function<void(std::string)> mOnData; // Streaming: a piece of the body. May be empty.
  std::function<void(ClientResponse)> mOnDone;
  std::function<void(base::Error, SendProgress)> mOnError;
};

// Runs any number of requests concurrently on its own thread; each has a connection of its own,
// kept for reuse only after a complete answer. Handlers run on that thread and must not block.
class AsyncClient
{
public:
  AsyncClient();
  ~AsyncClient();
  AsyncClient(const AsyncClient&) = delete;
  AsyncClient& operator=(const AsyncClient&) = delete;

  // Starts aRequest; returns an id for Cancel. If aHandlers.mOnData is set, body pieces go there
  // and the response's mBody is empty. Errors: TargetRefused with NothingSent; ConnectionLost,
  // TargetTimeout or DeadlineExceeded with MaybeSent. Never retries a request of which a byte was
  // written. Thread-safe.
  uint64_t Start(const Endpoint& aEndpoint,
                 ClientRequest aRequest,
                 base::Millis aDeadline,
                 AsyncHandlers aHandlers);

  // Closes the connection of a request; it reports ConnectionLost. Unknown ids are ignored.
  void Cancel(uint64_t aId);

  // Ends all requests without further reports and joins the thread. Idempotent.
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

}
