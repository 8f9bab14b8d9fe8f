#pragma once

#include "sycamore/http/endpoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sycamore::gateway {

// A gateway of the deployment, as it is announced in the members' stream.
struct Member
{
  std::string mInstance;
  http::Endpoint mPeer; // Where it serves other gateways.
  std::string mDomain;  // Failure domain; empty if not told.
  // Bandwidth of its link in Mbit/s; 0 if not told, which excludes it from being an aggregator.
  uint32_t mLinkMbits = 0;

  bool operator==(const Member&) const = default;
};

// Identifies the writer of a turn's text in a record; never 0.
uint32_t
WriterHash(std::string_view aInstance);

// The value of aMember in the members' stream; its instance is the key.
std::string
EncodeMember(const Member& aMember);

// Parses a value; nothing if it names no address. Gateways of before announced their address alone.
std::optional<Member>
DecodeMember(std::string_view aInstance, std::string_view aValue);

}
