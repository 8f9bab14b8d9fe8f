#include "sycamore/platform/base64.h"

#include <array>
#include <cstdint>

namespace sycamore::platform {

static constexpr std::string_view kAlphabet =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

static constexpr int8_t kInvalid = -1;

static constexpr std::array<int8_t, 256>
MakeValues()
{
  std::array<int8_t, 256> values{};
  values.fill(kInvalid);
  for (size_t i = 0; i < kAlphabet.size(); ++i) {
    values.at(static_cast<unsigned char>(kAlphabet[i])) = static_cast<int8_t>(i);
  }
  return values;
}

static constexpr std::array<int8_t, 256> kValues = MakeValues();

static uint32_t
ByteAt(std::string_view aData, size_t aIndex)
{
  return aIndex < aData.size() ? static_cast<unsigned char>(aData[aIndex]) : 0U;
}

std::string
EncodeBase64(std::string_view aData)
{
  std::string text;
  text.reserve((aData.size() + 2) / 3 * 4);
  for (size_t i = 0; i < aData.size(); i += 3) {
    const uint32_t group =
      ByteAt(aData, i) << 16 | ByteAt(aData, i + 1) << 8 | ByteAt(aData, i + 2);
    const size_t present = aData.size() - i;
    text.push_back(kAlphabet[group >> 18 & 63]);
    text.push_back(kAlphabet[group >> 12 & 63]);
    text.push_back(present > 1 ? kAlphabet[group >> 6 & 63] : '=');
    text.push_back(present > 2 ? kAlphabet[group & 63] : '=');
  }
  return text;
}

// Number of padding characters at the end of aText, at most 2.
static size_t
PaddingOf(std::string_view aText)
{
  if (aText.ends_with("==")) {
    return 2;
  }
  return aText.ends_with('=') ? 1 : 0;
}

std::optional<std::string>
DecodeBase64(std::string_view aText)
{
  if (aText.size() % 4 != 0) {
    return std::nullopt;
  }
  const std::string_view digits = aText.substr(0, aText.size() - PaddingOf(aText));
  std::string data;
  data.reserve(aText.size() / 4 * 3);
  uint32_t group = 0;
  int bits = 0;
  for (const char digit : digits) {
    const int8_t value = kValues.at(static_cast<unsigned char>(digit));
    if (value == kInvalid) {
      return std::nullopt;
    }
    group = (group << 6 | static_cast<uint32_t>(value)) & 0xffffffU;
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      data.push_back(static_cast<char>(group >> bits & 0xffU));
    }
  }
  return data;
}

}
