#pragma once

#include <string>

namespace sycamore::client {

// One server-sent event.
struct ServerEvent
{
  std::string mId; // Empty if the event has none.
  std::string mName;
  std::string mData;

  bool operator==(const ServerEvent&) const = default;
};

}
