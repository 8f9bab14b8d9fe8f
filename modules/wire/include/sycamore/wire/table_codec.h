#pragma once

#include <cstdint>
#include <flatbuffers/flatbuffers.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamore::wire {

// A copy of aBytes that holds a valid root table of type Table; nothing if they hold none. The
// verifier requires aligned data, which a slice of a buffer does not guarantee.
template<typename Table>
std::optional<std::vector<uint8_t>>
VerifiedCopy(std::string_view aBytes)
{
  std::vector<uint8_t> aligned(aBytes.begin(), aBytes.end());
  flatbuffers::Verifier verifier(aligned.data(), aligned.size());
  if (!verifier.VerifyBuffer<Table>(nullptr)) {
    return std::nullopt;
  }
  return aligned;
}

template<typename Table>
std::string
EncodeTable(const typename Table::NativeTableType& aObject)
{
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(Table::Pack(builder, &aObject));
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

// Nothing if aBytes hold no valid table.
template<typename Table>
std::optional<typename Table::NativeTableType>
DecodeTable(std::string_view aBytes)
{
  const auto bytes = VerifiedCopy<Table>(aBytes);
  if (!bytes) {
    return std::nullopt;
  }
  typename Table::NativeTableType object;
  flatbuffers::GetRoot<Table>(bytes->data())->UnPackTo(&object);
  return object;
}

}
