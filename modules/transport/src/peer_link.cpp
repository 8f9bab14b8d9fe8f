#include "peer_link.h"

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace sycamore::transport {

using boost::system::error_code;

// Heartbeats that may be late or lost before a peer counts as silent.
static constexpr int kMissedHeartbeats = 3;
// Longest first frame of a connection, whose sender is not known yet.
static constexpr size_t kMaxHelloBytes = size_t{ 256 } << 10;
// Memory for a frame is taken in steps of this size, or of what has arrived.
static constexpr size_t kMinStepBytes = size_t{ 16 } << 10;

PeerLink::PeerLink(LinkId aId,
                   boost::asio::ip::tcp::socket aSocket,
                   std::string aDialled,
                   const LinkHost& aHost)
  : mId(aId)
  , mSocket(std::move(aSocket))
  , mDialled(std::move(aDialled))
  , mHost(aHost)
  , mLastReceived(base::Clock::now())
{
}

void
PeerLink::Start(const wire::HelloT& aHello)
{
  error_code ignored;
  mSocket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  Send(wire::EncodeFrame(wire::MakeFrame(wire::HelloT(aHello))));
  ReadPrefix();
}

void
PeerLink::Send(std::string aEncoded)
{
  if (Phase() == LinkPhase::Closed) {
    return;
  }
  mQueuedBytes += aEncoded.size();
  mOut.push_back(std::move(aEncoded));
  if (mQueuedBytes > mHost.mSettings.mMaxQueuedBytes) {
    Close("too many unsent bytes");
  } else if (mOut.size() == 1) {
    Write();
  }
}

void
PeerLink::Write()
{
  boost::asio::async_write(mSocket,
                           boost::asio::buffer(mOut.front()),
                           [self = shared_from_this()](const error_code& aCode, size_t aSize) {
                             if (aCode || self->Phase() == LinkPhase::Closed) {
                               self->Close(aCode.message());
                               return;
                             }
                             self->mHost.mCount(aSize, 0);
                             self->mQueuedBytes -= self->mOut.front().size();
                             self->mOut.pop_front();
                             if (!self->mOut.empty()) {
                               self->Write();
                             }
                           });
}

void
PeerLink::ReadPrefix()
{
  boost::asio::async_read(mSocket,
                          boost::asio::buffer(mPrefix),
                          [self = shared_from_this()](const error_code& aCode, size_t) {
                            if (aCode) {
                              self->Close(aCode.message());
                              return;
                            }
                            const auto length = wire::DecodeLength(
                              std::string_view(self->mPrefix.data(), self->mPrefix.size()));
                            if (!base::IsOk(length)) {
                              self->Close(base::ErrorOf(length).mMessage);
                              return;
                            }
                            if (!self->mPeerHello && base::ValueOf(length) > kMaxHelloBytes) {
                              self->Close("the first frame is too long");
                              return;
                            }
                            self->mBody.clear();
                            self->ReadBody(base::ValueOf(length));
                          });
}

void
PeerLink::ReadBody(size_t aLength)
{
  const size_t read = mBody.size();
  mBody.resize(std::min(aLength, read + std::max(read, kMinStepBytes)));
  boost::asio::async_read(mSocket,
                          boost::asio::buffer(mBody.data() + read, mBody.size() - read),
                          [self = shared_from_this(), aLength](const error_code& aCode, size_t) {
                            if (aCode) {
                              self->Close(aCode.message());
                            } else if (self->mBody.size() < aLength) {
                              self->ReadBody(aLength);
                            } else {
                              self->mHost.mCount(0, aLength + wire::kLengthBytes);
                              self->OnFrame();
                            }
                          });
}

void
PeerLink::OnFrame()
{
  if (Phase() == LinkPhase::Closed) {
    return;
  }
  mLastReceived = base::Clock::now();
  auto decoded = wire::DecodeFrame(mBody);
  if (!base::IsOk(decoded)) {
    Close(base::ErrorOf(decoded).mMessage);
    return;
  }
  auto frame = std::make_shared<wire::FrameT>(base::TakeValue(std::move(decoded)));
  const bool isHello = frame->body.type == wire::Body::Hello;
  if (!mMachine.Apply(isHello ? LinkInput::HelloReceived : LinkInput::FrameReceived)) {
    Close("frame not allowed in this phase");
    return;
  }
  if (isHello) {
    mPeerHello = std::make_shared<const wire::HelloT>(std::move(*frame->body.AsHello()));
    mHost.mOnHello(*this, mPeerHello);
  } else {
    if (const auto* heartbeat = frame->body.AsHeartbeat()) {
      mPeerInterval = base::Millis(heartbeat->interval_ms);
    }
    mHost.mOnFrame(*this, std::move(frame));
  }
  if (Phase() != LinkPhase::Closed) {
    ReadPrefix();
  }
}

void
PeerLink::CheckSilence(base::TimePoint aNow)
{
  const auto limit = std::max(mHost.mSettings.mSilenceLimit, kMissedHeartbeats * mPeerInterval);
  if (aNow - mLastReceived > limit) {
    Close("silent");
  }
}

void
PeerLink::Close(const std::string& aReason)
{
  if (Phase() == LinkPhase::Closed && !mSocket.is_open()) {
    return;
  }
  mMachine.Apply(LinkInput::Failed);
  error_code ignored;
  mSocket.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
  mSocket.close(ignored);
  mHost.mOnClosed(*this, aReason);
}

}
