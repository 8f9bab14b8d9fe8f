#include "sycamore/http/error_body.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace sycamore::http {

std::string
ErrorBody(const base::Error& aError, std::optional<base::RunState> aRun)
{
  const base::Answer& answer = base::AnswerFor(aError.mKind);
  boost::json::object error;
  error["code"] = answer.mCode;
  error["message"] = aError.mMessage;
  error["field"] = aError.mField;
  error["run"] = base::RunStateName(aRun.value_or(answer.mRun));
  error["retryable"] = answer.mRetryable;
  return boost::json::serialize(boost::json::object{ { "error", std::move(error) } });
}

}
