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
ToMessage(const base::Result<Appended>& aResult);

wire::RelayResponseT
ToMessage(const base::Result<StreamPage>& aResult);

wire::RelayResponseT
ToMessage(const base::Result<StreamSnapshot>& aResult);

base::Result<Appended>
AppendedOf(const wire::RelayResponseT& aMessage);

base::Result<StreamPage>
PageOf(const wire::RelayResponseT& aMessage);

base::Result<StreamSnapshot>
SnapshotOf(const wire::RelayResponseT& aMessage);

// The answer to a question for the text of a turn: its record, or nothing if it is not in memory.
wire::RelayResponseT
TextMessage(const std::optional<std::string>& aRecord);

std::optional<std::string>
TextRecordOf(const wire::RelayResponseT& aMessage);

}
