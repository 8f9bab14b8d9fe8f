#pragma once

#include "sycamore/base/result.h"

#include <boost/json.hpp>
#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace sycamore::testbed {

enum class ValueKind : uint8_t
{
  Number, // Not negative.
  Boolean,
  Text,
  Array,
  Object,
};

// A key that a control request may have.
struct ControlKey
{
  std::string_view mName;
  ValueKind mKind;
};

// Checks that aControl has only keys of aKeys, with values of their kinds. Error: InvalidField with
// the name of the first other key. A misspelt key would otherwise inject nothing, unnoticed.
base::Result<base::Unit>
CheckControl(const boost::json::object& aControl, std::initializer_list<ControlKey> aKeys);

}
