#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sycamore::platform {

// Standard base64 with padding (RFC 4648, section 4).
std::string
EncodeBase64(std::string_view aData);

// Decodes standard base64 with padding; nothing if the text is malformed.
std::optional<std::string>
DecodeBase64(std::string_view aText);

}
