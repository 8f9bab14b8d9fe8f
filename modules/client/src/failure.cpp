#include "sycamore/client/failure.h"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <vector>

namespace sycamore::client {

static std::string
TextOf(const boost::json::object& aObject, std::string_view aKey)
{
  const auto* value = aObject.if_contains(aKey);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

Failure
FailureOf(int aStatus, std::string_view aBody, base::Millis aRetryAfter)
{
  Failure failure;
  failure.mStatus = aStatus;
  failure.mRetryAfter = aRetryAfter;
  failure.mCode = fmt::format("http_{}", aStatus);
  failure.mMessage = "the answer carries no error object; is this the address of an entry?";
  boost::json::error_code ignored;
  const boost::json::value root = boost::json::parse(aBody, ignored);
  const auto* object = root.if_object();
  const auto* error = object == nullptr ? nullptr : object->if_contains("error");
  if (error == nullptr || !error->is_object()) {
    return failure;
  }
  const boost::json::object& fields = error->get_object();
  failure.mCode = TextOf(fields, "code");
  failure.mMessage = TextOf(fields, "message");
  failure.mField = TextOf(fields, "field");
  failure.mRun = TextOf(fields, "run");
  const auto* retryable = fields.if_contains("retryable");
  failure.mRetryable = retryable != nullptr && retryable->is_bool() && retryable->get_bool();
  return failure;
}

Failure
FailureOf(const base::Error& aError)
{
  const base::Answer& answer = base::AnswerFor(aError.mKind);
  Failure failure;
  failure.mCode = answer.mCode;
  failure.mMessage = aError.mMessage;
  failure.mField = aError.mField;
  failure.mRun = base::RunStateName(answer.mRun);
  failure.mRetryable = answer.mRetryable;
  return failure;
}

std::string
ToString(const Failure& aFailure)
{
  std::vector<std::string> details;
  if (!aFailure.mField.empty()) {
    details.push_back(fmt::format("field {}", aFailure.mField));
  }
  if (!aFailure.mRun.empty()) {
    details.push_back(fmt::format("run {}", aFailure.mRun));
  }
  if (aFailure.mRetryAfter.count() > 0) {
    details.push_back(fmt::format("retry after {} ms", aFailure.mRetryAfter.count()));
  }
  const std::string text = fmt::format("{}: {}", aFailure.mCode, aFailure.mMessage);
  return details.empty() ? text : fmt::format("{} ({})", text, fmt::join(details, "; "));
}

}
