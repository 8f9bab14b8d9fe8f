#pragma once

#include "sycamore/base/error_kind.h"

#include <string>

namespace sycamore::base {

// An error with the detail that a person needs to act on it.
struct Error
{
  ErrorKind mKind = ErrorKind::Internal;
  std::string mMessage; // One sentence; says what to do where that is known.
  std::string mField;   // Path of the faulty field, empty if none.

  bool operator==(const Error&) const = default;
};

}
