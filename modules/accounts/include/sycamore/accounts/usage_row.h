#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamore::accounts {

// The requests of an account in the last window.
struct Usage
{
  uint32_t mDemand = 0;   // All of them, those that were refused too.
  uint32_t mAdmitted = 0; // That were let through.

  bool operator==(const Usage&) const = default;
};

inline Usage
operator+(const Usage& aLeft, const Usage& aRight)
{
  return { aLeft.mDemand + aRight.mDemand, aLeft.mAdmitted + aRight.mAdmitted };
}

// aRight is a part of aLeft.
inline Usage
operator-(const Usage& aLeft, const Usage& aRight)
{
  return { aLeft.mDemand - aRight.mDemand, aLeft.mAdmitted - aRight.mAdmitted };
}

struct UsageRow
{
  uint64_t mAccount = 0; // See AccountId.
  Usage mUsage;

  bool operator==(const UsageRow&) const = default;
};

using UsageRows = std::vector<UsageRow>;

// Serializes aRows for another gateway.
std::string
EncodeUsage(const UsageRows& aRows);

// Nothing if aBytes hold no valid rows.
std::optional<UsageRows>
DecodeUsage(std::string_view aBytes);

}
