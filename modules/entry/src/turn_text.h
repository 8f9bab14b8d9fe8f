#pragma once

#include "sycamore/wire/codec.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sycamore::entry {

// The texts of one committed call.
struct TurnText
{
  uint32_t mSeq = 0;
  wire::LogTurnKind mKind = wire::LogTurnKind::Model;
  std::string mKey;
  uint64_t mRequestDigest = 0;
  std::string mRequest; // As CallRequest::mText.
  std::string mAnswer;  // JSON object with answer, usage and status.
  uint32_t mStatus = 200;

  // Derived by DeriveText.
  std::string mFragment;    // Its messages in later prompts: JSON objects separated by commas.
  uint64_t mTokenBound = 0; // Upper bound of the tokens of mFragment.
  std::optional<uint64_t> mTotalTokens; // Prompt and answer, as counted by the engine.

  size_t Bytes() const { return mRequest.size() + mAnswer.size() + mFragment.size(); }
};

// Fills the derived fields of aText.
void
DeriveText(TurnText& aText);

// The answer part of a model turn, as kept in the log.
std::string
ModelAnswer(const std::string& aContent,
            uint64_t aPromptTokens,
            uint64_t aCachedTokens,
            uint64_t aGeneratedTokens);

// The answer part of a tool turn: aBody as JSON if it is JSON, otherwise as a string.
std::string
ToolAnswer(const std::string& aBody, uint32_t aStatus);

// The body of the caller's answer: aAnswer with the sequence number put first.
std::string
CallerAnswer(uint32_t aSeq, const std::string& aAnswer);

// The text that the model generated, from a chat-completions body or from ModelAnswer's form; empty
// if aBody has neither form.
std::optional<std::string>
ContentOf(const std::string& aBody);

}
