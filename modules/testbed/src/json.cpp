#include "sycamore/testbed/json.h"

#include <utility>

namespace sycamore::testbed {

namespace json = boost::json;

base::Result<json::object>
ParseObject(std::string_view aText)
{
  json::error_code error;
  json::value value = json::parse(aText, error);
  if (error || !value.is_object()) {
    return base::Error{ base::ErrorKind::MalformedBody, "the body is no JSON object", "" };
  }
  return std::move(value.as_object());
}

std::string
TextField(const json::object& aObject, std::string_view aKey, std::string_view aDefault)
{
  const json::value* value = aObject.if_contains(aKey);
  if (value == nullptr || !value->is_string()) {
    return std::string(aDefault);
  }
  return std::string(value->get_string());
}

template<typename T>
static T
NumberField(const json::object& aObject, std::string_view aKey, T aDefault)
{
  const json::value* value = aObject.if_contains(aKey);
  if (value == nullptr || !value->is_number()) {
    return aDefault;
  }
  json::error_code error;
  const T number = value->to_number<T>(error);
  return error ? aDefault : number;
}

uint64_t
UintField(const json::object& aObject, std::string_view aKey, uint64_t aDefault)
{
  return NumberField<uint64_t>(aObject, aKey, aDefault);
}

int64_t
IntField(const json::object& aObject, std::string_view aKey, int64_t aDefault)
{
  return NumberField<int64_t>(aObject, aKey, aDefault);
}

double
DoubleField(const json::object& aObject, std::string_view aKey, double aDefault)
{
  return NumberField<double>(aObject, aKey, aDefault);
}

bool
BoolField(const json::object& aObject, std::string_view aKey, bool aDefault)
{
  const json::value* value = aObject.if_contains(aKey);
  return value != nullptr && value->is_bool() ? value->get_bool() : aDefault;
}

}
