#include "sycamore/client/event_parser.h"

#include <utility>

namespace sycamore::client {

void
EventParser::Feed(std::string_view aPiece, const std::function<void(const ServerEvent&)>& aOnEvent)
{
  mRest += aPiece;
  size_t begin = 0;
  for (size_t end = mRest.find('\n'); end != std::string::npos; end = mRest.find('\n', begin)) {
    std::string_view line = std::string_view(mRest).substr(begin, end - begin);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    Line(line, aOnEvent);
    begin = end + 1;
  }
  mRest.erase(0, begin);
}

void
EventParser::Line(std::string_view aLine, const std::function<void(const ServerEvent&)>& aOnEvent)
{
  if (aLine.empty()) {
    const ServerEvent event = std::exchange(mEvent, {});
    const bool complete = std::exchange(mHasData, false) || !event.mName.empty();
    if (complete) {
      aOnEvent(event);
    }
    return;
  }
  const size_t colon = aLine.find(':');
  const std::string_view field = aLine.substr(0, colon);
  std::string_view value = colon == std::string_view::npos ? "" : aLine.substr(colon + 1);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  if (field == "id") {
    mEvent.mId = value;
  } else if (field == "event") {
    mEvent.mName = value;
  } else if (field == "data") {
    mEvent.mData += mHasData ? "\n" : "";
    mEvent.mData += value;
    mHasData = true;
  }
}

}
