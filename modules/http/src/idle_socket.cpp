#include "sycamore/http/idle_socket.h"

#include <cerrno>
#include <sys/socket.h>

namespace sycamore::http {

bool
IsIdle(int aDescriptor)
{
  char byte = 0;
  const ssize_t received = ::recv(aDescriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}
