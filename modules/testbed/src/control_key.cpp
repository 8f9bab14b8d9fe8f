#include "sycamore/testbed/control_key.h"

#include <algorithm>
#include <string>

namespace sycamore::testbed {

namespace json = boost::json;

static bool
IsOfKind(const json::value& aValue, ValueKind aKind)
{
  switch (aKind) {
    case ValueKind::Number:
      return aValue.is_number() && aValue.to_number<double>() >= 0;
    case ValueKind::Boolean:
      return aValue.is_bool();
    case ValueKind::Text:
      return aValue.is_string();
    case ValueKind::Array:
      return aValue.is_array();
    case ValueKind::Object:
      return aValue.is_object();
  }
  return false;
}

base::Result<base::Unit>
CheckControl(const json::object& aControl, std::initializer_list<ControlKey> aKeys)
{
  for (const auto& field : aControl) {
    const std::string_view name = field.key();
    const auto* key = std::find_if(
      aKeys.begin(), aKeys.end(), [name](const ControlKey& aKey) { return aKey.mName == name; });
    if (key == aKeys.end() || !IsOfKind(field.value(), key->mKind)) {
      return base::Error{ base::ErrorKind::InvalidField,
                          "unknown control key, or a value of the wrong kind",
                          std::string(name) };
    }
  }
  return base::Unit{};
}

}
