#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/base/result.h"
#include "sycamore/http/endpoint.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace sycamore::http {

// A request of the blocking client.
struct ClientRequest
{
  std::string mMethod = "GET";
  std::string mTarget; // Path with query.
  std::string mBody;
  std::string mContentType = "application/json";
  std::map<std::string, std::string> mHeaders;
};

struct ClientResponse
{
  int mStatus = 0;
  std::string mContentType;
  std::string mBody;
  base::Millis mRetryAfter{ 0 };
};

// A blocking client with one persistent connection. Not thread-safe.
class Client
{
public:
  // aTimeout bounds each call of Perform as a whole.
  Client(Endpoint aEndpoint, base::Millis aTimeout);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Sends aRequest and reads the answer. Any HTTP status is a value. Errors: TargetRefused if
  // nothing was sent; ConnectionLost or TargetTimeout if the request may have been executed. A
  // request is never sent twice, except on a kept connection that the server had closed before any
  // byte of it was written.
  base::Result<ClientResponse> Perform(const ClientRequest& aRequest);

  // Like Perform, and passes each piece of the body to aOnData as it arrives; mBody stays empty.
  // Ends early with a ConnectionLost error if aOnData returns false. aTimeout then bounds each
  // read.
  base::Result<ClientResponse> PerformStreaming(
    const ClientRequest& aRequest,
    const std::function<bool(std::string_view)>& aOnData);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

}
