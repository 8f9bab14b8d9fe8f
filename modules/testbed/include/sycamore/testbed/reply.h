#pragma once

#include "sycamore/http/response_part.h"

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace sycamore::testbed {

// A complete JSON answer to aRequest.
http::ResponsePart
JsonReply(uint64_t aRequest, int aStatus, const boost::json::object& aBody);

// A complete answer `{"error":{"code","message"}}`.
http::ResponsePart
ErrorReply(uint64_t aRequest, int aStatus, std::string_view aCode, std::string_view aMessage);

}
