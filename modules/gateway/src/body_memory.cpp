#include "body_memory.h"

namespace sycamore::gateway {

// Bodies get half of the process's memory. A body takes up to three times its size: as it was
// received, as it is sent on, and in buffers that grow by doubling.
static constexpr size_t kProcessPart = 2;
static constexpr size_t kCopies = 3;
// Larger bodies leave a quarter to the others, so that a few of them do not hold up all calls.
static constexpr size_t kLargeBytes = size_t{ 64 } << 10;

BodyMemory::BodyMemory(size_t aProcessBytes)
  : mMaxBytes(aProcessBytes / kProcessPart / kCopies)
{
}

bool
BodyMemory::Hold::Grow(size_t aBytes)
{
  if (aBytes <= mBytes) {
    return true;
  }
  const size_t max =
    aBytes > kLargeBytes ? mMemory.mMaxBytes - mMemory.mMaxBytes / 4 : mMemory.mMaxBytes;
  if (mMemory.mHeld - mBytes + aBytes > max) {
    return false;
  }
  mMemory.mHeld += aBytes - mBytes;
  mBytes = aBytes;
  return true;
}

}
