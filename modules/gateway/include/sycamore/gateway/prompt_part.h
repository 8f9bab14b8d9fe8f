#pragma once

#include <cstdint>

namespace sycamore::gateway {

// A part of a prompt. Requests share parts; a replica that keeps a part, and all parts before it in
// the prompt, does not prefill them again.
struct PromptPart
{
  uint64_t mId = 0;
  uint64_t mTokens = 0; // Of this request; the part of a session grows from turn to turn.

  bool operator==(const PromptPart&) const = default;
};

}
