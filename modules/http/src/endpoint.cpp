#include "sycamore/http/endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <fmt/format.h>

namespace sycamore::http {

using base::Error;
using base::ErrorKind;

base::Result<Endpoint>
ParseEndpoint(std::string_view aText)
{
  const Error invalid{ ErrorKind::InvalidField,
                       fmt::format("'{}' is no IP address with a port, e.g. 127.0.0.1:8080", aText),
                       "" };
  const size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return invalid;
  }
  Endpoint endpoint{ std::string(aText.substr(0, colon)), 0 };
  boost::system::error_code code;
  boost::asio::ip::make_address(endpoint.mAddress, code);
  const char* end = aText.data() + aText.size();
  const auto [last, error] = std::from_chars(aText.data() + colon + 1, end, endpoint.mPort);
  if (code || error != std::errc() || last != end || colon + 1 == aText.size()) {
    return invalid;
  }
  return endpoint;
}

std::string
ToString(const Endpoint& aEndpoint)
{
  return fmt::format("{}:{}", aEndpoint.mAddress, aEndpoint.mPort);
}

}
