#pragma once

#include "sycamore/wire/codec.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sycamore::ledger {

// The state of one non-idempotent call, as recorded in the log.
struct KeyState
{
  uint32_t mSeq = 0;
  uint64_t mRequestDigest = 0;
  std::string mTarget;
  std::string mSidecar;
  uint64_t mSidecarIncarnation = 0; // The only incarnation that may run the call.
  uint64_t mIntentOffset = 0;
  std::optional<wire::LogOutcomeKind>
    mOutcome; // Empty until recorded. Unknown may later change to another outcome.

  bool operator==(const KeyState&) const = default;
};

}
