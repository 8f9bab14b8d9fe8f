#include "json_cursor.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace sycamore::bench {

JsonCursor::JsonCursor(const boost::json::value& aValue, std::string aPath)
  : mValue(&aValue)
  , mPath(std::move(aPath))
{
}

void
JsonCursor::Fail(std::string_view aMessage) const
{
  throw base::Error{ base::ErrorKind::InvalidField, std::string(aMessage), mPath };
}

const boost::json::object&
JsonCursor::Object() const
{
  if (!mValue->is_object()) {
    Fail("must be an object");
  }
  return mValue->get_object();
}

std::optional<JsonCursor>
JsonCursor::Find(std::string_view aKey) const
{
  const auto* member = Object().if_contains(aKey);
  if (member == nullptr) {
    return std::nullopt;
  }
  return JsonCursor(*member, fmt::format("{}/{}", mPath, aKey));
}

JsonCursor
JsonCursor::At(std::string_view aKey) const
{
  auto member = Find(aKey);
  if (!member) {
    Fail(fmt::format("must have the member \"{}\"", aKey));
  }
  return *member;
}

std::vector<JsonCursor>
JsonCursor::Elements() const
{
  if (!mValue->is_array() || mValue->get_array().empty()) {
    Fail("must be an array that is not empty");
  }
  std::vector<JsonCursor> elements;
  for (const auto& element : mValue->get_array()) {
    elements.emplace_back(element, fmt::format("{}/{}", mPath, elements.size()));
  }
  return elements;
}

std::string
JsonCursor::Text() const
{
  if (!mValue->is_string() || mValue->get_string().empty()) {
    Fail("must be a string that is not empty");
  }
  return std::string(mValue->get_string());
}

double
JsonCursor::Number(double aMin, double aMax) const
{
  const double number = mValue->is_number() ? mValue->to_number<double>() : aMin - 1;
  if (!(number >= aMin && number <= aMax)) {
    Fail(fmt::format("must be a number from {} to {}", aMin, aMax));
  }
  return number;
}

bool
JsonCursor::Flag() const
{
  if (!mValue->is_bool()) {
    Fail("must be true or false");
  }
  return mValue->get_bool();
}

Range
JsonCursor::NumberRange(double aMin, double aMax) const
{
  if (!mValue->is_array()) {
    const double number = Number(aMin, aMax);
    return { number, number };
  }
  const auto bounds = Elements();
  if (bounds.size() != 2) {
    Fail("must be a number or an array of two numbers");
  }
  const Range range{ bounds[0].Number(aMin, aMax), bounds[1].Number(aMin, aMax) };
  if (range.mMin > range.mMax) {
    Fail("must name the smaller number first");
  }
  return range;
}

double
JsonCursor::NumberOr(std::string_view aKey, double aMin, double aMax, double aDefault) const
{
  const auto member = Find(aKey);
  return member ? member->Number(aMin, aMax) : aDefault;
}

bool
JsonCursor::FlagOr(std::string_view aKey, bool aDefault) const
{
  const auto member = Find(aKey);
  return member ? member->Flag() : aDefault;
}

void
JsonCursor::Allow(std::initializer_list<std::string_view> aKeys) const
{
  for (const auto& member : Object()) {
    if (std::find(aKeys.begin(), aKeys.end(), std::string_view(member.key())) == aKeys.end()) {
      At(member.key()).Fail("is not a known key");
    }
  }
}

}
