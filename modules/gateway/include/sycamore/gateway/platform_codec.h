#pragma once

#include "sycamore/gateway/replica.h"
#include "sycamore/gateway/route_table.h"

#include <optional>
#include <string>
#include <string_view>

namespace sycamore::gateway {

// Reads what operators and replicas write into the log. Implemented by the platform's adapter.
class PlatformCodec
{
public:
  virtual ~PlatformCodec() = default;

  // The key under which the configuration lies.
  virtual std::string_view ConfigurationKey() const = 0;

  // Nothing if aText is no configuration that can be used as a whole.
  virtual std::optional<RouteTable> DecodeConfiguration(std::string_view aText) const = 0;

  // Nothing if aText names no replica to use.
  virtual std::optional<Replica> DecodeReplica(const std::string& aId,
                                               std::string_view aText) const = 0;
};

}
