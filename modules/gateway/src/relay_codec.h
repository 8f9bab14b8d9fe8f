#pragma once

#include "sycamore/gateway/log_store.h"
#include "sycamore/wire/store_relay_generated.h"

#include <optional>
#include <string>
#include <string_view>

namespace sycamore::gateway {

// Serializes aMessage with a length prefix.
std::string
FrameRequest(const wire::RelayRequestT& aMessage);

std::string
FrameResponse(const wire::RelayResponseT& aMessage);

// Parses a message without its length prefix. Nothing if aBytes is not valid.
std::optional<wire::RelayRequestT>
ParseRequest(std::string_view aBytes);

std::optional<wire::RelayResponseT>
ParseResponse(std::string_view aBytes);

// Conversions between the results of a LogStore and messages.
wire::RelayResponseT
ToMessage(const base::Result<uint64_t>& aResult);

wire::RelayResponseT
ToMessage(const base::Result<StreamPage>& aResult);

wire::RelayResponseT
ToMessage(const base::Result<StreamSnapshot>& aResult);

base::Result<uint64_t>
OffsetOf(const wire::RelayResponseT& aMessage);

base::Result<StreamPage>
PageOf(const wire::RelayResponseT& aMessage);

base::Result<StreamSnapshot>
SnapshotOf(const wire::RelayResponseT& aMessage);

}
