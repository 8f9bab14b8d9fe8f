#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamore::entry {

// An event id as callers send it back: `<epoch>.<index>`.
struct EventId
{
  uint64_t mEpoch = 0;
  uint64_t mIndex = 0;
};

// Nothing if aText is no event id.
std::optional<EventId>
ParseEventId(std::string_view aText);

// A server-sent event without id.
std::string
RenderEvent(std::string_view aName, std::string_view aData);

// The numbered events of one call, kept for replay until the call is answered.
class EventBuffer
{
public:
  // aEpoch is the owner's epoch of the partition.
  explicit EventBuffer(uint64_t aEpoch);

  void Add(std::string_view aName, std::string_view aData);

  // Number of events so far.
  size_t Size() const { return mEvents.size(); }

  // The text of the events from aFrom on.
  std::string TextFrom(size_t aFrom) const;

  // Where a replay for aLastEventId starts. aReset is set if the id is of another epoch or not of
  // this buffer; the replay then starts at 0 and a reset event goes first.
  size_t ReplayFrom(std::string_view aLastEventId, bool& aReset) const;

private:
  uint64_t mEpoch;
  std::vector<std::string> mEvents;
};

}
