#pragma once

#include <cstddef>

namespace sycamore::gateway {

// Bounds the memory that the bodies of all requests and answers in progress take together. Limits
// for each body do not bound it: a few large ones at the same time exceed the memory of a small
// instance, whose process is then killed with the calls of all callers. Lives on one event loop.
class BodyMemory
{
public:
  // What one body takes; returned when it is destroyed.
  class Hold
  {
  public:
    // aMemory outlives this object.
    explicit Hold(BodyMemory& aMemory)
      : mMemory(aMemory)
    {
    }

    ~Hold() { mMemory.mHeld -= mBytes; }
    Hold(const Hold&) = delete;
    Hold& operator=(const Hold&) = delete;

    // Raises the size of the body to aBytes; a smaller size changes nothing. False, without effect,
    // if the memory is short.
    bool Grow(size_t aBytes);

  private:
    BodyMemory& mMemory;
    size_t mBytes = 0;
  };

  // aProcessBytes is the memory of the process.
  explicit BodyMemory(size_t aProcessBytes);

  size_t HeldBytes() const { return mHeld; }
  size_t MaxBytes() const { return mMaxBytes; }

private:
  size_t mMaxBytes;
  size_t mHeld = 0;
};

}
