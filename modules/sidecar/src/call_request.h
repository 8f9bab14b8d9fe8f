#pragma once

#include "sycamore/http/client.h"
#include "sycamore/sidecar/answer_parser.h"
#include "sycamore/wire/frame_generated.h"

#include "core_state.h"

#include <string>

namespace sycamore::sidecar {

// Builds the request to the target of a dispatched call; request id and target are not set.
TargetRequest
RequestFor(const wire::DispatchT& aDispatch, const TargetState& aTarget, base::Millis aDeadline);

// Appends members to a JSON object. aFields is a list of members without braces. Works on the text,
// because bodies contain whole histories (several hundred KB) and parsing them would be too costly.
std::string
AppendMembers(std::string_view aObject, std::string_view aFields);

// Whether aBody starts and ends with the braces of a JSON object, as AppendMembers requires.
bool
IsObjectText(std::string_view aBody);

}
