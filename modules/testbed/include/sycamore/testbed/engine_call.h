#pragma once

#include "sycamore/testbed/prefix_link.h"

#include <cstdint>
#include <string>

namespace sycamore::testbed {

// A model call as the batch sees it.
struct EngineCall
{
  uint64_t mId = 0;
  std::string mProgram;  // Empty: the prefix is not kept.
  int64_t mPriority = 0; // Lower values run first.
  PrefixChain mChain;    // One link per message of the request.
  uint64_t mPromptTokens = 0;
  uint64_t mPriorTokens =
    0; // Of them, up to the last assistant message: an engine had them before.
  uint64_t mAnswerTokens = 1;
  PrefixLink mAnswerLink; // The chain's next link once the answer is complete.
};

}
