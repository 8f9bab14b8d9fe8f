#pragma once

#include <cstdint>
#include <string>

namespace sycamore::table {

// The wanted state of the engines of one service. mVersion is the fencing token.
struct Order
{
  std::string mModel;
  std::string mAdapter;
  std::string mModelVersion;
  std::string mRole;
  uint64_t mVersion = 0;

  bool operator==(const Order&) const = default;
};

}
