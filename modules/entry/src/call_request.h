#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/base/result.h"
#include "sycamore/wire/codec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sycamore::entry {

// A validated request for a call.
struct CallRequest
{
  uint32_t mSeq = 0;
  wire::CallKind mKind = wire::CallKind::Model;
  std::string mService;
  std::string mText;    // The request as kept in the log: JSON without seq, stream and deadline.
  uint64_t mDigest = 0; // Of mText.
  bool mStream = false;
  std::optional<base::Millis> mDeadline;
  // Model calls.
  std::string mMessages; // The new messages as JSON objects, separated by commas.
  uint64_t mMaxTokens = 0;
  uint64_t mNewTokens = 0; // Upper bound of the tokens of the new messages.
  // Tool calls.
  std::string mTool;
  std::string mArguments; // JSON text.
  bool mRepeatable = true;
  std::string mKey; // Set for non-idempotent calls.
};

// Upper bound of the tokens of a message with aBytes bytes of text: a token has at least one byte,
// and the chat template adds a few tokens per message.
uint64_t
TokenBound(size_t aBytes);

// Parses the body of POST /v1/programs/{id}/calls. Errors: MalformedBody, KeyMissing, or
// InvalidField with the field's path.
base::Result<CallRequest>
ParseCallRequest(std::string_view aBody);

}
