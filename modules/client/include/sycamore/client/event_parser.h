#pragma once

#include "sycamore/client/server_event.h"

#include <functional>
#include <string>
#include <string_view>

namespace sycamore::client {

// Splits a text/event-stream body, which arrives in arbitrary pieces, into events.
class EventParser
{
public:
  // Calls aOnEvent for each event that aPiece completes.
  void Feed(std::string_view aPiece, const std::function<void(const ServerEvent&)>& aOnEvent);

private:
  void Line(std::string_view aLine, const std::function<void(const ServerEvent&)>& aOnEvent);

  std::string mRest; // The line that is not complete yet.
  ServerEvent mEvent;
  bool mHasData = false;
};

}
