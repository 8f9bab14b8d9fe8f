#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sycamore::accounts {

// The requests that an account may send, through all gateways together. Any interval of a window's
// length holds at most its rate times that length, and the burst.
struct RequestLimit
{
  double mPerSecond = 0; // 0: not limited.
  double mBurst = 0;

  bool operator==(const RequestLimit&) const = default;
};

// A client account of the operator's configuration. Its API keys are in ApiKeys.
struct Account
{
  std::string mName;
  uint64_t mId = 0;                  // AccountId of mName.
  std::optional<uint32_t> mPriority; // 0 is the most urgent; goes before the route's.
  RequestLimit mLimit;
};

// Identifies the account of that name in records and in messages between gateways. Neither of the
// values below.
uint64_t
AccountId(std::string_view aName);

// The account of a record that tells none: it was written before accounts were known.
inline constexpr uint64_t kUnknownAccount = 0;
// The account of a request on a public route.
inline constexpr uint64_t kNoAccount = 1;

}
