#pragma once

#include "sycamore/bench/step.h"

#include <cmath>
#include <cstdint>
#include <random>

namespace sycamore::bench {

// Random numbers that are the same on every standard library.
class RandomSource
{
public:
  explicit RandomSource(uint64_t aSeed)
    : mEngine(aSeed)
  {
  }

  uint64_t Bits() { return mEngine(); }

  // In [0, 1).
  double Unit() { return static_cast<double>(mEngine() >> 11) * 0x1.0p-53; }

  double In(const Range& aRange) { return aRange.mMin + Unit() * (aRange.mMax - aRange.mMin); }

  // A whole number of aRange, both ends included.
  uint64_t WholeIn(const Range& aRange)
  {
    return static_cast<uint64_t>(
      std::floor(aRange.mMin + Unit() * (aRange.mMax - aRange.mMin + 1)));
  }

  // The distance of two events of a Poisson process of aRate.
  double Gap(double aRate) { return -std::log1p(-Unit()) / aRate; }

private:
  std::mt19937_64 mEngine;
};

}
