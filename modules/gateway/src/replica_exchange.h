#pragma once

#include "caller_link.h"
#include "context.h"
#include "memory_account.h"
#include "replica_pool.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace sycamore::gateway {

enum class ExchangeStatus : uint8_t
{
  Whole,      // The replica's whole answer was read; it is in mAnswer.
  Streamed,   // The replica's whole answer went to the sink.
  NotRun,     // The replica has not run the call and never will.
  Failed,     // The call may have run; there is no usable answer.
  Expired,    // The deadline passed; the call may have run.
  CallerGone, // The caller disconnected, or the sink cancelled the call.
};

// Name of aStatus in logs and metrics.
std::string_view
StatusName(ExchangeStatus aStatus);

// How far the answer of a call was when the replica ended its connection.
enum class BreakStage : uint8_t
{
  NotBroken, // The replica did not end the connection, or the answer was complete.
  NoHeader,
  NoBody, // The header had arrived, and no event or byte of the body.
  InBody,
};

struct ExchangeResult
{
  ExchangeStatus mStatus = ExchangeStatus::Failed;
  bool mSent = false; // The replica may have received the call.
  WholeAnswer mAnswer;
  std::string mDetail;                              // For the log.
  std::optional<ReportedLoad> mLoad = std::nullopt; // As reported with the answer.
  BreakStage mBreak = BreakStage::NotBroken;
  std::shared_ptr<MemoryAccount::Hold> mBody = nullptr; // Of mAnswer, if it was read.
};

// Whether the rest of a stream is wanted.
enum class SinkResult : uint8_t
{
  Continue,
  Cancel,   // No more is wanted, for a reason that is not the replica's.
  Unusable, // The bytes are not a valid answer: the replica has failed.
};

// How far an answer has come.
struct StreamProgress
{
  bool mHasEvents = false;            // The caller may have received some.
  std::optional<ResumePoint> mResume; // Where another answer can continue, if it can.
};

// Receives an answer in pieces. The answer may start again, see Progress.
class StreamSink
{
public:
  virtual ~StreamSink() = default;

  // Starts the answer, or continues a broken one after its last whole event. Returns false to
  // cancel the call.
  virtual boost::asio::awaitable<bool> OnHeader(boost::beast::http::response_header<> aHeader,
                                                const AnswerHead& aHead) = 0;
  virtual boost::asio::awaitable<SinkResult> OnBytes(std::string_view aBytes) = 0;

  // Whether the answer ended where it may: not inside an event.
  virtual bool EndsWhole() const = 0;

  virtual StreamProgress Progress() const = 0;
};

// Sends aRequest to the replica of aState and reads its answer until aDeadline. A successful answer
// goes to aSink if there is one. Closes the connection to the replica if the caller disconnects, so
// that the replica cancels the call. Never sends a call twice.
boost::asio::awaitable<ExchangeResult>
RunExchange(Context& aContext,
            CallerLink& aLink,
            ReplicaStatePtr aState,
            CallerRequest aRequest,
            const std::string& aAttempt,
            base::TimePoint aDeadline,
            StreamSink* aSink);

}
