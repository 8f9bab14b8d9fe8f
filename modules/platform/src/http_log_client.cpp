#include "sycamore/platform/http_log_client.h"

#include "sycamore/http/client.h"
#include "sycamore/platform/base64.h"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <optional>
#include <utility>

namespace sycamore::platform {

namespace json = boost::json;
using base::ErrorKind;

static constexpr int kCreated = 201;
static constexpr int kOk = 200;
static constexpr int kFirstServerError = 500;
static constexpr int kUnavailable = 503;

static base::Error
MakeError(ErrorKind aKind, std::string aMessage)
{
  return base::Error{ aKind, std::move(aMessage), "" };
}

// The error of an append that got no answer. Only a refused connection excludes an effect.
static base::Error
AppendError(const base::Error& aError)
{
  const bool excluded = aError.mKind == ErrorKind::TargetRefused;
  return MakeError(excluded ? ErrorKind::LogUnavailable : ErrorKind::Uncommitted, aError.mMessage);
}

// The error of an append answered with a status other than 201. The log answers 4xx and 503 before
// it appends; any other status leaves the effect open.
static base::Error
AppendStatusError(int aStatus)
{
  const bool excluded = aStatus == kUnavailable || aStatus < kFirstServerError;
  return MakeError(excluded ? ErrorKind::LogUnavailable : ErrorKind::Uncommitted,
                   fmt::format("the log answered an append with status {}", aStatus));
}

static std::optional<uint64_t>
UintField(const json::object& aObject, std::string_view aKey)
{
  const json::value* value = aObject.if_contains(aKey);
  if (value == nullptr || !value->is_number()) {
    return std::nullopt;
  }
  json::error_code error;
  const auto number = value->to_number<uint64_t>(error);
  return error ? std::nullopt : std::optional<uint64_t>(number);
}

static std::optional<json::object>
ParseObject(std::string_view aText)
{
  json::error_code error;
  json::value value = json::parse(aText, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.as_object());
}

static std::optional<LogRecordData>
ParseRecord(const json::value& aValue)
{
  const json::object* object = aValue.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  const json::value* data = object->if_contains("data");
  const auto offset = UintField(*object, "offset");
  if (!offset || data == nullptr || !data->is_string()) {
    return std::nullopt;
  }
  auto decoded = DecodeBase64(data->get_string());
  if (!decoded) {
    return std::nullopt;
  }
  return LogRecordData{ *offset, std::move(*decoded) };
}

static std::optional<LogPage>
ParsePage(std::string_view aText)
{
  const auto object = ParseObject(aText);
  if (!object) {
    return std::nullopt;
  }
  const auto first = UintField(*object, "first");
  const auto next = UintField(*object, "next");
  const json::value* records = object->if_contains("records");
  if (!first || !next || records == nullptr || !records->is_array()) {
    return std::nullopt;
  }
  LogPage page{ *first, *next, {} };
  for (const json::value& value : records->get_array()) {
    auto record = ParseRecord(value);
    if (!record) {
      return std::nullopt;
    }
    page.mRecords.push_back(std::move(*record));
  }
  return page;
}

namespace {

class HttpLogClient : public LogClient
{
public:
  HttpLogClient(const http::Endpoint& aEndpoint, base::Millis aTimeout)
    : mClient(aEndpoint, aTimeout)
  {
  }

  base::Result<uint64_t> Append(const std::string& aStream, std::string_view aData) override
  {
    http::ClientRequest request;
    request.mMethod = "POST";
    request.mTarget = "/streams/" + aStream;
    request.mContentType = "application/octet-stream";
    request.mBody = aData;
    const auto response = mClient.Perform(request);
    if (!base::IsOk(response)) {
      return AppendError(base::ErrorOf(response));
    }
    return ParseAppend(base::ValueOf(response));
  }

  base::Result<LogPage> Read(const std::string& aStream,
                             uint64_t aFrom,
                             size_t aMaxRecords,
                             size_t aMaxBytes) override
  {
    return ReadPage(fmt::format(
      "/streams/{}?from={}&max_records={}&max_bytes={}", aStream, aFrom, aMaxRecords, aMaxBytes));
  }

  base::Result<LogPage> ReadLast(const std::string& aStream) override
  {
    return ReadPage(fmt::format("/streams/{}?last=1", aStream));
  }

private:
  static base::Result<uint64_t> ParseAppend(const http::ClientResponse& aResponse)
  {
    if (aResponse.mStatus != kCreated) {
      return AppendStatusError(aResponse.mStatus);
    }
    const auto object = ParseObject(aResponse.mBody);
    const auto offset = object ? UintField(*object, "offset") : std::nullopt;
    if (!offset) {
      return MakeError(ErrorKind::Uncommitted, "the log answered an append without an offset");
    }
    return *offset;
  }

  base::Result<LogPage> ReadPage(std::string aTarget)
  {
    http::ClientRequest request;
    request.mTarget = std::move(aTarget);
    const auto response = mClient.Perform(request);
    if (!base::IsOk(response)) {
      return MakeError(ErrorKind::LogUnavailable, base::ErrorOf(response).mMessage);
    }
    if (base::ValueOf(response).mStatus != kOk) {
      return MakeError(
        ErrorKind::LogUnavailable,
        fmt::format("the log answered a read with status {}", base::ValueOf(response).mStatus));
    }
    auto page = ParsePage(base::ValueOf(response).mBody);
    if (!page) {
      return MakeError(ErrorKind::LogUnavailable, "the log answered a read with a malformed page");
    }
    return std::move(*page);
  }

  http::Client mClient;
};

}

std::unique_ptr<LogClient>
MakeHttpLogClient(const http::Endpoint& aEndpoint, base::Millis aTimeout)
{
  return std::make_unique<HttpLogClient>(aEndpoint, aTimeout);
}

}
