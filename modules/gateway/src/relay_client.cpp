#include "relay_client.h"

#include "async.h"
#include "frame_io.h"
#include "relay_codec.h"
#include "replica_connection.h"
#include "sycamore/http/idle_socket.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <utility>

namespace sycamore::gateway {

using base::ErrorKind;
using base::Millis;

// Connect timeout; the farthest peer answers in 65 ms.
static constexpr Millis kConnectTimeout{ 250 };
// Added to the store's timeout for the round trip to the peer.
static constexpr Millis kRelayOverhead{ 100 };
static constexpr Millis kDeadPeerTimeout{ 1000 };

RelayClient::RelayClient(const boost::asio::any_io_executor& aExecutor,
                         http::Endpoint aPeer,
                         Mode aMode)
  : mExecutor(aExecutor)
  , mPeer(std::move(aPeer))
  , mMode(aMode)
{
}

void
RelayClient::Abort()
{
  for (boost::beast::tcp_stream* stream : mBusy) {
    stream->close();
  }
}

LogStore::Async<RelayClient::Connection>
RelayClient::Connect(base::TimePoint aDeadline)
{
  while (!mIdle.empty()) {
    Connection idle = std::move(mIdle.back());
    mIdle.pop_back();
    if (http::IsIdle(idle->socket().native_handle())) {
      co_return std::move(idle);
    }
  }
  auto connection = std::make_unique<boost::beast::tcp_stream>(mExecutor);
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(mPeer.mAddress, error);
  if (!error) {
    connection->expires_at(std::min(aDeadline, base::Clock::now() + kConnectTimeout));
    std::tie(error) = co_await connection->async_connect(
      boost::asio::ip::tcp::endpoint(address, mPeer.mPort), kAsTuple);
  }
  if (error) {
    co_return base::Error{ ErrorKind::ConnectionLost, "connect to a peer: " + error.message(), "" };
  }
  EnableDeadPeerDetection(connection->socket(), kDeadPeerTimeout);
  co_return std::move(connection);
}

LogStore::Async<wire::RelayResponseT>
RelayClient::Call(wire::RelayRequestT aRequest, Millis aTimeout)
{
  const base::TimePoint deadline = base::Clock::now() + aTimeout + kRelayOverhead;
  aRequest.timeout_ms = static_cast<uint32_t>(aTimeout.count());
  auto connected = co_await Connect(deadline);
  if (!base::IsOk(connected)) {
    co_return base::ErrorOf(connected);
  }
  Connection connection = base::TakeValue(std::move(connected));
  connection->expires_at(deadline);
  std::string frame = FrameRequest(aRequest);
  mBusy.insert(connection.get());
  const bool sent = co_await WriteFrame(*connection, std::move(frame));
  std::optional<std::string> answer;
  if (sent) {
    answer = co_await ReadFrame(*connection);
  }
  mBusy.erase(connection.get());
  auto response = answer ? ParseResponse(*answer) : std::nullopt;
  if (!response) {
    co_return base::Error{ ErrorKind::OutcomeUnknown, "no valid response from the peer", "" };
  }
  connection->expires_never();
  mIdle.push_back(std::move(connection));
  co_return std::move(*response);
}

wire::RelayRequestT
RelayClient::RequestOf(wire::RelayOperation aOperation, StreamId aStream) const
{
  wire::RelayRequestT request;
  request.operation = aOperation;
  request.shared = mMode == Mode::Aggregate;
  request.stream = static_cast<uint8_t>(aStream.mName);
  request.partition = aStream.mPartition;
  return request;
}

static void
AddRecord(const std::string& aRecord, wire::RelayRequestT& aOut)
{
  auto bytes = std::make_unique<wire::RelayBytesT>();
  bytes->bytes.assign(aRecord.begin(), aRecord.end());
  aOut.records.push_back(std::move(bytes));
}

// Decodes the response of a call with aDecode, or returns the error of the call.
template<typename T>
static base::Result<T>
AnswerOf(const base::Result<wire::RelayResponseT>& aResponse,
         base::Result<T> (*aDecode)(const wire::RelayResponseT&))
{
  if (!base::IsOk(aResponse)) {
    return base::ErrorOf(aResponse);
  }
  return aDecode(base::ValueOf(aResponse));
}

LogStore::Async<Appended>
RelayClient::Append(StreamId aStream, std::vector<std::string> aRecords, Millis aTimeout)
{
  wire::RelayRequestT request = RequestOf(wire::RelayOperation::Append, aStream);
  for (const std::string& record : aRecords) {
    AddRecord(record, request);
  }
  const auto response = co_await Call(std::move(request), aTimeout);
  co_return AnswerOf(response, AppendedOf);
}

LogStore::Async<Appended>
RelayClient::Put(StreamId aStream, std::string aKey, std::string aValue, Millis aTimeout)
{
  wire::RelayRequestT request = RequestOf(wire::RelayOperation::Put, aStream);
  request.key = std::move(aKey);
  AddRecord(aValue, request);
  const auto response = co_await Call(std::move(request), aTimeout);
  co_return AnswerOf(response, AppendedOf);
}

LogStore::Async<StreamPage>
RelayClient::Read(StreamId aStream, ReadRange aRange, Millis aTimeout)
{
  wire::RelayRequestT request = RequestOf(wire::RelayOperation::Read, aStream);
  request.from = aRange.mFrom;
  request.wait_ms = static_cast<uint32_t>(aRange.mWait.count());
  request.max_kb = aRange.mMaxKilobytes;
  request.fresh = aRange.mFresh;
  const auto response = co_await Call(std::move(request), aTimeout);
  auto page = AnswerOf(response, PageOf);
  if (auto* read = std::get_if<StreamPage>(&page)) {
    read->mShared = mMode == Mode::Aggregate;
  }
  co_return page;
}

LogStore::Async<StreamSnapshot>
RelayClient::Newest(StreamId aStream, Millis aTimeout)
{
  const auto response = co_await Call(RequestOf(wire::RelayOperation::Newest, aStream), aTimeout);
  co_return AnswerOf(response, SnapshotOf);
}

LogStore::Async<RelayClient::FactsAnswer>
RelayClient::Facts(FactsRequest aRequest, Millis aTimeout)
{
  wire::RelayRequestT request;
  request.operation = wire::RelayOperation::Facts;
  request.stream = kStreamCount; // A gateway that does not know the operation refuses the stream.
  request.epoch = aRequest.mEpoch;
  request.from = aRequest.mFrom;
  request.wait_ms = static_cast<uint32_t>(aRequest.mWait.count());
  for (const std::string& record : aRequest.mRecords) {
    AddRecord(record, request);
  }
  const auto response = co_await Call(std::move(request), aTimeout);
  const auto page = AnswerOf(response, PageOf);
  if (!base::IsOk(page)) {
    co_return base::ErrorOf(page);
  }
  FactsAnswer answer;
  answer.mEpoch = base::ValueOf(response).epoch;
  answer.mNext = base::ValueOf(page).mNext;
  for (const StreamRecord& record : base::ValueOf(page).mRecords) {
    answer.mRecords.push_back(record.mValue.value_or(""));
  }
  co_return answer;
}

LogStore::Async<RelayClient::UsageAnswer>
RelayClient::Usage(UsageRequest aRequest, Millis aTimeout)
{
  wire::RelayRequestT request;
  request.operation = wire::RelayOperation::Usage;
  request.stream = kStreamCount; // A gateway that does not know the operation refuses the stream.
  request.key = aRequest.mSender;
  request.shared = aRequest.mOfDomain;
  request.epoch = aRequest.mEpoch;
  request.fresh = aRequest.mFull;
  const auto counted = std::min<int64_t>(aRequest.mCountsFor.count(), UINT32_MAX);
  request.wait_ms = static_cast<uint32_t>(counted);
  AddRecord(accounts::EncodeUsage(aRequest.mRows), request);
  const auto response = co_await Call(std::move(request), aTimeout);
  const auto page = AnswerOf(response, PageOf);
  if (!base::IsOk(page)) {
    co_return base::ErrorOf(page);
  }
  const std::vector<StreamRecord>& records = base::ValueOf(page).mRecords;
  auto rows = accounts::DecodeUsage(records.size() == 1 ? records.front().mValue.value_or("") : "");
  if (!rows) {
    co_return base::Error{ ErrorKind::OutcomeUnknown, "malformed usage of a peer", "" };
  }
  UsageAnswer answer{ base::ValueOf(response).joined, std::move(*rows), base::ValueOf(page).mAge };
  co_return std::move(answer);
}

LogStore::Async<std::optional<std::string>>
RelayClient::Text(std::string aAttempt, Millis aTimeout)
{
  wire::RelayRequestT request = RequestOf(wire::RelayOperation::Text, StreamName::Texts);
  request.key = std::move(aAttempt);
  const auto response = co_await Call(std::move(request), aTimeout);
  if (!base::IsOk(response)) {
    co_return base::ErrorOf(response);
  }
  co_return TextRecordOf(base::ValueOf(response));
}

}
