#include "sycamore/base/random.h"

#include <random>

namespace sycamore::base {

uint64_t
RandomId()
{
  thread_local std::mt19937_64 engine = [] {
    std::random_device device;
    std::seed_seq seed{ device(), device(), device(), device() };
    return std::mt19937_64(seed);
  }();
  uint64_t id = 0;
  while (id == 0) {
    id = engine();
  }
  return id;
}

// Finalizer of splitmix64; spreads the low entropy of short inputs over all bits.
static uint64_t
Finalize(uint64_t aValue)
{
  aValue ^= aValue >> 30;
  aValue *= 0xbf58476d1ce4e5b9ULL;
  aValue ^= aValue >> 27;
  aValue *= 0x94d049bb133111ebULL;
  return aValue ^ (aValue >> 31);
}

uint64_t
StableHash(std::string_view aText)
{
  uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char character : aText) {
    hash ^= static_cast<unsigned char>(character);
    hash *= 0x100000001b3ULL;
  }
  return Finalize(hash);
}

uint64_t
MixHash(uint64_t aLeft, uint64_t aRight)
{
  return Finalize(aLeft * 0x9e3779b97f4a7c15ULL + aRight);
}

}
