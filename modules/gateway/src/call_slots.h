#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace sycamore::gateway {

// Limits the calls in progress, each of which has a connection to a replica. One service leaves a
// quarter of the places to the others, so that replicas that do not answer hold up only their own
// callers. Lives on one event loop.
class CallSlots
{
public:
  // The place of one call, returned when it is destroyed.
  class Hold
  {
  public:
    // Takes a place if there is one. aSlots outlives this object.
    Hold(CallSlots& aSlots, const std::string& aService);
    ~Hold();
    Hold(const Hold&) = delete;
    Hold& operator=(const Hold&) = delete;

    bool Granted() const { return mGranted; }

  private:
    CallSlots& mSlots;
    const std::string mService;
    bool mGranted;
  };

  explicit CallSlots(size_t aMax)
    : mMax(aMax)
  {
  }

private:
  bool Take(const std::string& aService);

  const size_t mMax;
  size_t mOpen = 0;
  std::map<std::string, size_t> mOpenByService; // Without services that have no call.
};

}
