#pragma once

#include "sycamore/wire/codec.h"

#include <cstddef>

namespace sycamore::ledger {

// Estimates the encoded size of aEntry in bytes without encoding it. Used to limit memory and batch
// sizes.
size_t
EstimateBytes(const wire::LogEntryT& aEntry);

}
