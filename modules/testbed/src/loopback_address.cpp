#include "sycamore/testbed/loopback_address.h"

#include <atomic>
#include <cstdint>
#include <fmt/format.h>
#include <unistd.h>

namespace sycamore::testbed {

// Process ids have at most 22 bits; one more bit tells two consecutive calls apart.
static constexpr uint32_t kPidBits = 22;

std::string
LoopbackAddress()
{
  static std::atomic<uint32_t> sCalls{ 0 };
  const uint32_t pid = static_cast<uint32_t>(::getpid()) & ((1U << kPidBits) - 1);
  const uint32_t host = (1 + sCalls.fetch_add(1) % 2) << kPidBits | pid;
  return fmt::format("127.{}.{}.{}", host >> 16 & 255, host >> 8 & 255, host & 255);
}

}
