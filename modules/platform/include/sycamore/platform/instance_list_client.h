#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/base/result.h"
#include "sycamore/http/endpoint.h"
#include "sycamore/world/instance.h"

#include <memory>
#include <vector>

namespace sycamore::platform {

// The platform's list of instances. Calls block; an instance belongs to one thread.
class InstanceListClient
{
public:
  virtual ~InstanceListClient() = default;

  // Reads the whole list. Rows without name, role or address, and rows with an unknown state, are
  // skipped, since the list is only a hint. Errors: those of http::Client; TargetFailed if the
  // answer is no list.
  virtual base::Result<std::vector<world::Instance>> Read() = 0;
};

// A client of the list's HTTP interface (docs/design.md, section 9.2). aTimeout bounds each call.
std::unique_ptr<InstanceListClient>
MakeHttpInstanceListClient(const http::Endpoint& aEndpoint, base::Millis aTimeout);

}
