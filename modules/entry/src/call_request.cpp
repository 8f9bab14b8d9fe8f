#include "call_request.h"

#include "json_fields.h"
#include "sycamore/base/random.h"

#include <boost/json/serialize.hpp>
#include <fmt/format.h>
#include <limits>
#include <utility>

namespace sycamore::entry {

namespace json = boost::json;

// Largest max_tokens of a call; engines generate far less.
static constexpr uint64_t kMaxGenerated = 1000000;

// Longest deadline of a call: one day.
static constexpr uint64_t kMaxDeadlineMs = 24ULL * 3600 * 1000;

// Tokens that the chat template adds per message (role, separators).
static constexpr uint64_t kMessageFrameTokens = 8;

uint64_t
TokenBound(size_t aBytes)
{
  return aBytes + kMessageFrameTokens;
}

static void
AddMessage(const json::value& aMessage, size_t aIndex, JsonFields& aFields, CallRequest& aRequest)
{
  const std::string path = fmt::format("messages/{}", aIndex);
  const json::object* message = aMessage.if_object();
  if (message == nullptr) {
    aFields.Refuse(path, "must be an object with role and content");
    return;
  }
  for (const char* name : { "role", "content" }) {
    const json::value* part = message->if_contains(name);
    if (part == nullptr || !part->is_string()) {
      aFields.Refuse(path + "/" + name, "must be a string");
      return;
    }
  }
  const std::string text = json::serialize(aMessage);
  aRequest.mNewTokens += TokenBound(message->at("content").get_string().size());
  if (!aRequest.mMessages.empty()) {
    aRequest.mMessages += ',';
  }
  aRequest.mMessages += text;
}

static void
ParseModel(const json::object& aObject, JsonFields& aFields, CallRequest& aRequest)
{
  aFields.RefuseUnknown(
    { "seq", "kind", "service", "messages", "max_tokens", "stream", "deadline_ms" });
  aRequest.mMaxTokens = aFields.Integer("max_tokens", 1, kMaxGenerated);
  aRequest.mStream = aFields.OptionalFlag("stream", false);
  const json::value* messages = aObject.if_contains("messages");
  if (messages == nullptr || !messages->is_array() || messages->get_array().empty()) {
    aFields.Refuse("messages", "must be a non-empty array");
    return;
  }
  size_t index = 0;
  for (const json::value& message : messages->get_array()) {
    AddMessage(message, index++, aFields, aRequest);
  }
  aRequest.mText = json::serialize(json::object{ { "kind", "model" },
                                                 { "service", aRequest.mService },
                                                 { "messages", *messages },
                                                 { "max_tokens", aRequest.mMaxTokens } });
}

// The name becomes a path segment of the target's URL.
static bool
IsPathSegment(std::string_view aText)
{
  for (const char c : aText) {
    const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    if (!plain && c != '-' && c != '_' && c != '.') {
      return false;
    }
  }
  return aText != "." && aText != "..";
}

static void
ParseTool(const json::object& aObject, JsonFields& aFields, CallRequest& aRequest)
{
  aFields.RefuseUnknown(
    { "seq", "kind", "service", "tool", "arguments", "repeatable", "key", "deadline_ms" });
  aRequest.mTool = aFields.Name("tool");
  if (!IsPathSegment(aRequest.mTool)) {
    aFields.Refuse("tool", "must consist of letters, digits, '-', '_' and '.'");
  }
  aRequest.mRepeatable = aFields.Flag("repeatable");
  aRequest.mKey = aFields.OptionalName("key");
  const json::value* arguments = aObject.if_contains("arguments");
  if (arguments == nullptr || !arguments->is_object()) {
    aFields.Refuse("arguments", "must be an object");
    return;
  }
  if (aRequest.mRepeatable && !aRequest.mKey.empty()) {
    aFields.Refuse("key", "must be absent from a repeatable call");
  }
  aRequest.mArguments = json::serialize(*arguments);
  json::object text{ { "kind", "tool" },
                     { "service", aRequest.mService },
                     { "tool", aRequest.mTool },
                     { "arguments", *arguments } };
  if (!aRequest.mKey.empty()) {
    text["key"] = aRequest.mKey;
  }
  aRequest.mText = json::serialize(text);
}

base::Result<CallRequest>
ParseCallRequest(std::string_view aBody)
{
  base::Result<json::object> parsed = ParseObject(aBody);
  if (!base::IsOk(parsed)) {
    return base::ErrorOf(parsed);
  }
  const json::object& object = base::ValueOf(parsed);
  JsonFields fields(object);
  CallRequest request;
  request.mSeq =
    static_cast<uint32_t>(fields.Integer("seq", 1, std::numeric_limits<uint32_t>::max() - 1));
  const std::string kind = fields.Name("kind");
  request.mService = fields.Name("service");
  if (const auto deadline = fields.OptionalInteger("deadline_ms", 1, kMaxDeadlineMs)) {
    request.mDeadline = base::Millis{ static_cast<int64_t>(*deadline) };
  }
  if (kind == "model") {
    ParseModel(object, fields, request);
  } else if (kind == "tool") {
    request.mKind = wire::CallKind::Tool;
    ParseTool(object, fields, request);
  } else {
    fields.Refuse("kind", "must be \"model\" or \"tool\"");
  }
  if (fields.Failure()) {
    return *fields.Failure();
  }
  if (!request.mRepeatable && request.mKey.empty()) {
    return base::Error{ base::ErrorKind::KeyMissing,
                        "a non-idempotent call needs a key that is unique within the program",
                        "key" };
  }
  request.mDigest = base::StableHash(request.mText);
  return request;
}

}
