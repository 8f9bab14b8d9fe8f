#include "event_buffer.h"

#include <charconv>
#include <fmt/format.h>

namespace sycamore::entry {

static bool
ParseNumber(std::string_view aText, uint64_t& aNumber)
{
  const char* end = aText.data() + aText.size();
  const auto [stop, failure] = std::from_chars(aText.data(), end, aNumber);
  return failure == std::errc{} && stop == end && !aText.empty();
}

std::optional<EventId>
ParseEventId(std::string_view aText)
{
  const size_t dot = aText.find('.');
  EventId id;
  if (dot == std::string_view::npos || !ParseNumber(aText.substr(0, dot), id.mEpoch) ||
      !ParseNumber(aText.substr(dot + 1), id.mIndex)) {
    return std::nullopt;
  }
  return id;
}

std::string
RenderEvent(std::string_view aName, std::string_view aData)
{
  return fmt::format("event: {}\ndata: {}\n\n", aName, aData);
}

EventBuffer::EventBuffer(uint64_t aEpoch)
  : mEpoch(aEpoch)
{
}

void
EventBuffer::Add(std::string_view aName, std::string_view aData)
{
  mEvents.push_back(
    fmt::format("id: {}.{}\n{}", mEpoch, mEvents.size(), RenderEvent(aName, aData)));
}

std::string
EventBuffer::TextFrom(size_t aFrom) const
{
  std::string text;
  for (size_t i = aFrom; i < mEvents.size(); ++i) {
    text += mEvents[i];
  }
  return text;
}

size_t
EventBuffer::ReplayFrom(std::string_view aLastEventId, bool& aReset) const
{
  aReset = false;
  if (aLastEventId.empty()) {
    return 0;
  }
  const std::optional<EventId> id = ParseEventId(aLastEventId);
  if (!id || id->mEpoch != mEpoch || id->mIndex >= mEvents.size()) {
    aReset = true;
    return 0;
  }
  return static_cast<size_t>(id->mIndex) + 1;
}

}
