#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace sycamore::policy {

// Sizes of the programs that ended last, from which the rest of a running one is estimated. The
// shape of a program is not known in advance, but programs of one account resemble each other.
class SizeEstimate
{
public:
  // Notes a program that ended after aTokens.
  void Add(uint64_t aTokens);

  // Mean rest of the programs seen that were larger than aAttained. A program larger than almost
  // all seen is expected to need as much again.
  uint64_t Remaining(uint64_t aAttained) const;

  // Programs noted and still remembered.
  size_t Count() const;

private:
  // 1,100 accounts with two estimates each take 2.3 MB.
  static constexpr size_t kRemembered = 128;

  std::array<uint64_t, kRemembered> mSizes{};
  uint64_t mSeen = 0;
};

}
