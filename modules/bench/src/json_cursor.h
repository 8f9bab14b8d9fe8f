#pragma once

#include "sycamore/base/error.h"
#include "sycamore/bench/step.h"

#include <boost/json.hpp>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamore::bench {

// A JSON value with its path. All functions throw base::Error for a fault of the file.
class JsonCursor
{
public:
  JsonCursor(const boost::json::value& aValue, std::string aPath);

  // The member aKey of an object.
  JsonCursor At(std::string_view aKey) const;
  std::optional<JsonCursor> Find(std::string_view aKey) const;

  // The elements of an array that is not empty.
  std::vector<JsonCursor> Elements() const;

  std::string Text() const;
  double Number(double aMin, double aMax) const;
  bool Flag() const;

  // A number, or an array of the least and the greatest one.
  Range NumberRange(double aMin, double aMax) const;

  // Members with a default.
  double NumberOr(std::string_view aKey, double aMin, double aMax, double aDefault) const;
  bool FlagOr(std::string_view aKey, bool aDefault) const;

  // Refuses members other than aKeys.
  void Allow(std::initializer_list<std::string_view> aKeys) const;

  [[noreturn]] void Fail(std::string_view aMessage) const;

private:
  const boost::json::object& Object() const;

  const boost::json::value* mValue;
  std::string mPath;
};

}
