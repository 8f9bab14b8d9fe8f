#include "memory_shares.h"

namespace sycamore::gateway {

// A body takes up to three times its size: as it was received, as it is sent on, and in buffers
// that grow by doubling.
static constexpr size_t kCopies = 3;
// A frame is there as it was received and as it is decoded.
static constexpr size_t kFrameCopies = 2;
// More than all connections of these addresses need for ordinary requests.
static constexpr size_t kStatusBytes = size_t{ 1 } << 20;

MemoryShares
MemorySharesOf(size_t aProcessBytes)
{
  MemoryShares shares;
  shares.mBodies = aProcessBytes / 2 / kCopies;
  shares.mRequests = aProcessBytes / 6;
  shares.mCalls = shares.mRequests / kCallBytes;
  shares.mFrames = aProcessBytes / 8 / kFrameCopies;
  shares.mStatus = kStatusBytes;
  return shares;
}

}
