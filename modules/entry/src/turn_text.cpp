#include "turn_text.h"

#include "call_request.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

namespace sycamore::entry {

namespace json = boost::json;

static json::value
ParseOrNull(const std::string& aText)
{
  json::error_code failure;
  json::value value = json::parse(aText, failure);
  return failure ? json::value() : value;
}

// The value at a JSON pointer; null if it does not exist.
static const json::value*
At(const json::value& aValue, const char* aPointer)
{
  json::error_code failure;
  return aValue.find_pointer(aPointer, failure);
}

static std::optional<uint64_t>
NumberAt(const json::value& aValue, const char* aPointer)
{
  const json::value* value = At(aValue, aPointer);
  if (value == nullptr || !value->is_int64() || value->get_int64() < 0) {
    return std::nullopt;
  }
  return static_cast<uint64_t>(value->get_int64());
}

static void
AddMessage(TurnText& aText, const json::value& aMessage)
{
  const std::string message = json::serialize(aMessage);
  if (!aText.mFragment.empty()) {
    aText.mFragment += ',';
  }
  aText.mFragment += message;
  aText.mTokenBound += TokenBound(message.size());
}

static void
DeriveModel(TurnText& aText, const json::value& aRequest, const json::value& aAnswer)
{
  const json::value* messages = At(aRequest, "/messages");
  if (messages != nullptr && messages->is_array()) {
    for (const json::value& message : messages->get_array()) {
      AddMessage(aText, message);
    }
  }
  const json::value* answer = At(aAnswer, "/answer");
  if (answer != nullptr) {
    AddMessage(aText, *answer);
  }
  const auto prompt = NumberAt(aAnswer, "/usage/prompt_tokens");
  const auto generated = NumberAt(aAnswer, "/usage/generated_tokens");
  if (prompt && generated && *prompt > 0) {
    aText.mTotalTokens = *prompt + *generated;
  }
}

static void
DeriveTool(TurnText& aText, const json::value& aRequest, const json::value& aAnswer)
{
  const json::value* tool = At(aRequest, "/tool");
  const json::value* answer = At(aAnswer, "/answer");
  json::object message{ { "role", "tool" } };
  if (tool != nullptr) {
    message["name"] = *tool;
  }
  message["content"] = answer == nullptr ? "" : json::serialize(*answer);
  AddMessage(aText, message);
}

void
DeriveText(TurnText& aText)
{
  aText.mFragment.clear();
  aText.mTokenBound = 0;
  aText.mTotalTokens.reset();
  const json::value request = ParseOrNull(aText.mRequest);
  const json::value answer = ParseOrNull(aText.mAnswer);
  if (aText.mKind == wire::LogTurnKind::Model) {
    DeriveModel(aText, request, answer);
  } else {
    DeriveTool(aText, request, answer);
  }
}

std::string
ModelAnswer(const std::string& aContent,
            uint64_t aPromptTokens,
            uint64_t aCachedTokens,
            uint64_t aGeneratedTokens)
{
  return json::serialize(
    json::object{ { "answer", json::object{ { "role", "assistant" }, { "content", aContent } } },
                  { "usage",
                    json::object{ { "prompt_tokens", aPromptTokens },
                                  { "cached_tokens", aCachedTokens },
                                  { "generated_tokens", aGeneratedTokens } } } });
}

std::string
ToolAnswer(const std::string& aBody, uint32_t aStatus)
{
  json::error_code failure;
  json::value answer = json::parse(aBody, failure);
  if (failure) {
    answer = aBody;
  }
  return json::serialize(json::object{ { "answer", std::move(answer) },
                                       { "status", aStatus },
                                       { "usage",
                                         json::object{ { "prompt_tokens", 0 },
                                                       { "cached_tokens", 0 },
                                                       { "generated_tokens", 0 } } } });
}

std::string
CallerAnswer(uint32_t aSeq, const std::string& aAnswer)
{
  if (aAnswer.size() < 2 || aAnswer.front() != '{') {
    return fmt::format("{{\"seq\":{}}}", aSeq);
  }
  return fmt::format("{{\"seq\":{},{}", aSeq, std::string_view(aAnswer).substr(1));
}

std::optional<std::string>
ContentOf(const std::string& aBody)
{
  const json::value body = ParseOrNull(aBody);
  const json::value* content = At(body, "/choices/0/message/content");
  if (content == nullptr) {
    content = At(body, "/answer/content");
  }
  if (content == nullptr || !content->is_string()) {
    return std::nullopt;
  }
  return std::string(content->get_string());
}

}
