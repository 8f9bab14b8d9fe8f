#pragma once

#include "fact.h"

#include <optional>
#include <string>
#include <string_view>

namespace sycamore::gateway {

// Serializes aFact; its age is taken at aNow.
std::string
EncodeFact(const Fact& aFact, base::TimePoint aNow);

// A fact that was received at aNow. Nothing if aBytes hold none that this process knows.
std::optional<Fact>
DecodeFact(std::string_view aBytes, base::TimePoint aNow);

}
