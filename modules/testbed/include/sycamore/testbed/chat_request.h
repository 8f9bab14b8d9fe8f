#pragma once

#include "sycamore/base/result.h"
#include "sycamore/testbed/engine_call.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sycamore::testbed {

// A parsed chat-completions request.
struct ChatRequest
{
  EngineCall mCall;
  std::string mModel;
  std::string mAnswer; // The text that will be generated.
  uint64_t mMaxTokens = 0;
  std::optional<uint64_t> mFence;
  bool mStream = false;
};

// Parses the body of a chat-completions request. aAnswerTokens bounds the length of the answer if
// positive. If the last message contains "[answer_tokens=N]", N takes the place of aAnswerTokens.
// max_tokens (default 64) is the limit in any case. Errors: MalformedBody, InvalidField.
base::Result<ChatRequest>
ParseChatRequest(std::string_view aBody, uint64_t aAnswerTokens);

}
