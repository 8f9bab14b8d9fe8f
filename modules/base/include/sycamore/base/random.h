#pragma once

#include <cstdint>
#include <string_view>

namespace sycamore::base {

// A random 64-bit number, never 0. Seeded from the system once per thread; used for incarnations
// and ids, not for secrets.
uint64_t
RandomId();

// A hash that is the same in every process and build (FNV-1a, 64 bits, with a final mix). Used for
// rendezvous hashing and request digests.
uint64_t
StableHash(std::string_view aText);

// Mixes two hashes; the same in every process.
uint64_t
MixHash(uint64_t aLeft, uint64_t aRight);

}
