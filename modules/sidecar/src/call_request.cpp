#include "call_request.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>

namespace sycamore::sidecar {

using base::Millis;

static constexpr std::string_view kSpace = " \t\r\n";

static std::string_view
Trimmed(std::string_view aText)
{
  const size_t first = aText.find_first_not_of(kSpace);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kSpace) - first + 1);
}

bool
IsObjectText(std::string_view aBody)
{
  const std::string_view text = Trimmed(aBody);
  return text.size() >= 2 && text.front() == '{' && text.back() == '}';
}

std::string
AppendMembers(std::string_view aObject, std::string_view aFields)
{
  assert(IsObjectText(aObject));
  std::string_view text = Trimmed(aObject);
  text.remove_suffix(1);
  const bool empty = Trimmed(text.substr(1)).empty();
  std::string result(text);
  result += empty ? "" : ",";
  result += aFields;
  result += '}';
  return result;
}

// Scheduling priority for the engine, lowest first: attained service of the program in thousands of
// tokens, divided by its weight.
static uint64_t
EnginePriority(const wire::DispatchT& aDispatch)
{
  constexpr double kTokensPerStep = 1000;
  constexpr double kMaxPriority = 1000000;
  const double weight = aDispatch.weight > 0 ? aDispatch.weight : 1;
  const double steps = static_cast<double>(aDispatch.attained_tokens) / weight / kTokensPerStep;
  return static_cast<uint64_t>(std::min(steps, kMaxPriority));
}

static std::string
ModelFields(const wire::DispatchT& aDispatch, const TargetState& aTarget)
{
  const auto& id = *aDispatch.call;
  const base::ProgramId program{ id.partition, id.creation_offset, id.random };
  std::string fields = fmt::format(
    R"("program":"{}","priority":{})", base::ToString(program), EnginePriority(aDispatch));
  if (aTarget.mFence > 0) {
    fields += fmt::format(R"(,"fence":{})", aTarget.mFence);
  }
  if (aDispatch.stream) {
    fields += R"(,"stream":true,"stream_options":{"include_usage":true})";
  }
  return fields;
}

// Percent-encodes a name as one path segment, so that it cannot refer to a path outside /tools/.
static std::string
PathSegment(std::string_view aName)
{
  std::string segment;
  for (const char c : aName) {
    const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                       c == '-' || c == '_' || c == '.' || c == '~';
    if (plain) {
      segment += c;
    } else {
      segment += fmt::format("%{:02X}", static_cast<unsigned char>(c));
    }
  }
  return segment;
}

TargetRequest
RequestFor(const wire::DispatchT& aDispatch, const TargetState& aTarget, Millis aDeadline)
{
  TargetRequest request;
  request.mMethod = "POST";
  request.mDeadline = aDeadline;
  if (aDispatch.kind == wire::CallKind::Model) {
    request.mPath = "/v1/chat/completions";
    request.mBody = AppendMembers(aDispatch.body, ModelFields(aDispatch, aTarget));
    request.mStream = aDispatch.stream;
    return request;
  }
  request.mPath = "/tools/" + PathSegment(aDispatch.path);
  request.mBody = aDispatch.body;
  return request;
}

}
