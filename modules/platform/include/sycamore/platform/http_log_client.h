#pragma once

#include "sycamore/http/endpoint.h"
#include "sycamore/platform/log_client.h"

#include <memory>

namespace sycamore::platform {

// A client of the log's HTTP interface (docs/design.md, section 9.2). aTimeout bounds each call.
std::unique_ptr<LogClient>
MakeHttpLogClient(const http::Endpoint& aEndpoint, base::Millis aTimeout);

}
