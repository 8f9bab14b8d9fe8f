#pragma once

#include "sycamore/client/event_parser.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace sycamore::gateway {

// Splits a streamed answer into whole events for the caller, and collects the event data that later
// prompts contain.
class TurnOutput
{
public:
  // Adds received bytes; returns those that complete events, in order. Bytes of an event that is
  // not complete are kept back.
  std::string Add(std::string_view aBytes);

  // Bytes kept back.
  std::string TakeRest();

  // Bytes held: the history and what is kept back.
  size_t Bytes() const { return mHistory.size() + mRest.size(); }

  uint64_t EventCount() const { return mEventCount; }

  // The data of each event, each followed by a line feed.
  const std::string& History() const { return mHistory; }

private:
  client::EventParser mParser;
  std::string mRest;
  std::string mHistory;
  uint64_t mEventCount = 0;
};

}
