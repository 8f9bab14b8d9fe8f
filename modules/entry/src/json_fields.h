#pragma once

#include "sycamore/base/result.h"

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sycamore::entry {

// Reads and validates fields of a JSON object, and keeps the first error. A function whose field is
// invalid returns a default value.
class JsonFields
{
public:
  // aObject must outlive this.
  explicit JsonFields(const boost::json::object& aObject);

  // A non-empty string of at most kMaxNameBytes.
  std::string Name(std::string_view aField);
  std::string OptionalName(std::string_view aField);

  // An integer from aMin to aMax.
  uint64_t Integer(std::string_view aField, uint64_t aMin, uint64_t aMax);
  std::optional<uint64_t> OptionalInteger(std::string_view aField, uint64_t aMin, uint64_t aMax);

  // A finite number that is not negative.
  double NonNegativeNumber(std::string_view aField);

  bool Flag(std::string_view aField);
  bool OptionalFlag(std::string_view aField, bool aDefault);

  // Sets an error if the object has a field not in aKnown, so that a misspelt field is not silently
  // ignored.
  void RefuseUnknown(std::initializer_list<std::string_view> aKnown);

  // Sets the error if there is none yet.
  void Refuse(std::string_view aField, std::string_view aMessage);

  const std::optional<base::Error>& Failure() const { return mError; }

  static constexpr size_t kMaxNameBytes = 256;

private:
  const boost::json::object& mObject;
  std::optional<base::Error> mError;
};

// Parses aBody as a JSON object; MalformedBody otherwise.
base::Result<boost::json::object>
ParseObject(std::string_view aBody);

}
