#pragma once

#include "reply_to.h"
#include "sycamore/base/clock.h"

#include <cstdint>
#include <string>

namespace sycamore::entry {

// A caller's request, received here or forwarded by another entry.
struct Incoming
{
  ReplyTo mReply;
  std::string mMethod;
  std::string mPath;
  std::string mBody;
  std::string mLastEventId;
  bool mAcceptsStream = false;
  base::TimePoint mDeadline; // Upper bound; a call's own deadline may be earlier.
  uint32_t mHops = 0;        // Times it was forwarded.
};

}
