#pragma once

#include "sycamore/base/error_kind.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sycamore::gateway {

enum class CallEnd : uint8_t
{
  Answered,   // The caller received a replica's complete answer.
  Refused,    // The caller received an error from this process.
  BrokenOff,  // The caller's connection was closed in the middle of an answer.
  CallerGone, // The caller disconnected before the end.
};

constexpr size_t kCallEndCount = static_cast<size_t>(CallEnd::CallerGone) + 1;

// How a call ended, for the log and the metrics.
struct CallOutcome
{
  CallEnd mEnd = CallEnd::Answered;
  std::string mDetail;
  std::optional<base::ErrorKind> mError; // Set if the call was refused.
};

}
