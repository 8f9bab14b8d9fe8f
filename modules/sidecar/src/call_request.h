#pragma once

#include "sycamore/http/client.h"
#include "sycamore/sidecar/answer_parser.h"
#include "sycamore/wire/frame_generated.h"

#include "core_state.h"

#include <string>

namespace sycamore::sidecar {

// The request for the target of a dispatched call, without ticket and target.
TargetRequest
RequestFor(const wire::DispatchT& aDispatch, const TargetState& aTarget, base::Millis aDeadline);

// Adds fields before the closing brace of a JSON object. aFields is a list of members without
// braces. Bodies hold whole histories (several hundred KB), so they are not parsed for this.
std::string
AppendMembers(std::string_view aObject, std::string_view aFields);

// Whether aBody looks like a JSON object, which AppendMembers requires.
bool
IsObjectText(std::string_view aBody);

}
