#pragma once

#include "sycamore/world/contract.h"

#include <compare>
#include <cstdint>
#include <string>

namespace sycamore::table {

// Names a row. Region and model may be "*".
struct RowKey
{
  std::string mAccount;
  std::string mRegion;
  std::string mModel;

  auto operator<=>(const RowKey&) const = default;
};

struct Row
{
  world::Contract mContract;
  uint64_t mVersion = 0; // Of the accepted edit: its offset plus 1.

  bool operator==(const Row&) const = default;
};

}
