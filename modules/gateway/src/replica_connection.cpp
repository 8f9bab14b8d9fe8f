#include "replica_connection.h"

#include "sycamore/http/idle_socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace sycamore::gateway {

bool
IsReusable(ReplicaConnection& aConnection)
{
  return aConnection.mBuffer.size() == 0 &&
         http::IsIdle(aConnection.mStream.socket().native_handle());
}

static void
SetOption(int aSocket, int aLevel, int aName, int aValue)
{
  [[maybe_unused]] const int result = ::setsockopt(aSocket, aLevel, aName, &aValue, sizeof aValue);
}

void
EnableDeadPeerDetection(boost::asio::ip::tcp::socket& aSocket, base::Millis aTimeout)
{
  const int handle = aSocket.native_handle();
  SetOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(aTimeout.count()));
  SetOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  // The kernel counts keep-alive times in whole seconds.
  SetOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, 1);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPCNT, 2);
}

}
