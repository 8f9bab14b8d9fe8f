#include "sycamore/testbed/chat_request.h"

#include "sycamore/testbed/answer_text.h"
#include "sycamore/testbed/json.h"
#include "sycamore/testbed/tokens.h"

#include <algorithm>
#include <charconv>

namespace sycamore::testbed {

namespace json = boost::json;

static constexpr uint64_t kDefaultMaxTokens = 64;
static constexpr std::string_view kDirective = "[answer_tokens=";

static base::Error
FieldError(std::string aField)
{
  return base::Error{ base::ErrorKind::InvalidField, "missing or invalid", std::move(aField) };
}

// The text of a message: a string, or an array of parts with text.
static std::string
ContentOf(const json::object& aMessage)
{
  const json::value* content = aMessage.if_contains("content");
  if (content == nullptr || !content->is_array()) {
    return TextField(aMessage, "content");
  }
  std::string text;
  for (const json::value& part : content->get_array()) {
    if (part.is_object()) {
      text += TextField(part.get_object(), "text");
    }
  }
  return text;
}

// The length that the message asks for; nothing if it asks for none.
static std::optional<uint64_t>
DirectiveOf(std::string_view aContent)
{
  const size_t start = aContent.rfind(kDirective);
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = aContent.substr(start + kDirective.size());
  uint64_t tokens = 0;
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), tokens);
  return parsed.ec == std::errc() ? std::optional<uint64_t>(tokens) : std::nullopt;
}

// Reads the messages into the chain; returns the text of the last one.
static base::Result<std::string>
ReadMessages(const json::array& aMessages, EngineCall& aCall)
{
  PrefixLink link;
  std::string content;
  for (const json::value& value : aMessages) {
    if (!value.is_object()) {
      return FieldError("messages");
    }
    const std::string role = TextField(value.get_object(), "role");
    content = ContentOf(value.get_object());
    link.mHash = HistoryDigest(link.mHash, role, content);
    link.mBytes += content.size();
    aCall.mChain.push_back(link);
    if (role == "assistant") {
      aCall.mPriorTokens = TokensInBytes(link.mBytes);
    }
  }
  // An empty prompt still costs one token.
  aCall.mPromptTokens = std::max<uint64_t>(1, TokensInBytes(link.mBytes));
  return content;
}

static uint64_t
AnswerLength(uint64_t aMaxTokens, uint64_t aAnswerTokens, std::string_view aLastMessage)
{
  uint64_t wanted = DirectiveOf(aLastMessage).value_or(aAnswerTokens);
  if (wanted == 0) {
    wanted = aMaxTokens;
  }
  return std::max<uint64_t>(1, std::min(wanted, aMaxTokens));
}

base::Result<ChatRequest>
ParseChatRequest(std::string_view aBody, uint64_t aAnswerTokens)
{
  const auto body = ParseObject(aBody);
  if (!base::IsOk(body)) {
    return base::ErrorOf(body);
  }
  const json::object& object = base::ValueOf(body);
  const json::value* messages = object.if_contains("messages");
  if (messages == nullptr || !messages->is_array() || messages->get_array().empty()) {
    return FieldError("messages");
  }
  ChatRequest request;
  EngineCall& call = request.mCall;
  const auto last = ReadMessages(messages->get_array(), call);
  if (!base::IsOk(last)) {
    return base::ErrorOf(last);
  }
  request.mModel = TextField(object, "model");
  request.mMaxTokens = UintField(object, "max_tokens", kDefaultMaxTokens);
  request.mStream = BoolField(object, "stream");
  if (object.contains("fence")) {
    request.mFence = UintField(object, "fence");
  }
  call.mProgram = TextField(object, "program");
  call.mPriority = IntField(object, "priority");
  call.mAnswerTokens = AnswerLength(request.mMaxTokens, aAnswerTokens, base::ValueOf(last));
  const PrefixLink& end = call.mChain.back();
  request.mAnswer = AnswerText(call.mProgram, call.mChain.size(), end.mHash, call.mAnswerTokens);
  call.mAnswerLink = PrefixLink{ HistoryDigest(end.mHash, "assistant", request.mAnswer),
                                 end.mBytes + request.mAnswer.size() };
  return request;
}

}
