#pragma once

#include "sycamore/base/result.h"

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace sycamore::testbed {

// Parses a JSON object; ErrorKind::MalformedBody if aText is none.
base::Result<boost::json::object>
ParseObject(std::string_view aText);

// The string at aKey, or aDefault if the key is absent or no string.
std::string
TextField(const boost::json::object& aObject,
          std::string_view aKey,
          std::string_view aDefault = "");

// The number at aKey, or aDefault if the key is absent or no number of the type.
uint64_t
UintField(const boost::json::object& aObject, std::string_view aKey, uint64_t aDefault = 0);

int64_t
IntField(const boost::json::object& aObject, std::string_view aKey, int64_t aDefault = 0);

double
DoubleField(const boost::json::object& aObject, std::string_view aKey, double aDefault = 0);

// The boolean at aKey, or aDefault if the key is absent or no boolean.
bool
BoolField(const boost::json::object& aObject, std::string_view aKey, bool aDefault = false);

}
