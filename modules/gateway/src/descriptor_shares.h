#pragma once

#include <cstddef>

namespace sycamore::gateway {

// How the descriptors of the process are shared, so that no kind of client can take those that
// replicas, the store and other gateways need.
struct DescriptorShares
{
  size_t mCallers = 0; // Connections of callers.
  size_t mCalls = 0;   // Calls in progress; each has a connection to a replica.
  size_t mPeers = 0;   // Connections of other gateways.
  size_t mStatus = 0;  // Connections to the readiness address, and to that of metrics.
};

// The shares of aDescriptors, the limit of the process.
DescriptorShares
SharesOf(size_t aDescriptors);

// The limit that the kernel enforces for this process.
size_t
DescriptorLimit();

}
