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

// Reads the server-sent events of a streamed chat completion. Accepts pieces cut anywhere.
class AnswerParser
{
public:
  // Returns the text that aData added, perhaps none. TargetFailed if an event is malformed or
  // reports an error, or if the answer exceeds kMaxAnswerBytes; the stream is then useless.
  base::Result<std::string> Feed(std::string_view aData);

  // Whether the end marker was read.
  bool Complete() const;

  // The whole text so far.
  const std::string& Text() const;

  // Nothing until the engine has reported it.
  const std::optional<AnswerUsage>& Usage() const;

  // The answer as an unstreamed chat completion.
  std::string Body() const;

  // Longest text of an answer, in bytes; far above any max_tokens in use.
  static constexpr size_t kMaxAnswerBytes = size_t{ 4 } << 20;

private:
  base::Result<std::string> ParseLine(std::string_view aLine);
  base::Result<std::string> ParseEvent(std::string_view aData);

  std::string mIncompleteLine; // An incomplete line.
  std::string mText;
  std::string mFinishReason = "stop";
  std::optional<AnswerUsage> mUsage;
  bool mComplete = false;
};

// Reads the usage of an unstreamed chat completion; TargetFailed if aBody is no such answer. An
// answer without usage gives zeros.
base::Result<AnswerUsage>
ParseAnswer(std::string_view aBody);

}
