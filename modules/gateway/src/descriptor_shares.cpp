#include "descriptor_shares.h"

#include <algorithm>
#include <sys/resource.h>

namespace sycamore::gateway {

// The platform reserves as many of the descriptors for files.
static constexpr size_t kReservedForFiles = 200;
// Part of the descriptors that is reserved where there are few of them.
static constexpr size_t kMostReservedPart = 8;
// The balancer and the monitoring use one connection each.
static constexpr size_t kStatusConnections = 16;
// Used where the kernel tells no limit.
static constexpr size_t kDefaultLimit = 4096;

DescriptorShares
SharesOf(size_t aDescriptors)
{
  const size_t sockets =
    aDescriptors - std::min(kReservedForFiles, aDescriptors / kMostReservedPart);
  // The last eighth is for idle connections to replicas, the store and calls to other gateways.
  return { sockets / 2, sockets / 4, sockets / 8, kStatusConnections };
}

size_t
DescriptorLimit()
{
  rlimit files{};
  const bool known = ::getrlimit(RLIMIT_NOFILE, &files) == 0 && files.rlim_cur != RLIM_INFINITY;
  return known ? static_cast<size_t>(files.rlim_cur) : kDefaultLimit;
}

}
