#include "head_reader.h"

namespace sycamore::gateway {

size_t
MemoryOf(const boost::beast::http::fields& aFields)
{
  size_t bytes = 0;
  for (const auto& field : aFields) {
    bytes += field.name_string().size() + field.value().size() + kFieldOverheadBytes;
  }
  return bytes;
}

}
