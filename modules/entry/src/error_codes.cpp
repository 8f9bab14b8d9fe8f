#include "error_codes.h"

#include <cstddef>

namespace sycamore::entry {

std::optional<base::ErrorKind>
KindOfCode(std::string_view aCode)
{
  for (size_t i = 0; i < base::kErrorKindCount; ++i) {
    const auto kind = static_cast<base::ErrorKind>(i);
    if (base::AnswerFor(kind).mCode == aCode) {
      return kind;
    }
  }
  return std::nullopt;
}

}
