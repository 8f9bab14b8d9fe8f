#include "bounded_name.h"

#include <array>
#include <sodium.h>

namespace sycamore::gateway {

static constexpr size_t kMaxNameBytes = 64;
static constexpr size_t kDigestBytes = 32;

std::string
BoundedName(std::string aName)
{
  if (aName.size() <= kMaxNameBytes) {
    return aName;
  }
  [[maybe_unused]] static const int kInitialized = sodium_init();
  // Callers choose names: a hash without resistance to collisions would let one take the budget of
  // another one's program.
  std::array<unsigned char, kDigestBytes> digest{};
  crypto_generichash(digest.data(),
                     digest.size(),
                     reinterpret_cast<const unsigned char*>(aName.data()),
                     aName.size(),
                     nullptr,
                     0);
  std::array<char, 2 * kDigestBytes + 1> text{};
  sodium_bin2hex(text.data(), text.size(), digest.data(), digest.size());
  // Longer than kMaxNameBytes, so that no name that is kept as it is equals it.
  return std::string("#") + text.data();
}

}
