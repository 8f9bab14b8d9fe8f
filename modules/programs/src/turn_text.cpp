#include "sycamore/programs/turn_text.h"

#include "sycamore/wire/table_codec.h"
#include "sycamore/wire/turn_text_generated.h"

#include <cstdint>
#include <flatbuffers/flatbuffers.h>

namespace sycamore::programs {

std::string
EncodeTurnText(const TurnText& aText)
{
  flatbuffers::FlatBufferBuilder builder(aText.Bytes() + 128);
  const auto bytesOf = [&](const std::string& aBytes) {
    return builder.CreateVector(reinterpret_cast<const uint8_t*>(aBytes.data()), aBytes.size());
  };
  const auto input = bytesOf(aText.mInput);
  const auto output = bytesOf(aText.mOutput);
  const auto attempt = builder.CreateString(aText.mAttempt);
  builder.Finish(wire::CreateTurnText(builder, attempt, input, output));
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

static std::string
TextOf(const flatbuffers::Vector<uint8_t>* aBytes)
{
  return aBytes == nullptr ? std::string() : std::string(aBytes->begin(), aBytes->end());
}

std::optional<TurnText>
DecodeTurnText(std::string_view aBytes)
{
  const auto bytes = wire::VerifiedCopy<wire::TurnText>(aBytes);
  if (!bytes) {
    return std::nullopt;
  }
  const wire::TurnText* text = wire::GetTurnText(bytes->data());
  if (text->attempt() == nullptr) {
    return std::nullopt;
  }
  return TurnText{ text->attempt()->str(), TextOf(text->input()), TextOf(text->output()) };
}

}
