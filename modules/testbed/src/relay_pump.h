#pragma once

#include "relay_link_state.h"

#include "sycamore/base/clock.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace sycamore::testbed {

// One direction of one connection of a relay.
class RelayPump : public std::enable_shared_from_this<RelayPump>
{
public:
  using Socket = boost::asio::ip::tcp::socket;

  // aOnEnd is called once when the direction has failed; an orderly end of the stream is passed on
  // to aTo instead, and aOnEnd is called then too.
  RelayPump(std::shared_ptr<Socket> aFrom,
            std::shared_ptr<Socket> aTo,
            std::shared_ptr<RelayLinkState> aLink,
            std::function<void(bool aFailed)> aOnEnd);

  void Start();

  // Discards all bytes from now on and reports no end.
  void Drop();

  // Looks for bytes that may be sent now, after a change of the link's mode.
  void Resume();

  // Releases the callback.
  void Close();

private:
  struct Chunk
  {
    base::TimePoint mDue;
    std::string mData; // Empty: the end of the stream.
  };

  void Read();
  void OnRead(const boost::system::error_code& aError, size_t aBytes);
  void Push(std::string aData);
  void WriteNext();
  void WaitUntilDue();
  void Write();
  void End(bool aFailed);

  std::shared_ptr<Socket> mFrom;
  std::shared_ptr<Socket> mTo;
  std::shared_ptr<RelayLinkState> mLink;
  std::function<void(bool)> mOnEnd;
  boost::asio::steady_timer mTimer;
  std::array<char, size_t{ 64 } << 10> mBuffer{};
  std::deque<Chunk> mChunks;
  size_t mQueuedBytes = 0;
  bool mReading = false;
  bool mWriting = false; // The first chunk is being written.
  bool mWaiting = false; // The timer runs until the first chunk is due.
  bool mEnded = false;   // The source has sent its last byte.
  bool mDropping = false;
};

}
