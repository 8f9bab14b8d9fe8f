#pragma once

#include <cstdint>
#include <string>

namespace sycamore::http {

// A complete request received by the server.
struct Request
{
  uint64_t mId = 0;    // Unique within the server; names the request in Server::Send.
  std::string mMethod; // "GET", "POST", ...
  std::string mPath;   // Path without the query.
  std::string mQuery;  // Text after '?', empty if none.
  std::string mBody;
  std::string mLastEventId;    // Header Last-Event-ID, empty if absent.
  bool mAcceptsStream = false; // Accept names text/event-stream.
};

}
