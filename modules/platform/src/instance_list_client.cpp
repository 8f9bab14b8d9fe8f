#include "sycamore/platform/instance_list_client.h"

#include "sycamore/http/client.h"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <optional>
#include <utility>

namespace sycamore::platform {

namespace json = boost::json;

static constexpr int kOk = 200;

static base::Error
ListError(std::string aMessage)
{
  return base::Error{ base::ErrorKind::TargetFailed, std::move(aMessage), "" };
}

static std::string
TextField(const json::object& aObject, std::string_view aKey)
{
  const json::value* value = aObject.if_contains(aKey);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

static std::optional<world::InstanceState>
ParseState(std::string_view aText)
{
  if (aText == "live") {
    return world::InstanceState::Live;
  }
  if (aText == "leaving") {
    return world::InstanceState::Leaving;
  }
  return std::nullopt;
}

static std::optional<world::Instance>
ParseInstance(const json::value& aValue)
{
  const json::object* object = aValue.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  world::Instance instance;
  instance.mName = TextField(*object, "name");
  instance.mRole = TextField(*object, "role");
  instance.mRegion = TextField(*object, "region");
  instance.mDomain = TextField(*object, "domain");
  instance.mAddress = TextField(*object, "address");
  const auto state = ParseState(TextField(*object, "state"));
  if (instance.mName.empty() || instance.mRole.empty() || instance.mAddress.empty() || !state) {
    return std::nullopt;
  }
  instance.mState = *state;
  return instance;
}

static base::Result<std::vector<world::Instance>>
ParseList(std::string_view aText)
{
  json::error_code error;
  const json::value value = json::parse(aText, error);
  const json::object* object = error ? nullptr : value.if_object();
  const json::value* rows = object == nullptr ? nullptr : object->if_contains("instances");
  if (rows == nullptr || !rows->is_array()) {
    return ListError("the instance list answered without an array of instances");
  }
  std::vector<world::Instance> instances;
  for (const json::value& row : rows->get_array()) {
    if (auto instance = ParseInstance(row)) {
      instances.push_back(std::move(*instance));
    }
  }
  return instances;
}

namespace {

class HttpInstanceListClient : public InstanceListClient
{
public:
  HttpInstanceListClient(const http::Endpoint& aEndpoint, base::Millis aTimeout)
    : mClient(aEndpoint, aTimeout)
  {
  }

  base::Result<std::vector<world::Instance>> Read() override
  {
    http::ClientRequest request;
    request.mTarget = "/instances";
    const auto response = mClient.Perform(request);
    if (!base::IsOk(response)) {
      return base::ErrorOf(response);
    }
    if (base::ValueOf(response).mStatus != kOk) {
      return ListError(
        fmt::format("the instance list answered status {}", base::ValueOf(response).mStatus));
    }
    return ParseList(base::ValueOf(response).mBody);
  }

private:
  http::Client mClient;
};

}

std::unique_ptr<InstanceListClient>
MakeHttpInstanceListClient(const http::Endpoint& aEndpoint, base::Millis aTimeout)
{
  return std::make_unique<HttpInstanceListClient>(aEndpoint, aTimeout);
}

}
