#pragma once

#include "sycamore/wire/codec.h"

#include <cstddef>

namespace sycamore::ledger {

// Approximate encoded size of aEntry in bytes, without encoding it. Bounds memory and batch sizes.
size_t
EstimateBytes(const wire::LogEntryT& aEntry);

}
