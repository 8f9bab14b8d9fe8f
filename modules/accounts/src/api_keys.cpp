#include "sycamore/accounts/api_keys.h"

#include <cstdlib>
#include <cstring>
#include <sodium.h>

namespace sycamore::accounts {

using Secret = std::array<uint8_t, crypto_generichash_KEYBYTES>;

static Secret
DrawSecret()
{
  if (sodium_init() < 0) {
    std::abort(); // There is no source of random numbers.
  }
  Secret secret;
  randombytes_buf(secret.data(), secret.size());
  return secret;
}

KeyDigest
DigestOf(std::string_view aKey)
{
  static const Secret kSecret = DrawSecret();
  KeyDigest digest;
  static_assert(digest.size() >= crypto_generichash_BYTES_MIN);
  crypto_generichash(digest.data(),
                     digest.size(),
                     reinterpret_cast<const unsigned char*>(aKey.data()),
                     aKey.size(),
                     kSecret.data(),
                     kSecret.size());
  return digest;
}

size_t
ApiKeys::DigestHash::operator()(const KeyDigest& aDigest) const
{
  size_t hash = 0;
  std::memcpy(&hash, aDigest.data(), sizeof(hash));
  return hash;
}

bool
ApiKeys::Add(std::string_view aKey, size_t aAccount)
{
  const auto account = static_cast<uint32_t>(aAccount);
  return mAccounts.try_emplace(DigestOf(aKey), account).first->second == account;
}

std::optional<size_t>
ApiKeys::Find(const KeyDigest& aKey) const
{
  const auto entry = mAccounts.find(aKey);
  return entry == mAccounts.end() ? std::nullopt : std::optional<size_t>(entry->second);
}

}
