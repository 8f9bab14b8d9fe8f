#include "caller.h"

#include <thread>

namespace sycamore::system {

// Pause between two attempts at one request.
static constexpr base::Millis kRetryPause{ 50 };

// Time that Complete waits for one answer before it asks the next entry.
static constexpr base::Millis kAttemptTimeout{ 10000 };

static std::string
ErrorText(const boost::json::object& aBody, const char* aName)
{
  const auto* error = aBody.if_contains("error");
  const auto* value =
    error != nullptr && error->is_object() ? error->get_object().if_contains(aName) : nullptr;
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

std::string
CallAnswer::Code() const
{
  return ErrorText(mBody, "code");
}

std::string
CallAnswer::Run() const
{
  return ErrorText(mBody, "run");
}

Caller::Caller(std::vector<http::Endpoint> aEntries)
  : mEntries(std::move(aEntries))
{
}

std::optional<CallAnswer>
Caller::Send(size_t aEntry,
             const std::string& aMethod,
             const std::string& aPath,
             const boost::json::object& aBody,
             base::Millis aTimeout)
{
  http::Client client(mEntries.at(aEntry), aTimeout);
  http::ClientRequest request;
  request.mMethod = aMethod;
  request.mTarget = aPath;
  request.mBody = aMethod == "GET" ? "" : boost::json::serialize(aBody);
  const auto response = client.Perform(request);
  if (!base::IsOk(response)) {
    return std::nullopt;
  }
  CallAnswer answer;
  answer.mStatus = base::ValueOf(response).mStatus;
  boost::json::error_code error;
  const auto body = boost::json::parse(base::ValueOf(response).mBody, error);
  if (error || !body.is_object()) {
    return std::nullopt;
  }
  answer.mBody = body.get_object();
  return answer;
}

static bool
IsRetryable(const CallAnswer& aAnswer)
{
  const auto* error = aAnswer.mBody.if_contains("error");
  return error != nullptr && error->is_object() && error->at("retryable").is_bool() &&
         error->at("retryable").get_bool();
}

std::optional<CallAnswer>
Caller::Complete(const std::string& aMethod,
                 const std::string& aPath,
                 const boost::json::object& aBody,
                 base::Millis aLimit)
{
  const base::TimePoint end = base::Clock::now() + aLimit;
  while (base::Clock::now() < end) {
    auto answer = Send(mNext++ % mEntries.size(), aMethod, aPath, aBody, kAttemptTimeout);
    if (answer && !IsRetryable(*answer)) {
      return answer;
    }
    std::this_thread::sleep_for(kRetryPause);
  }
  return std::nullopt;
}

boost::json::object
ProgramBody(uint64_t aBudget)
{
  return { { "account", "authority" }, { "region", "lahore-a" }, { "budget_tokens", aBudget } };
}

boost::json::object
ModelBody(uint32_t aSeq, const std::string& aText, uint32_t aMaxTokens)
{
  const boost::json::object message{ { "role", "user" }, { "content", aText } };
  return { { "seq", aSeq },
           { "kind", "model" },
           { "service", "llm" },
           { "messages", boost::json::array{ message } },
           { "max_tokens", aMaxTokens } };
}

boost::json::object
ToolBody(uint32_t aSeq, const std::string& aProgram, const std::string& aKey)
{
  boost::json::object body{ { "seq", aSeq },
                            { "kind", "tool" },
                            { "service", "tools" },
                            { "tool", aKey.empty() ? "lookup" : "issue-notice" },
                            { "repeatable", aKey.empty() } };
  boost::json::object arguments{ { "program", aProgram } };
  if (!aKey.empty()) {
    body["key"] = aKey;
    arguments["key"] = aKey;
  }
  body["arguments"] = std::move(arguments);
  return body;
}

std::string
CallsPath(const std::string& aProgram)
{
  return "/v1/programs/" + aProgram + "/calls";
}

}
