#pragma once

#include "sycamore/base/result.h"
#include "sycamore/wire/frame_generated.h"
#include "sycamore/wire/log_batch_generated.h"

#include <string>
#include <string_view>
#include <utility>

namespace sycamore::wire {

// Largest frame accepted between processes, in bytes. Holds a full history of 140,000 tokens with
// ample room; a longer length prefix is a protocol error.
constexpr size_t kMaxFrameBytes = size_t{ 16 } << 20;

// Length of the prefix before each frame, in bytes.
constexpr size_t kLengthBytes = 4;

// Encodes a frame with its length prefix.
std::string
EncodeFrame(const FrameT& aFrame);

// Reads the length prefix from the first kLengthBytes of aPrefix; ErrorKind::MalformedBody if the
// frame would be empty or longer than kMaxFrameBytes.
base::Result<size_t>
DecodeLength(std::string_view aPrefix);

// Decodes a frame without its prefix; ErrorKind::MalformedBody if it does not verify.
base::Result<FrameT>
DecodeFrame(std::string_view aData);

// Encodes one log append.
std::string
EncodeBatch(const LogBatchT& aBatch);

// Decodes one log append; ErrorKind::MalformedBody if it does not verify.
base::Result<LogBatchT>
DecodeBatch(std::string_view aData);

// Wraps a body table in a frame.
template<typename T>
FrameT
MakeFrame(T aBody)
{
  FrameT frame;
  frame.body.Set(std::move(aBody));
  return frame;
}

// Wraps a record table in a log entry.
template<typename T>
LogEntryT
MakeEntry(T aRecord)
{
  LogEntryT entry;
  entry.record.Set(std::move(aRecord));
  return entry;
}

}
