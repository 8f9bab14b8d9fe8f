#pragma once

#include "sycamore/wire/codec.h"

#include <cstdint>
#include <string>

namespace sycamore::ledger {

// The location of one committed call in the stream.
struct TurnIndex
{
  uint32_t mSeq = 0;
  uint64_t mOffset = 0; // Of the batch that holds its text.
  uint32_t mBytes = 0;  // Of request and answer.
  uint64_t mRequestDigest = 0;
  wire::LogTurnKind mKind = wire::LogTurnKind::Model;
  std::string mKey; // Set for non-idempotent calls.

  bool operator==(const TurnIndex&) const = default;
};

}
