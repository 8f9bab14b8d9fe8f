#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/gateway/call_head.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sycamore::gateway {

// Where a broken stream is continued.
struct ResumePoint
{
  uint64_t mLastEvent = 0;                // Id of the last whole event that was received.
  std::optional<uint64_t> mWeightVersion; // Of the model that generated it, if known.
};

// Metadata that the gateway adds to a call sent to a replica.
struct ReplicaCall
{
  std::string mReplica; // The only replica that may run it.
  base::Millis mTimeLeft{ 0 };
  std::optional<uint32_t> mPriority; // 0 is the most urgent of 10.
  // Nothing: the stream starts where the caller asked.
  std::optional<ResumePoint> mResume = std::nullopt;
  std::string_view mAccount = {}; // Name of the client account; empty on a public route.
};

// Load that a replica reported with an answer.
struct ReportedLoad
{
  uint32_t mRunning = 0;
  uint32_t mWaiting = 0;
  uint32_t mSlots = 0;
};

// Metadata from the headers of a replica's answer.
struct AnswerHead
{
  std::string mAttempt;  // Attempt that the answer belongs to; empty if absent.
  bool mSigned = false;  // Carries the replica's signature.
  bool mNotRun = false;  // States that the replica did not run the request.
  bool mEncoded = false; // The body has a content encoding.
  // An identifying header occurs twice: an answer was cut off and another one follows in its
  // header.
  bool mAmbiguous = false;
  // The replica that sent the answer leaves; it takes no new calls.
  bool mLeaving = false;
  std::optional<uint64_t> mWeightVersion; // Of the model that generates the answer.
  // Requests a second that the replica takes from all gateways together; nothing if it names no
  // limit. Not negative.
  std::optional<double> mRequestLimit;
  bool mRequestLimitInvalid = false; // It names a limit that is not a number.
  std::optional<ReportedLoad> mLoad;
  std::optional<base::Millis> mIdleTimeout; // After which the replica closes the connection.
};

// Encodes and decodes the HTTP headers exchanged with callers and replicas. Implemented by the
// platform's adapter.
class HeaderCodec
{
public:
  using Fields = boost::beast::http::fields;

  virtual ~HeaderCodec() = default;

  virtual CallHead DecodeCall(const Fields& aFields) const = 0;

  // Removes the API key from aFields and returns it; nothing if there is none, or more than one.
  virtual std::optional<std::string> TakeApiKey(Fields& aFields) const = 0;

  // Removes the headers that callers may not set from aFields, and adds those of aCall.
  virtual void PrepareForReplica(Fields& aFields, const ReplicaCall& aCall) const = 0;

  virtual AnswerHead DecodeAnswer(const boost::beast::http::response_header<>& aHeader) const = 0;

  // The version of the model's weights that aLine of an event announces, if it does.
  virtual std::optional<uint64_t> DecodeWeightVersion(std::string_view aLine) const = 0;

  // Path of the load balancer's readiness check.
  virtual std::string_view ReadinessPath() const = 0;
};

}
