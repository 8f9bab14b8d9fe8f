#include "sycamore/sidecar/sidecar.h"

#include "sidecar_impl.h"

namespace sycamore::sidecar {

Sidecar::Sidecar(settings::Settings aSettings, uint64_t aIncarnation)
  : mImpl(std::make_unique<Impl>(std::move(aSettings), aIncarnation))
{
}

Sidecar::~Sidecar() = default;

base::Result<base::Unit>
Sidecar::Start()
{
  return mImpl->Start();
}

void
Sidecar::BeginDrain()
{
  mImpl->BeginDrain();
}

bool
Sidecar::Drained() const
{
  return mImpl->Drained();
}

std::string
Sidecar::Dump()
{
  return mImpl->Dump();
}

void
Sidecar::Stop()
{
  mImpl->Stop();
}

http::Endpoint
Sidecar::HttpEndpoint() const
{
  return mImpl->mHttpEndpoint;
}

http::Endpoint
Sidecar::PeerEndpoint() const
{
  return mImpl->mPeerEndpoint;
}

}
