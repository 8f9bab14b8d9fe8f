#include "sycamore/testbed/query.h"

#include <charconv>

namespace sycamore::testbed {

std::string_view
QueryText(std::string_view aQuery, std::string_view aKey)
{
  while (!aQuery.empty()) {
    const std::string_view field = aQuery.substr(0, aQuery.find('&'));
    aQuery.remove_prefix(field.size() == aQuery.size() ? field.size() : field.size() + 1);
    const size_t equals = field.find('=');
    if (equals != std::string_view::npos && field.substr(0, equals) == aKey) {
      return field.substr(equals + 1);
    }
  }
  return {};
}

uint64_t
QueryUint(std::string_view aQuery, std::string_view aKey, uint64_t aDefault)
{
  const std::string_view text = QueryText(aQuery, aKey);
  uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  const bool whole = error == std::errc() && end == text.data() + text.size();
  return whole ? number : aDefault;
}

}
