#include "relay_pump.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace sycamore::testbed {

namespace asio = boost::asio;

// Beyond it, no more is read, so that the sender is slowed down by TCP.
static constexpr size_t kMaxQueuedBytes = size_t{ 4 } << 20;

RelayPump::RelayPump(std::shared_ptr<Socket> aFrom,
                     std::shared_ptr<Socket> aTo,
                     std::shared_ptr<RelayLinkState> aLink,
                     std::function<void(bool)> aOnEnd)
  : mFrom(std::move(aFrom))
  , mTo(std::move(aTo))
  , mLink(std::move(aLink))
  , mOnEnd(std::move(aOnEnd))
  , mTimer(mFrom->get_executor())
{
}

void
RelayPump::Start()
{
  Read();
}

void
RelayPump::Drop()
{
  mDropping = true;
  mLink->mDroppedBytes += mQueuedBytes;
  mQueuedBytes = 0;
  // A chunk that is being written stays until the write has ended.
  const size_t kept = mWriting && !mChunks.empty() ? 1 : 0;
  mChunks.resize(kept);
  Read();
}

void
RelayPump::Resume()
{
  WriteNext();
}

void
RelayPump::Close()
{
  mOnEnd = {};
  mTimer.cancel();
}

void
RelayPump::Read()
{
  if (mReading || mEnded || mQueuedBytes > kMaxQueuedBytes) {
    return;
  }
  mReading = true;
  mFrom->async_read_some(
    asio::buffer(mBuffer),
    [self = shared_from_this()](const boost::system::error_code& aError, size_t aBytes) {
      self->mReading = false;
      self->OnRead(aError, aBytes);
    });
}

void
RelayPump::OnRead(const boost::system::error_code& aError, size_t aBytes)
{
  if (aError && aError != asio::error::eof) {
    mEnded = true;
    End(true);
    return;
  }
  mEnded = aError == asio::error::eof;
  if (mDropping) {
    mLink->mDroppedBytes += aBytes;
  } else {
    Push(std::string(mBuffer.data(), aBytes));
  }
  Read();
}

void
RelayPump::Push(std::string aData)
{
  mQueuedBytes += aData.size();
  mChunks.push_back(Chunk{ base::Clock::now() + mLink->mDelay, std::move(aData) });
  WriteNext();
}

void
RelayPump::WriteNext()
{
  if (mWriting || mWaiting || mChunks.empty() || mLink->mMode == RelayMode::Hold) {
    return;
  }
  if (mChunks.front().mDue > base::Clock::now()) {
    WaitUntilDue();
    return;
  }
  if (mChunks.front().mData.empty()) {
    mChunks.pop_front();
    boost::system::error_code ignored;
    mTo->shutdown(Socket::shutdown_send, ignored);
    End(false);
    return;
  }
  Write();
}

void
RelayPump::WaitUntilDue()
{
  mWaiting = true;
  mTimer.expires_at(mChunks.front().mDue);
  mTimer.async_wait([self = shared_from_this()](const boost::system::error_code& aError) {
    self->mWaiting = false;
    if (!aError) {
      self->WriteNext();
    }
  });
}

void
RelayPump::Write()
{
  mWriting = true;
  asio::async_write(
    *mTo,
    asio::buffer(mChunks.front().mData),
    [self = shared_from_this()](const boost::system::error_code& aError, size_t aBytes) {
      self->mWriting = false;
      self->mChunks.pop_front();
      self->mLink->mForwardedBytes += aBytes;
      self->mQueuedBytes -= std::min(self->mQueuedBytes, aBytes);
      if (aError) {
        self->End(true);
        return;
      }
      self->WriteNext();
      self->Read();
    });
}

void
RelayPump::End(bool aFailed)
{
  // The ends of a dropping connection must not notice each other.
  if (!mDropping && mOnEnd) {
    std::exchange(mOnEnd, {})(aFailed);
  }
}

}
