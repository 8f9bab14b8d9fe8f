#include "relay_codec.h"

#include "sycamore/wire/table_codec.h"

#include <boost/endian/conversion.hpp>
#include <utility>

namespace sycamore::gateway {

using base::ErrorKind;

// aTable with a length prefix.
static std::string
Frame(const std::string& aTable)
{
  std::string frame(4, '\0');
  boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(frame.data()),
                               static_cast<uint32_t>(aTable.size()));
  return frame + aTable;
}

std::string
FrameRequest(const wire::RelayRequestT& aMessage)
{
  return Frame(wire::EncodeTable<wire::RelayRequest>(aMessage));
}

std::string
FrameResponse(const wire::RelayResponseT& aMessage)
{
  return Frame(wire::EncodeTable<wire::RelayResponse>(aMessage));
}

std::optional<wire::RelayRequestT>
ParseRequest(std::string_view aBytes)
{
  return wire::DecodeTable<wire::RelayRequest>(aBytes);
}

std::optional<wire::RelayResponseT>
ParseResponse(std::string_view aBytes)
{
  return wire::DecodeTable<wire::RelayResponse>(aBytes);
}

static wire::RelayResponseT
FailureMessage(const base::Error& aError)
{
  wire::RelayResponseT message;
  message.failure = aError.mMessage.empty() ? "unknown" : aError.mMessage;
  message.may_have_effect = aError.mKind == ErrorKind::OutcomeUnknown;
  return message;
}

static void
AddRecords(const std::vector<StreamRecord>& aRecords, wire::RelayResponseT& aOut)
{
  for (const StreamRecord& record : aRecords) {
    auto entry = std::make_unique<wire::RelayRecordT>();
    entry->offset = record.mOffset;
    entry->key = record.mKey;
    if (record.mValue) {
      entry->value = std::make_unique<wire::RelayBytesT>();
      entry->value->bytes.assign(record.mValue->begin(), record.mValue->end());
    }
    aOut.records.push_back(std::move(entry));
  }
}

wire::RelayResponseT
ToMessage(const base::Result<Appended>& aResult)
{
  if (!base::IsOk(aResult)) {
    return FailureMessage(base::ErrorOf(aResult));
  }
  wire::RelayResponseT message;
  message.offset = base::ValueOf(aResult).mOffset;
  message.joined = base::ValueOf(aResult).mJoined;
  return message;
}

wire::RelayResponseT
ToMessage(const base::Result<StreamPage>& aResult)
{
  if (!base::IsOk(aResult)) {
    return FailureMessage(base::ErrorOf(aResult));
  }
  const StreamPage& page = base::ValueOf(aResult);
  wire::RelayResponseT message;
  message.end = page.mEnd;
  message.next = page.mNext;
  message.expired = page.mExpired;
  message.age_ms = static_cast<uint64_t>(page.mAge.count());
  AddRecords(page.mRecords, message);
  return message;
}

wire::RelayResponseT
ToMessage(const base::Result<StreamSnapshot>& aResult)
{
  if (!base::IsOk(aResult)) {
    return FailureMessage(base::ErrorOf(aResult));
  }
  wire::RelayResponseT message;
  message.end = base::ValueOf(aResult).mEnd;
  AddRecords(base::ValueOf(aResult).mRecords, message);
  return message;
}

static std::optional<base::Error>
FailureOf(const wire::RelayResponseT& aMessage)
{
  if (aMessage.failure.empty()) {
    return std::nullopt;
  }
  const auto kind =
    aMessage.may_have_effect ? ErrorKind::OutcomeUnknown : ErrorKind::LogUnavailable;
  return base::Error{ kind, aMessage.failure, "" };
}

static std::vector<StreamRecord>
RecordsOf(const wire::RelayResponseT& aMessage)
{
  std::vector<StreamRecord> records;
  for (const auto& entry : aMessage.records) {
    StreamRecord record{ entry->offset, entry->key, std::nullopt };
    if (entry->value) {
      record.mValue.emplace(entry->value->bytes.begin(), entry->value->bytes.end());
    }
    records.push_back(std::move(record));
  }
  return records;
}

base::Result<Appended>
AppendedOf(const wire::RelayResponseT& aMessage)
{
  if (auto failure = FailureOf(aMessage)) {
    return std::move(*failure);
  }
  return Appended{ aMessage.offset, aMessage.joined };
}

base::Result<StreamPage>
PageOf(const wire::RelayResponseT& aMessage)
{
  if (auto failure = FailureOf(aMessage)) {
    return std::move(*failure);
  }
  StreamPage page;
  page.mEnd = aMessage.end;
  page.mNext = aMessage.next;
  page.mExpired = aMessage.expired;
  page.mAge = base::Millis(aMessage.age_ms);
  page.mRecords = RecordsOf(aMessage);
  return page;
}

base::Result<StreamSnapshot>
SnapshotOf(const wire::RelayResponseT& aMessage)
{
  if (auto failure = FailureOf(aMessage)) {
    return std::move(*failure);
  }
  return StreamSnapshot{ aMessage.end, RecordsOf(aMessage) };
}

wire::RelayResponseT
TextMessage(const std::optional<std::string>& aRecord)
{
  wire::RelayResponseT message;
  if (aRecord) {
    AddRecords({ StreamRecord{ 0, "", aRecord } }, message);
  }
  return message;
}

std::optional<std::string>
TextRecordOf(const wire::RelayResponseT& aMessage)
{
  std::vector<StreamRecord> records = RecordsOf(aMessage);
  return records.empty() ? std::nullopt : std::move(records.front().mValue);
}

}
