#include "async.h"

#include "sycamore/base/log.h"

namespace sycamore::gateway {

void
LogFailure::operator()(const std::exception_ptr& aException) const
{
  if (!aException) {
    return;
  }
  try {
    std::rethrow_exception(aException);
  } catch (const std::exception& exception) {
    base::Log(
      base::LogEvent::HttpError, "a coroutine ended with an exception: {}", exception.what());
  }
}

}
