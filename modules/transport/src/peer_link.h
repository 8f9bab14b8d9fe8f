#pragma once

#include "link_machine.h"
#include "sycamore/base/clock.h"
#include "sycamore/transport/peer_event.h"
#include "sycamore/transport/peer_hub.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace sycamore::transport {

class PeerLink;

// What a link needs of its hub. All calls are made on the hub's thread.
struct LinkHost
{
  PeerHubSettings mSettings;
  std::function<void(PeerLink&, std::shared_ptr<const wire::HelloT>)> mOnHello;
  std::function<void(PeerLink&, std::shared_ptr<wire::FrameT>)> mOnFrame;
  std::function<void(PeerLink&, const std::string&)> mOnClosed;
  std::function<void(size_t, size_t)> mCount; // Bytes sent, bytes received.
};

// One TCP connection to a peer. Owned by the hub's table and by its pending operations; used on the
// hub's thread only.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
  // aDialled is the address that was dialled, empty for an accepted connection.
  PeerLink(LinkId aId,
           boost::asio::ip::tcp::socket aSocket,
           std::string aDialled,
           const LinkHost& aHost);

  // Sends aHello and starts to read.
  void Start(const wire::HelloT& aHello);

  // Queues encoded bytes; closes the link if too many wait.
  void Send(std::string aEncoded);

  // Closes the socket and reports it once. Idempotent.
  void Close(const std::string& aReason);

  // Closes the link if the peer has been silent for longer than its limit at aNow.
  void CheckSilence(base::TimePoint aNow);

  LinkId Id() const { return mId; }
  const std::string& Dialled() const { return mDialled; }
  LinkPhase Phase() const { return mMachine.Phase(); }
  const std::shared_ptr<const wire::HelloT>& PeerHello() const { return mPeerHello; }
  size_t QueuedBytes() const { return mQueuedBytes; }

private:
  void ReadPrefix();
  // Reads the rest of a frame of aLength; memory is taken as the bytes arrive.
  void ReadBody(size_t aLength);
  void OnFrame();
  void Write();

  const LinkId mId;
  boost::asio::ip::tcp::socket mSocket;
  const std::string mDialled;
  const LinkHost& mHost;
  LinkMachine mMachine;
  std::shared_ptr<const wire::HelloT> mPeerHello;
  std::array<char, wire::kLengthBytes> mPrefix{};
  std::string mBody;
  std::deque<std::string> mOut;
  size_t mQueuedBytes = 0;
  base::TimePoint mLastReceived;
  base::Millis mPeerInterval{ 0 }; // Announced by the peer's heartbeats.
};

}
