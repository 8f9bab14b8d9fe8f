#pragma once

#include <cstdint>
#include <fmt/format.h>
#include <string>

namespace sycamore::ledger {

inline std::string
StreamName(const std::string& aPrefix, uint32_t aPartition)
{
  return fmt::format("{}{:02}", aPrefix, aPartition);
}

}
