#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace sycamore::gateway {

// Limits the calls in progress, each of which has a connection to a replica. One service leaves a
// quarter of the places to the others, so that replicas that do not answer hold up only their own
// callers. Lives on one event loop.
class CallSlots
{
  // The calls in progress.
  struct Open
  {
    size_t mCalls = 0;
    std::map<std::string, size_t> mByService; // Without services that have no call.
  };

public:
  // The place of one call, returned when it is destroyed.
  class Hold
  {
  public:
    // Takes a place if there is one. May outlive aSlots: calls end later, with their event loop.
    Hold(CallSlots& aSlots, const std::string& aService);
    ~Hold();
    Hold(const Hold&) = delete;
    Hold& operator=(const Hold&) = delete;

    bool Granted() const { return mOpen != nullptr; }

  private:
    const std::shared_ptr<Open> mOpen; // Of the slots; null if there was no place.
    const std::string mService;
  };

  explicit CallSlots(size_t aMax)
    : mMax(aMax)
  {
  }

private:
  // Takes a place; null if there is none.
  std::shared_ptr<Open> Take(const std::string& aService);

  const size_t mMax;
  const std::shared_ptr<Open> mOpen = std::make_shared<Open>();
};

}
