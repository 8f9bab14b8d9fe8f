#include "sycamore/base/parse_number.h"

#include <charconv>

namespace sycamore::base {

std::optional<uint64_t>
ParseNumber(std::string_view aText, int aBase)
{
  uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [last, error] = std::from_chars(aText.data(), end, number, aBase);
  return error == std::errc() && last == end ? std::optional<uint64_t>(number) : std::nullopt;
}

}
