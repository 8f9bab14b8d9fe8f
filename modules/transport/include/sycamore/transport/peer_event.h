#pragma once

#include "sycamore/wire/codec.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

namespace sycamore::transport {

// Names one connection to a peer; never reused within a process.
using LinkId = uint64_t;

// A connection completed its Hello in both directions.
struct PeerConnected
{
  LinkId mLink = 0;
  std::shared_ptr<const wire::HelloT> mHello; // The peer's.
  std::string mAddress;                       // Dialled address; empty if the peer dialled.
};

// A connection ended. Frames already delivered stay valid; none follows.
struct PeerLost
{
  LinkId mLink = 0;
  std::string mReason;
};

// A frame other than Hello. Heartbeats are delivered too.
struct PeerFrame
{
  LinkId mLink = 0;
  std::shared_ptr<wire::FrameT> mFrame;
};

using PeerEvent = std::variant<PeerConnected, PeerLost, PeerFrame>;

}
