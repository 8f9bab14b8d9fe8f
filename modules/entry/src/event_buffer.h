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

// nullopt if aText is not an event id.
std::optional<EventId>
ParseEventId(std::string_view aText);

// A server-sent event without id.
std::string
RenderEvent(std::string_view aName, std::string_view aData);

// A token event without id.
std::string
RenderToken(std::string_view aText);

// The numbered events of one call, kept for replay until the call is answered. The texts of tokens
// share one string, since a call has many short tokens.
class EventBuffer
{
public:
  // aEpoch is the owner's epoch of the partition. aFirst is the index of the first event; it is
  // above those of earlier calls with the same sequence number in the epoch.
  EventBuffer(uint64_t aEpoch, uint64_t aFirst);

  void AddToken(std::string_view aText);

  // Discards the text of the events so far for their receivers; a new attempt follows.
  void AddReset();

  void AddDone(std::string_view aData);

  // Number of events so far.
  size_t Size() const { return mEvents.size(); }

  // Index after the last event.
  uint64_t NextIndex() const { return mFirst + mEvents.size(); }

  // The text of the events from position aFrom on.
  std::string TextFrom(size_t aFrom) const;

  // Position at which a replay for aLastEventId starts. aReset is set if the id is of another epoch
  // or not of this call; the replay then starts at 0 and a reset event goes first.
  size_t ReplayFrom(std::string_view aLastEventId, bool& aReset) const;

private:
  enum class Kind : uint8_t
  {
    Token,
    Reset,
    Done,
  };

  struct Event
  {
    Kind mKind;
    uint32_t mEnd; // Of its text in mText.
  };

  void Add(Kind aKind, std::string_view aText);
  std::string Render(size_t aPosition) const;

  uint64_t mEpoch;
  uint64_t mFirst;
  std::string mText;
  std::vector<Event> mEvents;
};

}
