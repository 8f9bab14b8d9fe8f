#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/base/result.h"
#include "sycamore/http/endpoint.h"

#include <memory>
#include <string>

namespace sycamore::platform {

// The answer to a request for a slot.
struct SlotAnswer
{
  bool mGranted = false;
  base::Millis mRetryAfter{ 0 }; // If not granted; 0 if the store names none.
};

// The platform's rate-limited weight store. Calls block; an instance belongs to one thread.
class WeightStoreClient
{
public:
  virtual ~WeightStoreClient() = default;

  // Asks for permission to load one version of a model on an instance. Errors: those of
  // http::Client; TargetFailed for a status other than 200 and 429.
  virtual base::Result<SlotAnswer> Acquire(const std::string& aModel,
                                           const std::string& aVersion,
                                           const std::string& aInstance) = 0;
};

// A client of the store's HTTP interface (docs/design.md, section 9.2). aTimeout bounds each call.
std::unique_ptr<WeightStoreClient>
MakeHttpWeightStoreClient(const http::Endpoint& aEndpoint, base::Millis aTimeout);

}
