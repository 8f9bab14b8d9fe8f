#pragma once

#include <cstddef>
#include <cstdint>

namespace sycamore::testbed {

// Bytes of text per token in all stand-ins; about the average of customary tokenizers.
constexpr size_t kBytesPerToken = 4;

// Number of tokens of a text of aBytes bytes, rounded up.
constexpr uint64_t
TokensInBytes(size_t aBytes)
{
  return (aBytes + kBytesPerToken - 1) / kBytesPerToken;
}

}
