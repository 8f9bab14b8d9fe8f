#include "log_line.h"

#include <algorithm>
#include <charconv>
#include <vector>

namespace sycamore::ctl {

using base::LogEventInfo;

// Columns of a line without its text: time, level, instance, event, name.
static constexpr size_t kColumns = 5;
// Columns that a log collector may put before them.
static constexpr size_t kMaxPrefixColumns = 4;

// Removes the next word from aText and returns it.
static std::string_view
TakeWord(std::string_view& aText)
{
  aText.remove_prefix(std::min(aText.find_first_not_of(' '), aText.size()));
  const std::string_view word = aText.substr(0, aText.find(' '));
  aText.remove_prefix(word.size());
  return word;
}

static const LogEventInfo*
FindEvent(std::string_view aNumber, std::string_view aName)
{
  uint16_t number = 0;
  if (!aNumber.starts_with('E')) {
    return nullptr;
  }
  std::from_chars(aNumber.data() + 1, aNumber.data() + aNumber.size(), number);
  const auto events = base::AllLogEvents();
  const auto info = std::find_if(events.begin(), events.end(), [&](const LogEventInfo& aInfo) {
    return static_cast<uint16_t>(aInfo.mEvent) == number && aInfo.mName == aName;
  });
  return info == events.end() ? nullptr : &*info;
}

std::optional<LogLine>
ParseLogLine(std::string_view aLine)
{
  std::vector<std::string_view> words;
  std::string_view rest = aLine;
  while (words.size() < kColumns + kMaxPrefixColumns && !rest.empty()) {
    words.push_back(TakeWord(rest));
    if (words.size() < kColumns) {
      continue;
    }
    const size_t first = words.size() - kColumns;
    if (const LogEventInfo* info = FindEvent(words[first + 3], words[first + 4])) {
      rest.remove_prefix(rest.empty() ? 0 : 1);
      return LogLine{ std::string(words[first]),     std::string(words[first + 1]),
                      std::string(words[first + 2]), info->mEvent,
                      std::string(words[first + 4]), std::string(rest) };
    }
  }
  return std::nullopt;
}

std::string
FieldOf(std::string_view aText, std::string_view aKey)
{
  const std::string key = std::string(aKey) + "=";
  size_t at = aText.find(key);
  while (at != std::string_view::npos && at != 0 && aText[at - 1] != ' ') {
    at = aText.find(key, at + 1);
  }
  if (at == std::string_view::npos) {
    return "";
  }
  std::string_view value = aText.substr(at + key.size());
  const bool quoted = value.starts_with('"');
  value.remove_prefix(quoted ? 1 : 0);
  return std::string(value.substr(0, value.find(quoted ? '"' : ' ')));
}

}
