#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace sycamore::accounts {

// Stands for an API key inside one process; tells nothing about its text.
using KeyDigest = std::array<uint8_t, 16>;

// The digest of aKey: a hash keyed with a secret that this process draws at its start. Callers
// cannot choose keys whose digests are alike, so that the time of a lookup tells nothing about
// the keys in a table.
KeyDigest
DigestOf(std::string_view aKey);

// The API keys of a configuration and the accounts that hold them. Keeps digests only, so that no
// key can reach a log or a dump. Immutable once it is part of a configuration.
class ApiKeys
{
public:
  // Longest key that is looked up; a longer one is unknown.
  static constexpr size_t kMaxKeyBytes = 512;

  // Enters a key of the account with index aAccount. False if another account holds it.
  bool Add(std::string_view aKey, size_t aAccount);

  // The account that holds the key; nothing if none does.
  std::optional<size_t> Find(const KeyDigest& aKey) const;

  size_t Size() const { return mAccounts.size(); }

private:
  // The digest is uniformly distributed already.
  struct DigestHash
  {
    size_t operator()(const KeyDigest& aDigest) const;
  };

  std::unordered_map<KeyDigest, uint32_t, DigestHash> mAccounts;
};

}
