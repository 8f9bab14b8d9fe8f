#pragma once

#include "relay_link_state.h"
#include "relay_pump.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace sycamore::testbed {

// One connection through a relay.
class RelaySession : public std::enable_shared_from_this<RelaySession>
{
public:
  using Tcp = boost::asio::ip::tcp;

  // aOnClosed is called once when both sockets are closed, unless Close was called.
  RelaySession(Tcp::socket aClient,
               std::shared_ptr<RelayLinkState> aLink,
               std::function<void()> aOnClosed);

  // Connects to aForward, then forwards.
  void Start(const Tcp::endpoint& aForward);

  void Drop();
  void Resume();
  void Close();
  bool Dropping() const { return mDropping; }

private:
  void Forward();
  void OnEnd(bool aFailed);
  void CloseSockets();

  std::shared_ptr<Tcp::socket> mClient;
  std::shared_ptr<Tcp::socket> mServer;
  std::shared_ptr<RelayLinkState> mLink;
  std::function<void()> mOnClosed;
  std::shared_ptr<RelayPump> mToServer; // Null before the connection to the server.
  std::shared_ptr<RelayPump> mToClient;
  int mEnded = 0; // Directions that have ended in order.
  bool mDropping = false;
};

}
