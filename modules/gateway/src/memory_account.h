#pragma once

#include <cstddef>

namespace sycamore::gateway {

// Bounds the memory that things of one kind take together, for example the bodies of all requests
// and answers in progress. Limits for each of them do not bound it: a few large ones at the same
// time exceed the memory of a small instance, whose process is then killed with the calls of all
// callers. Lives on one event loop.
class MemoryAccount
{
public:
  // What one thing takes; returned when it is destroyed.
  class Hold
  {
  public:
    // aAccount outlives this object.
    explicit Hold(MemoryAccount& aAccount)
      : mAccount(aAccount)
    {
    }

    ~Hold() { Release(); }
    Hold(const Hold&) = delete;
    Hold& operator=(const Hold&) = delete;

    // Raises the size of the thing to aBytes; a smaller size changes nothing. False, without
    // effect, if the memory is short.
    bool Grow(size_t aBytes);

    // Lowers the size of the thing to aBytes; a larger size changes nothing.
    void Shrink(size_t aBytes);

    // Returns all of it.
    void Release() { Shrink(0); }

  private:
    MemoryAccount& mAccount;
    size_t mBytes = 0;
  };

  explicit MemoryAccount(size_t aMaxBytes)
    : mMaxBytes(aMaxBytes)
  {
  }

  size_t HeldBytes() const { return mHeld; }
  size_t MaxBytes() const { return mMaxBytes; }

private:
  const size_t mMaxBytes;
  size_t mHeld = 0;
};

}
