#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/client/failure.h"
#include "sycamore/http/client.h"
#include "sycamore/http/endpoint.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sycamore::client {

// Whether a request whose answer was lost may be sent again.
enum class Resend : uint8_t
{
  Safe,  // Repeating it has no further effect: reads, calls (named by seq), ends.
  Never, // Table edits: the copy would meet a conflict with the first.
};

using Answer = std::variant<http::ClientResponse, Failure>;

// The entries of a system; any of them serves any request. Keeps one connection, to the entry that
// answered last. Not thread-safe.
class Entries
{
public:
  // aTimeout bounds each attempt. Requires at least one endpoint.
  Entries(std::vector<http::Endpoint> aEndpoints, base::Millis aTimeout);

  // Sends aRequest to each entry in turn until one answers it other than by 503 not_run. Returns
  // the 2xx answer, or the last failure.
  Answer Perform(const http::ClientRequest& aRequest, Resend aResend);

  // One attempt at the current entry. Passes the pieces of the body to aOnData; the body of an
  // answer other than 2xx is part of the failure. After a failure, the next entry is current.
  Answer Stream(const http::ClientRequest& aRequest,
                const std::function<void(std::string_view)>& aOnData);

  // Number of entries.
  size_t Count() const { return mEndpoints.size(); }

private:
  http::Client& Current();
  void Next();

  std::vector<http::Endpoint> mEndpoints;
  base::Millis mTimeout;
  size_t mIndex = 0;
  std::unique_ptr<http::Client> mClient;
};

// Parses "address:port" lists separated by commas. ErrorKind::InvalidField names the faulty part.
base::Result<std::vector<http::Endpoint>>
ParseEndpoints(std::string_view aText);

}
