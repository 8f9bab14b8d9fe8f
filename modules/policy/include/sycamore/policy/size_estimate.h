#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace sycamore::policy {

// Estimates the remaining tokens of a running program from the sizes of recently ended ones. The
// size of a program is not known in advance, but programs of one account resemble each other.
class SizeEstimate
{
public:
  // Records a program that ended after aTokens.
  void Add(uint64_t aTokens);

  // Expected remaining tokens of a program that has used aAttained: the mean over the recorded
  // programs that were larger. With too few larger ones, it is expected to use aAttained again.
  uint64_t Remaining(uint64_t aAttained) const;

  // Number of programs in the window.
  size_t Count() const;

private:
  // Number of recent programs kept. 1,100 accounts with two estimates each take 2.3 MB.
  static constexpr size_t kWindowPrograms = 128;

  std::array<uint64_t, kWindowPrograms> mSizes{};
  uint64_t mAdded = 0;
};

}
