#include "sycamore/wire/codec.h"

#include <cassert>

namespace sycamore::wire {

using base::Error;
using base::ErrorKind;
using base::Result;

static const uint8_t*
BytesOf(std::string_view aData)
{
  return reinterpret_cast<const uint8_t*>(aData.data());
}

static std::string
PrefixFor(size_t aLength)
{
  assert(aLength <= kMaxFrameBytes);
  std::string prefix(kLengthBytes, '\0');
  for (size_t i = 0; i < kLengthBytes; ++i) {
    prefix[i] = static_cast<char>((aLength >> (8 * i)) & 0xff);
  }
  return prefix;
}

std::string
EncodeFrame(const FrameT& aFrame)
{
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(Frame::Pack(builder, &aFrame));
  std::string encoded = PrefixFor(builder.GetSize());
  encoded.append(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
  return encoded;
}

Result<size_t>
DecodeLength(std::string_view aPrefix)
{
  assert(aPrefix.size() >= kLengthBytes);
  size_t length = 0;
  for (size_t i = 0; i < kLengthBytes; ++i) {
    length |= static_cast<size_t>(BytesOf(aPrefix)[i]) << (8 * i);
  }
  if (length == 0 || length > kMaxFrameBytes) {
    return Error{ ErrorKind::MalformedBody, "frame length out of range", "length" };
  }
  return length;
}

Result<FrameT>
DecodeFrame(std::string_view aData)
{
  flatbuffers::Verifier verifier(BytesOf(aData), aData.size());
  if (!verifier.VerifyBuffer<Frame>(nullptr)) {
    return Error{ ErrorKind::MalformedBody, "frame does not verify", "frame" };
  }
  FrameT frame;
  flatbuffers::GetRoot<Frame>(aData.data())->UnPackTo(&frame);
  return frame;
}

std::string
EncodeBatch(const LogBatchT& aBatch)
{
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(LogBatch::Pack(builder, &aBatch));
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

Result<LogBatchT>
DecodeBatch(std::string_view aData)
{
  flatbuffers::Verifier verifier(BytesOf(aData), aData.size());
  if (!verifier.VerifyBuffer<LogBatch>(nullptr)) {
    return Error{ ErrorKind::MalformedBody, "log batch does not verify", "batch" };
  }
  LogBatchT batch;
  flatbuffers::GetRoot<LogBatch>(aData.data())->UnPackTo(&batch);
  return batch;
}

}
