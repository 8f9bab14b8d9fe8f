#pragma once

#include "sycamore/base/result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace sycamore::http {

// An IP address with a port.
struct Endpoint
{
  std::string mAddress;
  uint16_t mPort = 0;

  auto operator<=>(const Endpoint&) const = default;
};

// Parses "127.0.0.1:8080"; ErrorKind::InvalidField if the text is no IP address with a port.
base::Result<Endpoint>
ParseEndpoint(std::string_view aText);

// Text form, as accepted by ParseEndpoint.
std::string
ToString(const Endpoint& aEndpoint);

}
