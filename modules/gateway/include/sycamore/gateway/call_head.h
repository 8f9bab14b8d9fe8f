#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/gateway/prompt_part.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sycamore::gateway {

// Call metadata from the headers of a caller's request.
struct CallHead
{
  std::string mAttempt; // Id of this attempt; empty if missing.
  std::optional<base::Millis> mDeadline;
  std::string mProgram;
  std::optional<base::Millis> mProgramDeadline; // Time left until the whole program should end.
  std::optional<std::string> mPreviousTurn;     // Attempt of the turn that this one continues.
  std::optional<uint64_t> mBudgetTokens;        // Of the whole program.
  // The caller resumes a stream after an event that it names by its id.
  bool mResumes = false;
  std::optional<uint64_t> mLastEvent; // That id; nothing if it is not a number.
  std::string mSession;               // Of one line of turns of the program.
  std::vector<PromptPart> mPrompt;    // Empty if the request does not name its parts.
  std::string mObject;                // That the request is about; empty if it names none.
  uint64_t mPromptTokens = 0;
  uint64_t mMaxOutputTokens = 0;
  bool mMalformed = false; // A header of the call has an invalid value.
};

}
