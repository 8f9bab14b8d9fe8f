#include "sycamore/testbed/store_standin.h"

#include "sycamore/platform/base64.h"
#include "sycamore/testbed/control_key.h"
#include "sycamore/testbed/json.h"
#include "sycamore/testbed/query.h"
#include "sycamore/testbed/reply.h"

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <string_view>

namespace sycamore::testbed {

namespace json = boost::json;

static constexpr int kOk = 200;
static constexpr int kNotFound = 404;
static constexpr int kGone = 410;
static constexpr int kUnavailable = 503;
static constexpr size_t kLengthBytes = 4;
static constexpr uint64_t kDefaultMaxKilobytes = 1024;

static std::string
BigEndian32(size_t aValue)
{
  std::string bytes(kLengthBytes, '\0');
  boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(bytes.data()),
                               static_cast<uint32_t>(aValue));
  return bytes;
}

static std::string
BigEndian64(uint64_t aValue)
{
  std::string bytes(sizeof aValue, '\0');
  boost::endian::store_big_u64(reinterpret_cast<unsigned char*>(bytes.data()), aValue);
  return bytes;
}

void
StoreStandin::Answer(http::ResponsePart aPart)
{
  if (!mMute) {
    Send(std::move(aPart));
  }
}

void
StoreStandin::OnRequest(const http::Request& aRequest, base::TimePoint aNow)
{
  if (mDown) {
    ++mRefused;
    Answer(ErrorReply(aRequest.mId, kUnavailable, "down", "the store is down"));
    return;
  }
  const std::string topic(QueryText(aRequest.mQuery, "topic"));
  if (aRequest.mPath == "/sycamorelever/log-append") {
    Append(aRequest, topic, aNow);
  } else if (aRequest.mPath == "/sycamorelever/log-read") {
    Read(aRequest, topic, aNow);
  } else if (aRequest.mPath == "/sycamorelever/log-newest") {
    Newest(aRequest, topic);
  } else {
    Answer(ErrorReply(aRequest.mId, kNotFound, "unknown_route", "no such call"));
  }
}

void
StoreStandin::Append(const http::Request& aRequest, const std::string& aTopic, base::TimePoint aNow)
{
  LogStream& topic = mTopics[aTopic];
  const uint64_t offset = topic.Next();
  std::string_view body = aRequest.mBody;
  while (body.size() >= kLengthBytes) {
    const size_t length =
      boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(body.data()));
    topic.Append(body.substr(kLengthBytes, length), aNow);
    body.remove_prefix(std::min(body.size(), kLengthBytes + length));
  }
  ++mAppends;
  Answer(
    JsonReply(aRequest.mId, kOk, json::object{ { "offset", offset }, { "end", topic.Next() } }));
  WakeReaders(aNow);
}

void
StoreStandin::Read(const http::Request& aRequest, const std::string& aTopic, base::TimePoint aNow)
{
  ++mReads;
  const uint64_t from = QueryUint(aRequest.mQuery, "from", 0);
  const base::Millis wait(QueryUint(aRequest.mQuery, "wait_ms", 0));
  if (from >= mTopics[aTopic].Next() && wait.count() > 0) {
    mWaiting.push_back({ aRequest.mId, aTopic, from, aNow + wait });
    return;
  }
  AnswerRead(aRequest.mId, aTopic, from);
}

void
StoreStandin::AnswerRead(uint64_t aRequest, const std::string& aTopic, uint64_t aFrom)
{
  const LogStream& topic = mTopics[aTopic];
  if (aFrom < topic.First()) {
    Answer(JsonReply(aRequest, kGone, json::object{ { "first", topic.First() } }));
    return;
  }
  http::ResponsePart part;
  part.mRequest = aRequest;
  part.mContentType = "application/octet-stream";
  part.mBody = BigEndian64(topic.Next()) + BigEndian64(topic.First());
  for (uint64_t offset = aFrom; offset < topic.Next(); ++offset) {
    const std::string& data = topic.At(offset).mData;
    if (part.mBody.size() > kDefaultMaxKilobytes * 1024) {
      break;
    }
    part.mBody += BigEndian32(data.size()) + data;
  }
  Answer(std::move(part));
}

void
StoreStandin::Newest(const http::Request& aRequest, const std::string& aTopic)
{
  const LogStream& topic = mTopics[aTopic];
  std::map<std::string, std::pair<uint64_t, std::string>> newest;
  for (uint64_t offset = topic.First(); offset < topic.Next(); ++offset) {
    const std::string& data = topic.At(offset).mData;
    const size_t keyBytes = data.empty() ? 0 : static_cast<unsigned char>(data[0]);
    const std::string key = data.substr(1, keyBytes);
    const std::string value = data.substr(std::min(data.size(), 1 + keyBytes));
    if (value.empty()) {
      newest.erase(key);
    } else {
      newest[key] = { offset, value };
    }
  }
  json::array items;
  for (const auto& [key, record] : newest) {
    items.push_back(json::object{ { "key", key },
                                  { "value", platform::EncodeBase64(record.second) },
                                  { "offset", record.first } });
  }
  ++mReads;
  Answer(JsonReply(
    aRequest.mId,
    kOk,
    json::object{ { "items", std::move(items) }, { "more", false }, { "end", topic.Next() } }));
}

void
StoreStandin::WakeReaders(base::TimePoint aNow)
{
  std::vector<Waiting> due;
  std::erase_if(mWaiting, [&](const Waiting& aRead) {
    const bool ready = aNow >= aRead.mUntil || mTopics[aRead.mTopic].Next() > aRead.mFrom;
    if (ready) {
      due.push_back(aRead);
    }
    return ready;
  });
  for (const Waiting& read : due) {
    AnswerRead(read.mRequest, read.mTopic, read.mFrom);
  }
}

void
StoreStandin::OnClosed(uint64_t aRequest, base::TimePoint /*aNow*/)
{
  std::erase_if(mWaiting, [&](const Waiting& aRead) { return aRead.mRequest == aRequest; });
}

std::optional<base::TimePoint>
StoreStandin::NextTimer() const
{
  std::optional<base::TimePoint> next;
  for (const Waiting& read : mWaiting) {
    next = next ? std::min(*next, read.mUntil) : read.mUntil;
  }
  return next;
}

void
StoreStandin::OnTimer(base::TimePoint aNow)
{
  WakeReaders(aNow);
}

base::Result<base::Unit>
StoreStandin::OnControl(const json::object& aControl, base::TimePoint /*aNow*/)
{
  auto checked = CheckControl(aControl,
                              { { "down", ValueKind::Boolean },
                                { "mute", ValueKind::Boolean },
                                { "topic", ValueKind::Text },
                                { "drop_before", ValueKind::Number } });
  if (!base::IsOk(checked)) {
    return checked;
  }
  if (const json::value* down = aControl.if_contains("down")) {
    mDown = down->get_bool();
  }
  if (const json::value* mute = aControl.if_contains("mute")) {
    mMute = mute->get_bool();
  }
  if (aControl.contains("drop_before")) {
    mTopics[TextField(aControl, "topic")].Truncate(UintField(aControl, "drop_before"));
  }
  return base::Unit{};
}

json::object
StoreStandin::Stats(base::TimePoint /*aNow*/) const
{
  json::object topics;
  for (const auto& [name, topic] : mTopics) {
    topics[name] = topic.Next();
  }
  return json::object{ { "appends", mAppends },
                       { "reads", mReads },
                       { "refused", mRefused },
                       { "topics", std::move(topics) } };
}

void
StoreStandin::ResetStats(base::TimePoint /*aNow*/)
{
  mAppends = 0;
  mReads = 0;
  mRefused = 0;
}

}
