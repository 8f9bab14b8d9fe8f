#include "sycamore/sidecar/answer_parser.h"

#include <boost/json.hpp>

namespace sycamore::sidecar {

namespace json = boost::json;
using base::Error;
using base::ErrorKind;
using base::Result;

static Error
Malformed(std::string aMessage)
{
  return { ErrorKind::TargetFailed, std::move(aMessage), "" };
}

// Returns the number of aName in aObject, or 0 if it is absent or not an unsigned integer.
static uint64_t
Count(const json::object& aObject, std::string_view aName)
{
  const json::value* value = aObject.if_contains(aName);
  if (value == nullptr || !value->is_number()) {
    return 0;
  }
  boost::system::error_code error;
  const auto count = value->to_number<uint64_t>(error);
  return error ? 0 : count;
}

// Returns the object of aName in aObject, or null.
static const json::object*
Member(const json::object& aObject, std::string_view aName)
{
  const json::value* value = aObject.if_contains(aName);
  return value == nullptr ? nullptr : value->if_object();
}

static std::optional<AnswerUsage>
UsageOf(const json::object& aAnswer)
{
  const json::object* usage = Member(aAnswer, "usage");
  if (usage == nullptr) {
    return std::nullopt;
  }
  AnswerUsage result;
  result.mPromptTokens = Count(*usage, "prompt_tokens");
  result.mGeneratedTokens = Count(*usage, "completion_tokens");
  if (const json::object* details = Member(*usage, "prompt_tokens_details")) {
    result.mCachedTokens = Count(*details, "cached_tokens");
  }
  return result;
}

// Returns the first choice of an answer or stream event, or null.
static const json::object*
FirstChoice(const json::object& aAnswer)
{
  const json::value* choices = aAnswer.if_contains("choices");
  const json::array* list = choices == nullptr ? nullptr : choices->if_array();
  return list == nullptr || list->empty() ? nullptr : list->front().if_object();
}

Result<std::string>
AnswerParser::Feed(std::string_view aData)
{
  mIncompleteLine.append(aData);
  std::string added;
  size_t begin = 0;
  for (size_t end = mIncompleteLine.find('\n'); end != std::string::npos;
       end = mIncompleteLine.find('\n', begin)) {
    auto line = ParseLine(std::string_view(mIncompleteLine).substr(begin, end - begin));
    if (!IsOk(line)) {
      return line;
    }
    added += ValueOf(line);
    begin = end + 1;
  }
  mIncompleteLine.erase(0, begin);
  mText += added;
  if (mText.size() + mIncompleteLine.size() > kMaxAnswerBytes) {
    return Malformed("the answer exceeds the size limit");
  }
  return added;
}

Result<std::string>
AnswerParser::ParseLine(std::string_view aLine)
{
  if (aLine.ends_with('\r')) {
    aLine.remove_suffix(1);
  }
  constexpr std::string_view kData = "data:";
  if (mComplete || !aLine.starts_with(kData)) {
    return std::string();
  }
  aLine.remove_prefix(kData.size());
  if (aLine.starts_with(' ')) {
    aLine.remove_prefix(1);
  }
  return ParseEvent(aLine);
}

Result<std::string>
AnswerParser::ParseEvent(std::string_view aData)
{
  if (aData == "[DONE]") {
    mComplete = true;
    return std::string();
  }
  boost::system::error_code error;
  const json::value parsed = json::parse(aData, error);
  const json::object* event = error ? nullptr : parsed.if_object();
  if (event == nullptr) {
    return Malformed("an event of the answer stream is not a JSON object");
  }
  // Some engines send "error": null in every event.
  const json::value* reported = event->if_contains("error");
  if (reported != nullptr && !reported->is_null()) {
    return Malformed("the target reported an error: " + json::serialize(*reported));
  }
  if (const auto usage = UsageOf(*event)) {
    mUsage = usage;
  }
  const json::object* choice = FirstChoice(*event);
  if (choice == nullptr) {
    return std::string();
  }
  if (const json::value* reason = choice->if_contains("finish_reason");
      reason != nullptr && reason->is_string()) {
    mFinishReason = std::string(reason->get_string());
  }
  const json::object* delta = Member(*choice, "delta");
  const json::value* content = delta == nullptr ? nullptr : delta->if_contains("content");
  return content != nullptr && content->is_string() ? std::string(content->get_string())
                                                    : std::string();
}

bool
AnswerParser::Complete() const
{
  return mComplete;
}

const std::string&
AnswerParser::Text() const
{
  return mText;
}

const std::optional<AnswerUsage>&
AnswerParser::Usage() const
{
  return mUsage;
}

std::string
AnswerParser::Body() const
{
  const AnswerUsage usage = mUsage.value_or(AnswerUsage{});
  json::object message{ { "role", "assistant" }, { "content", mText } };
  json::object choice{ { "index", 0 }, { "message", message }, { "finish_reason", mFinishReason } };
  json::object counts{ { "prompt_tokens", usage.mPromptTokens },
                       { "completion_tokens", usage.mGeneratedTokens },
                       { "total_tokens", usage.mPromptTokens + usage.mGeneratedTokens },
                       { "prompt_tokens_details",
                         json::object{ { "cached_tokens", usage.mCachedTokens } } } };
  return json::serialize(json::object{
    { "object", "chat.completion" }, { "choices", json::array{ choice } }, { "usage", counts } });
}

Result<AnswerUsage>
ParseAnswer(std::string_view aBody)
{
  boost::system::error_code error;
  const json::value parsed = json::parse(aBody, error);
  const json::object* answer = error ? nullptr : parsed.if_object();
  if (answer == nullptr || FirstChoice(*answer) == nullptr) {
    return Malformed("the answer is not a chat completion");
  }
  return UsageOf(*answer).value_or(AnswerUsage{});
}

}
