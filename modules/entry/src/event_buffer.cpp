#include "event_buffer.h"

#include <boost/json/serialize.hpp>
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

std::string
RenderToken(std::string_view aText)
{
  return RenderEvent("token", fmt::format("{{\"text\":{}}}", boost::json::serialize(aText)));
}

EventBuffer::EventBuffer(uint64_t aEpoch, uint64_t aFirst)
  : mEpoch(aEpoch)
  , mFirst(aFirst)
{
}

void
EventBuffer::Add(Kind aKind, std::string_view aText)
{
  mText += aText;
  mEvents.push_back({ aKind, static_cast<uint32_t>(mText.size()) });
}

void
EventBuffer::AddToken(std::string_view aText)
{
  Add(Kind::Token, aText);
}

void
EventBuffer::AddReset()
{
  Add(Kind::Reset, "");
}

void
EventBuffer::AddDone(std::string_view aData)
{
  Add(Kind::Done, aData);
}

std::string
EventBuffer::Render(size_t aPosition) const
{
  const Event& event = mEvents[aPosition];
  const size_t begin = aPosition == 0 ? 0 : mEvents[aPosition - 1].mEnd;
  const std::string_view text = std::string_view(mText).substr(begin, event.mEnd - begin);
  switch (event.mKind) {
    case Kind::Token:
      return RenderToken(text);
    case Kind::Reset:
      return RenderEvent("reset", "{}");
    case Kind::Done:
      break;
  }
  return RenderEvent("done", text);
}

std::string
EventBuffer::TextFrom(size_t aFrom) const
{
  std::string text;
  for (size_t i = aFrom; i < mEvents.size(); ++i) {
    text += fmt::format("id: {}.{}\n{}", mEpoch, mFirst + i, Render(i));
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
  if (!id || id->mEpoch != mEpoch || id->mIndex < mFirst || id->mIndex >= NextIndex()) {
    aReset = true;
    return 0;
  }
  return static_cast<size_t>(id->mIndex - mFirst) + 1;
}

}
