#pragma once

#include "sycamore/base/result.h"
#include "sycamore/gateway/replica.h"
#include "sycamore/gateway/route_table.h"

#include <optional>
#include <string>
#include <string_view>

namespace sycamore::gateway {

// Decodes the records that operators and replicas write to the log. Implemented by the platform's
// adapter.
class PlatformCodec
{
public:
  virtual ~PlatformCodec() = default;

  // Key of the configuration in its stream.
  virtual std::string_view ConfigurationKey() const = 0;

  // InvalidField, with what is wrong, if any part of aText is invalid. The message holds no API
  // key.
  virtual base::Result<RouteTable> DecodeConfiguration(std::string_view aText) const = 0;

  // Nothing if aText does not describe a usable replica.
  virtual std::optional<Replica> DecodeReplica(const std::string& aId,
                                               std::string_view aText) const = 0;
};

}
