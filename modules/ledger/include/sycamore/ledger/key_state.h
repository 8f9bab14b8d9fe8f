#pragma once

#include "sycamore/wire/codec.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sycamore::ledger {

// What the log says of one non-idempotent call.
struct KeyState
{
  uint32_t mSeq = 0;
  uint64_t mRequestDigest = 0;
  std::string mTarget;
  std::string mSidecar;
  uint64_t mSidecarIncarnation = 0; // The only incarnation that may run the call.
  uint64_t mIntentOffset = 0;
  std::optional<wire::LogOutcomeKind>
    mOutcome; // Empty while undecided. Unknown may still be refined.

  bool operator==(const KeyState&) const = default;
};

}
