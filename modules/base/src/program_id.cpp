#include "sycamore/base/program_id.h"

#include <charconv>
#include <fmt/format.h>

namespace sycamore::base {

std::string
ToString(const ProgramId& aId)
{
  return fmt::format("{}-{}-{:016x}", aId.mPartition, aId.mCreationOffset, aId.mRandom);
}

// Parses the number that fills aText completely.
template<typename T>
static bool
ParseWhole(std::string_view aText, T& aOut, int aBase)
{
  const char* end = aText.data() + aText.size();
  const auto [last, error] = std::from_chars(aText.data(), end, aOut, aBase);
  return error == std::errc() && last == end && !aText.empty();
}

Result<ProgramId>
ParseProgramId(std::string_view aText)
{
  const Error unknown{ ErrorKind::UnknownProgram, "the program id is malformed", "program" };
  const size_t first = aText.find('-');
  const size_t second = first == std::string_view::npos ? first : aText.find('-', first + 1);
  if (second == std::string_view::npos) {
    return unknown;
  }
  ProgramId id;
  const bool parsed =
    ParseWhole(aText.substr(0, first), id.mPartition, 10) &&
    ParseWhole(aText.substr(first + 1, second - first - 1), id.mCreationOffset, 10) &&
    ParseWhole(aText.substr(second + 1), id.mRandom, 16);
  if (!parsed || ToString(id) != aText) {
    return unknown;
  }
  return id;
}

}
