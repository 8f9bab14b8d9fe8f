#include "relay_server.h"

#include "async.h"
#include "frame_io.h"
#include "relay_codec.h"
#include "replica_connection.h"
#include "sycamore/base/log.h"

#include <algorithm>
#include <utility>

namespace sycamore::gateway {

using base::Millis;

// Idle timeout of a connection; the client closes idle connections first.
static constexpr base::Seconds kIdleTimeout{ 30 };
// Timeout of the rest of a frame whose length has arrived, and of a response.
static constexpr base::Seconds kFrameTimeout{ 5 };
// Maximum timeout that a peer may request.
static constexpr uint32_t kMaxTimeoutMs = 5000;

static std::optional<StreamId>
StreamOf(const wire::RelayRequestT& aRequest)
{
  if (aRequest.stream >= kStreamCount) {
    return std::nullopt;
  }
  return StreamId(static_cast<StreamName>(aRequest.stream), aRequest.partition);
}

static std::string
TextOf(const wire::RelayBytesT& aBytes)
{
  return { aBytes.bytes.begin(), aBytes.bytes.end() };
}

static boost::asio::awaitable<wire::RelayResponseT>
Perform(const RelayServices& aServices, const wire::RelayRequestT& aRequest)
{
  if (aRequest.operation == wire::RelayOperation::Text) {
    co_return TextMessage(aServices.mFindText(aRequest.key));
  }
  if (aRequest.operation == wire::RelayOperation::Facts) {
    co_return co_await aServices.mFacts(aRequest);
  }
  if (aRequest.operation == wire::RelayOperation::Usage) {
    co_return aServices.mUsage(aRequest);
  }
  if (aRequest.shared && aServices.mStopping()) {
    const base::Result<Appended> refused =
      base::Error{ base::ErrorKind::LogUnavailable, "the aggregator is stopping", "" };
    co_return ToMessage(refused);
  }
  LogStore& store = aRequest.shared ? aServices.mAggregator : aServices.mDirect;
  const Millis timeout(std::min(aRequest.timeout_ms, kMaxTimeoutMs));
  const auto stream = StreamOf(aRequest);
  if (!stream) {
    const base::Result<Appended> unknown =
      base::Error{ base::ErrorKind::LogUnavailable, "unknown stream", "" };
    co_return ToMessage(unknown);
  }
  std::vector<std::string> records;
  for (const auto& record : aRequest.records) {
    records.push_back(TextOf(*record));
  }
  switch (aRequest.operation) {
    case wire::RelayOperation::Append:
      co_return ToMessage(co_await store.Append(*stream, std::move(records), timeout));
    case wire::RelayOperation::Put: {
      std::string value = records.empty() ? std::string() : std::move(records.front());
      co_return ToMessage(co_await store.Put(*stream, aRequest.key, std::move(value), timeout));
    }
    case wire::RelayOperation::Read: {
      ReadRange range{ aRequest.from, Millis(aRequest.wait_ms), aRequest.max_kb };
      range.mFresh = aRequest.fresh;
      co_return ToMessage(co_await store.Read(*stream, range, timeout));
    }
    case wire::RelayOperation::Newest:
    case wire::RelayOperation::Text: // Answered above, as the next ones.
    case wire::RelayOperation::Facts:
    case wire::RelayOperation::Usage:
      break;
  }
  co_return ToMessage(co_await store.Newest(*stream, timeout));
}

boost::asio::awaitable<void>
ServeRelay(boost::asio::ip::tcp::socket aSocket,
           const RelayServices& aServices,
           RelayLimits aLimits)
{
  boost::beast::tcp_stream stream(std::move(aSocket));
  http::ConnectionLimit::Member member(aLimits.mConnections, [&stream] { stream.close(); });
  EnableDeadPeerDetection(stream.socket(), Millis(kIdleTimeout));
  for (;;) {
    member.Enter(http::ConnectionPhase::Idle);
    stream.expires_after(kIdleTimeout);
    const auto length = co_await ReadFrameLength(stream);
    if (!length) {
      co_return;
    }
    member.Enter(http::ConnectionPhase::Reading);
    stream.expires_after(kFrameTimeout);
    MemoryAccount::Hold memory(aLimits.mFrames);
    const auto frame = co_await ReadFrameBody(stream, *length, &memory);
    if (!frame) {
      co_return;
    }
    const auto request = ParseRequest(*frame);
    if (!request) {
      base::Log(base::LogEvent::PeerProtocolError, "malformed relay request from a peer");
      co_return;
    }
    member.Enter(http::ConnectionPhase::Serving);
    const wire::RelayResponseT response = co_await Perform(aServices, *request);
    std::string answer = FrameResponse(response);
    if (!memory.Grow(answer.size())) {
      co_return;
    }
    stream.expires_after(kFrameTimeout);
    const bool sent = co_await WriteFrame(stream, std::move(answer));
    if (!sent) {
      co_return;
    }
  }
}

}
