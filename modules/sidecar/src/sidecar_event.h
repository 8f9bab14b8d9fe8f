#pragma once

#include "sycamore/base/error.h"
#include "sycamore/http/async_client.h"
#include "sycamore/http/request.h"
#include "sycamore/transport/peer_event.h"

#include <future>
#include <memory>
#include <string>
#include <variant>

namespace sycamore::sidecar {

struct TargetData
{
  uint64_t mRequestId = 0;
  std::string mData;
};

struct TargetDone
{
  uint64_t mRequestId = 0;
  http::ClientResponse mResponse;
};

struct TargetFailed
{
  uint64_t mRequestId = 0;
  base::Error mError;
  http::SendProgress mProgress = http::SendProgress::MaybeSent;
};

struct SlotAnswer
{
  uint64_t mRequestId = 0;
  bool mGranted = false;
  base::Millis mRetryAfter{ 0 };
};

struct Tick
{};

struct DrainRequested
{};

struct DumpRequested
{
  std::shared_ptr<std::promise<std::string>> mReply;
};

// An event for the core thread of a sidecar.
using SidecarEvent = std::variant<transport::PeerEvent,
                                  TargetData,
                                  TargetDone,
                                  TargetFailed,
                                  SlotAnswer,
                                  Tick,
                                  DrainRequested,
                                  DumpRequested,
                                  http::Request>;

}
