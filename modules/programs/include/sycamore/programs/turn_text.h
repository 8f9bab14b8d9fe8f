#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sycamore::programs {

// What a turn contributes to later prompts; a record of the texts' stream.
struct TurnText
{
  std::string mAttempt;
  std::string mInput;
  std::string mOutput; // The data of each event, each followed by a line feed.

  size_t Bytes() const { return mInput.size() + mOutput.size(); }

  bool operator==(const TurnText&) const = default;
};

std::string
EncodeTurnText(const TurnText& aText);

// Nothing if aBytes is not a valid record.
std::optional<TurnText>
DecodeTurnText(std::string_view aBytes);

}
