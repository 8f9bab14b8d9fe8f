#pragma once

#include "sycamore/base/clock.h"

#include <cstdint>
#include <string>

namespace sycamore::http {

// A piece of the answer to a request. A complete answer is one part with mFirst and mLast set; a
// stream has several parts, sent as chunks.
struct ResponsePart
{
  uint64_t mRequest = 0;
  bool mFirst = true; // Carries status, content type and retry-after.
  bool mLast = true;
  int mStatus = 200;
  std::string mContentType = "application/json";
  std::string mBody;
  base::Millis mRetryAfter{ 0 }; // Header Retry-After, rounded up to seconds, if positive.
};

}
