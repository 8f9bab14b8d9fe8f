#pragma once

#include "sycamore/base/error.h"
#include "sycamore/http/client.h"

#include <string>
#include <string_view>

namespace sycamore::client {

// A request that did not succeed, as the caller sees it: the error object of an answer, or the same
// fields for a request without an answer.
struct Failure
{
  int mStatus = 0; // 0 without an answer.
  std::string mCode;
  std::string mMessage;
  std::string mField;
  std::string mRun; // "not_run", "uncommitted", "unknown" or empty.
  bool mRetryable = false;
  base::Millis mRetryAfter{ 0 };
};

// Reads the error object of an answer. An answer without one gets the code "http_STATUS".
Failure
FailureOf(int aStatus, std::string_view aBody, base::Millis aRetryAfter);

// The failure of a request without an answer.
Failure
FailureOf(const base::Error& aError);

// "code: message (field F; run R)".
std::string
ToString(const Failure& aFailure);

}
