#include "sycamore/testbed/log_standin.h"

#include "sycamore/platform/base64.h"
#include "sycamore/testbed/json.h"
#include "sycamore/testbed/query.h"
#include "sycamore/testbed/reply.h"

#include <algorithm>
#include <string_view>

namespace sycamore::testbed {

namespace json = boost::json;

static constexpr std::string_view kPrefix = "/streams/";
static constexpr int kOk = 200;
static constexpr int kCreated = 201;
static constexpr int kNotFound = 404;
static constexpr int kTooManyRequests = 429;
static constexpr uint64_t kDefaultMaxRecords = 1000;
static constexpr uint64_t kDefaultMaxBytes = uint64_t{ 4 } << 20;

// Share of the rate per second that may be appended at once.
static constexpr double kBurstSeconds = 0.25;

LogStandin::LogStandin(const LogSettings& aSettings)
  : mSettings(aSettings)
  , mLimit(aSettings.mAppendsPerSecond, aSettings.mAppendsPerSecond * kBurstSeconds)
{
}

void
LogStandin::OnRequest(const http::Request& aRequest, base::TimePoint aNow)
{
  const std::string_view path = aRequest.mPath;
  if (!path.starts_with(kPrefix) || path.size() == kPrefix.size()) {
    Send(ErrorReply(aRequest.mId, kNotFound, "unknown_route", "no such route"));
    return;
  }
  const std::string stream(path.substr(kPrefix.size()));
  if (aRequest.mMethod == "POST") {
    Append(aRequest, stream, aNow);
    return;
  }
  Read(aRequest, stream, aNow);
}

void
LogStandin::Append(const http::Request& aRequest, const std::string& aStream, base::TimePoint aNow)
{
  if (!mLimit.TryTake(aNow)) {
    ++mLimited;
    Send(ErrorReply(aRequest.mId, kTooManyRequests, "rate_limited", "append rate exceeded"));
    return;
  }
  LogStream& stream = mStreams[aStream];
  const uint64_t offset = stream.Append(aRequest.mBody, aNow);
  stream.Retain(mSettings, aNow);
  ++mAppends;
  mAppendedBytes += aRequest.mBody.size();
  Send(JsonReply(aRequest.mId, kCreated, json::object{ { "offset", offset } }));
}

// The first offset that a read returns.
static uint64_t
StartOf(const LogStream& aStream, std::string_view aQuery)
{
  if (QueryText(aQuery, "last") == "1") {
    return aStream.Next() > aStream.First() ? aStream.Next() - 1 : aStream.Next();
  }
  return std::max(aStream.First(), QueryUint(aQuery, "from", 0));
}

void
LogStandin::Read(const http::Request& aRequest, const std::string& aStream, base::TimePoint aNow)
{
  const auto found = mStreams.find(aStream);
  LogStream empty;
  LogStream& stream = found == mStreams.end() ? empty : found->second;
  stream.Retain(mSettings, aNow);
  const uint64_t maxRecords = QueryUint(aRequest.mQuery, "max_records", kDefaultMaxRecords);
  const uint64_t maxBytes = QueryUint(aRequest.mQuery, "max_bytes", kDefaultMaxBytes);
  json::array records;
  uint64_t bytes = 0;
  for (uint64_t offset = StartOf(stream, aRequest.mQuery); offset < stream.Next(); ++offset) {
    const std::string& data = stream.At(offset).mData;
    // At least one record is returned, so that a reader with a small limit advances.
    const bool fits = records.empty() || bytes + data.size() <= maxBytes;
    if (records.size() >= maxRecords || !fits) {
      break;
    }
    bytes += data.size();
    records.push_back(
      json::object{ { "offset", offset }, { "data", platform::EncodeBase64(data) } });
  }
  ++mReads;
  mReadBytes += bytes;
  Send(JsonReply(aRequest.mId,
                 kOk,
                 json::object{ { "first", stream.First() },
                               { "next", stream.Next() },
                               { "records", std::move(records) } }));
}

base::Result<base::Unit>
LogStandin::OnControl(const json::object& aControl, base::TimePoint aNow)
{
  LogSettings settings = mSettings;
  const json::object* truncate = nullptr;
  for (const auto& field : aControl) {
    const std::string_view key = field.key();
    if (key == "appends_per_second") {
      settings.mAppendsPerSecond = DoubleField(aControl, key);
    } else if (key == "retain_records") {
      settings.mRetainRecords = UintField(aControl, key);
    } else if (key == "retain_bytes") {
      settings.mRetainBytes = UintField(aControl, key);
    } else if (key == "retain_age_ms") {
      settings.mRetainAge = base::Millis(IntField(aControl, key));
    } else if (key == "truncate" && field.value().is_object()) {
      truncate = &field.value().get_object();
    } else {
      return base::Error{ base::ErrorKind::InvalidField, "unknown control key", std::string(key) };
    }
  }
  mSettings = settings;
  mLimit.SetRate(settings.mAppendsPerSecond, settings.mAppendsPerSecond * kBurstSeconds);
  for (auto& [name, stream] : mStreams) {
    stream.Retain(mSettings, aNow);
  }
  if (truncate != nullptr) {
    const auto found = mStreams.find(TextField(*truncate, "stream"));
    if (found != mStreams.end()) {
      found->second.Truncate(UintField(*truncate, "before"));
    }
  }
  return base::Unit{};
}

json::object
LogStandin::Stats(base::TimePoint /*aNow*/) const
{
  json::object streams;
  for (const auto& [name, stream] : mStreams) {
    streams[name] = json::object{ { "first", stream.First() },
                                  { "next", stream.Next() },
                                  { "bytes", stream.Bytes() } };
  }
  return json::object{ { "appends", mAppends },      { "appended_bytes", mAppendedBytes },
                       { "reads", mReads },          { "read_bytes", mReadBytes },
                       { "rate_limited", mLimited }, { "streams", std::move(streams) } };
}

void
LogStandin::ResetStats(base::TimePoint /*aNow*/)
{
  mAppends = 0;
  mAppendedBytes = 0;
  mReads = 0;
  mReadBytes = 0;
  mLimited = 0;
}

}
