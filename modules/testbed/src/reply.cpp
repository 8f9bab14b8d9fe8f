#include "sycamore/testbed/reply.h"

namespace sycamore::testbed {

namespace json = boost::json;

http::ResponsePart
JsonReply(uint64_t aRequest, int aStatus, const json::object& aBody)
{
  http::ResponsePart part;
  part.mRequest = aRequest;
  part.mStatus = aStatus;
  part.mBody = json::serialize(aBody);
  return part;
}

http::ResponsePart
ErrorReply(uint64_t aRequest, int aStatus, std::string_view aCode, std::string_view aMessage)
{
  const json::object error{ { "code", aCode }, { "message", aMessage } };
  return JsonReply(aRequest, aStatus, json::object{ { "error", error } });
}

}
