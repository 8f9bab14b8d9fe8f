#include "sycamore/http/error_body.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace sycamore::http {

std::string
ErrorBody(const base::Error& aError)
{
  const base::Answer& answer = base::AnswerFor(aError.mKind);
  boost::json::object error;
  error["code"] = answer.mCode;
  error["message"] = aError.mMessage;
  if (!aError.mField.empty()) {
    error["field"] = aError.mField;
  }
  if (answer.mRun != base::RunState::NotACall) {
    error["run"] = base::RunStateName(answer.mRun);
  }
  error["retryable"] = answer.mRetryable;
  return boost::json::serialize(boost::json::object{ { "error", std::move(error) } });
}

}
