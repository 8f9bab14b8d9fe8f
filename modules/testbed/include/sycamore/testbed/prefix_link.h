#pragma once

#include <cstdint>
#include <vector>

namespace sycamore::testbed {

// One message of a prefix: the hash and the text bytes of all messages up to and including it.
struct PrefixLink
{
  uint64_t mHash = 0;
  uint64_t mBytes = 0;

  bool operator==(const PrefixLink&) const = default;
};

using PrefixChain = std::vector<PrefixLink>;

}
