#include "json_fields.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <cmath>
#include <fmt/format.h>

namespace sycamore::entry {

namespace json = boost::json;

JsonFields::JsonFields(const json::object& aObject)
  : mObject(aObject)
{
}

std::string
JsonFields::Name(std::string_view aField)
{
  const json::value* value = mObject.if_contains(aField);
  if (value == nullptr || !value->is_string() || value->get_string().empty() ||
      value->get_string().size() > kMaxNameBytes) {
    Refuse(aField, fmt::format("must be a string of 1 to {} bytes", kMaxNameBytes));
    return "";
  }
  return std::string(value->get_string());
}

std::string
JsonFields::OptionalName(std::string_view aField)
{
  return mObject.contains(aField) ? Name(aField) : "";
}

static std::optional<uint64_t>
ToUnsigned(const json::value& aValue)
{
  if (aValue.is_uint64()) {
    return aValue.get_uint64();
  }
  if (aValue.is_int64() && aValue.get_int64() >= 0) {
    return static_cast<uint64_t>(aValue.get_int64());
  }
  return std::nullopt;
}

uint64_t
JsonFields::Integer(std::string_view aField, uint64_t aMin, uint64_t aMax)
{
  const json::value* value = mObject.if_contains(aField);
  const std::optional<uint64_t> number = value == nullptr ? std::nullopt : ToUnsigned(*value);
  if (!number || *number < aMin || *number > aMax) {
    Refuse(aField, fmt::format("must be a whole number from {} to {}", aMin, aMax));
    return aMin;
  }
  return *number;
}

std::optional<uint64_t>
JsonFields::OptionalInteger(std::string_view aField, uint64_t aMin, uint64_t aMax)
{
  if (!mObject.contains(aField)) {
    return std::nullopt;
  }
  return Integer(aField, aMin, aMax);
}

double
JsonFields::NonNegativeNumber(std::string_view aField)
{
  const json::value* value = mObject.if_contains(aField);
  if (value == nullptr || !value->is_number()) {
    Refuse(aField, "must be a number");
    return 0;
  }
  const double number = value->to_number<double>();
  if (!std::isfinite(number) || number < 0) {
    Refuse(aField, "must not be negative");
    return 0;
  }
  return number;
}

bool
JsonFields::Flag(std::string_view aField)
{
  const json::value* value = mObject.if_contains(aField);
  if (value == nullptr || !value->is_bool()) {
    Refuse(aField, "must be true or false");
    return false;
  }
  return value->get_bool();
}

bool
JsonFields::OptionalFlag(std::string_view aField, bool aDefault)
{
  return mObject.contains(aField) ? Flag(aField) : aDefault;
}

void
JsonFields::RefuseUnknown(std::initializer_list<std::string_view> aKnown)
{
  for (const auto& field : mObject) {
    const std::string_view name = field.key();
    if (std::find(aKnown.begin(), aKnown.end(), name) == aKnown.end()) {
      Refuse(name, "is not a field of this request");
    }
  }
}

void
JsonFields::Refuse(std::string_view aField, std::string_view aMessage)
{
  if (!mError) {
    mError = base::Error{ base::ErrorKind::InvalidField,
                          fmt::format("{} {}", aField, aMessage),
                          std::string(aField) };
  }
}

base::Result<json::object>
ParseObject(std::string_view aBody)
{
  json::error_code failure;
  json::value value = json::parse(aBody, failure);
  if (failure) {
    return base::Error{ base::ErrorKind::MalformedBody, "the body is not JSON", "" };
  }
  if (!value.is_object()) {
    return base::Error{ base::ErrorKind::MalformedBody, "the body is not a JSON object", "" };
  }
  return std::move(value.get_object());
}

}
