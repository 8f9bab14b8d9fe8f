#include "memory_account.h"

namespace sycamore::gateway {

// Larger things leave a quarter to the others, so that a few of them do not hold up all calls.
static constexpr size_t kLargeBytes = size_t{ 64 } << 10;

bool
MemoryAccount::Hold::Grow(size_t aBytes)
{
  if (aBytes <= mBytes) {
    return true;
  }
  const size_t max =
    aBytes > kLargeBytes ? mAccount.mMaxBytes - mAccount.mMaxBytes / 4 : mAccount.mMaxBytes;
  if (mAccount.mHeld - mBytes + aBytes > max) {
    return false;
  }
  mAccount.mHeld += aBytes - mBytes;
  mBytes = aBytes;
  return true;
}

void
MemoryAccount::Hold::Shrink(size_t aBytes)
{
  if (aBytes < mBytes) {
    mAccount.mHeld -= mBytes - aBytes;
    mBytes = aBytes;
  }
}

}
