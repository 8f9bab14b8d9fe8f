#pragma once

#include "sycamore/base/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sycamore::sidecar {

// Tokens of one model call as reported by the engine.
struct AnswerUsage
{
  uint64_t mPromptTokens = 0;
  uint64_t mCachedTokens = 0;
  uint64_t mGeneratedTokens = 0;

  bool operator==(const AnswerUsage&) const = default;
};

// Incremental parser of the server-sent events of a streamed chat completion. The input may be
// split at any byte.
class AnswerParser
{
public:
  // Returns the text that aData added, which may be empty. Returns TargetFailed if an event is
  // malformed or reports an error, or if the answer exceeds kMaxAnswerBytes; the parser must not be
  // used afterwards.
  base::Result<std::string> Feed(std::string_view aData);

  // Whether the end marker ([DONE]) was received.
  bool Complete() const;

  // The text received so far.
  const std::string& Text() const;

  // Empty until the engine has reported its usage.
  const std::optional<AnswerUsage>& Usage() const;

  // The answer in the form of a non-streamed chat completion.
  std::string Body() const;

  // Longest text of an answer, in bytes; far above any max_tokens in use.
  static constexpr size_t kMaxAnswerBytes = size_t{ 4 } << 20;

private:
  base::Result<std::string> ParseLine(std::string_view aLine);
  base::Result<std::string> ParseEvent(std::string_view aData);

  std::string mIncompleteLine;
  std::string mText;
  std::string mFinishReason = "stop";
  std::optional<AnswerUsage> mUsage;
  bool mComplete = false;
};

// Returns the usage of a non-streamed chat completion, or TargetFailed if aBody is not a chat
// completion. All counts are zero if the answer has no usage.
base::Result<AnswerUsage>
ParseAnswer(std::string_view aBody);

}
