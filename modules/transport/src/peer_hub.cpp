#include "sycamore/transport/peer_hub.h"

#include "hub_impl.h"

namespace sycamore::transport {

PeerHub::PeerHub(const PeerHubSettings& aSettings,
                 wire::HelloT aHello,
                 std::function<bool(PeerEvent)> aSink)
  : mImpl(std::make_unique<Impl>(aSettings, std::move(aHello), std::move(aSink)))
{
}

PeerHub::~PeerHub() = default;

base::Result<http::Endpoint>
PeerHub::Listen(const http::Endpoint& aEndpoint)
{
  return mImpl->Listen(aEndpoint);
}

void
PeerHub::Dial(const http::Endpoint& aEndpoint)
{
  mImpl->Dial(aEndpoint);
}

void
PeerHub::Forget(const http::Endpoint& aEndpoint)
{
  mImpl->Forget(aEndpoint);
}

bool
PeerHub::Send(LinkId aLink, const wire::FrameT& aFrame)
{
  return mImpl->Send(aLink, aFrame);
}

void
PeerHub::Publish(wire::HelloT aHello, wire::HeartbeatT aHeartbeat)
{
  mImpl->Publish(std::move(aHello), std::move(aHeartbeat));
}

void
PeerHub::Close(LinkId aLink)
{
  mImpl->CloseLink(aLink);
}

uint64_t
PeerHub::BytesSent() const
{
  return mImpl->mBytesSent.load();
}

uint64_t
PeerHub::BytesReceived() const
{
  return mImpl->mBytesReceived.load();
}

void
PeerHub::Stop(base::Millis aFlush)
{
  mImpl->Stop(aFlush);
}

}
