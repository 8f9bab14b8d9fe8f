#include "sycamore/testbed/instances_standin.h"

#include "sycamore/testbed/json.h"
#include "sycamore/testbed/reply.h"

#include <string>
#include <string_view>

namespace sycamore::testbed {

namespace json = boost::json;

static constexpr int kOk = 200;
static constexpr int kNotFound = 404;

InstancesStandin::InstancesStandin(json::array aInstances, base::Millis aLag)
  : mVisible(std::move(aInstances))
  , mLatest(mVisible)
  , mLag(aLag)
{
}

void
InstancesStandin::OnRequest(const http::Request& aRequest, base::TimePoint aNow)
{
  if (aRequest.mPath != "/instances") {
    Send(ErrorReply(aRequest.mId, kNotFound, "unknown_route", "no such route"));
    return;
  }
  ShowDue(aNow);
  ++mReads;
  Send(JsonReply(aRequest.mId, kOk, json::object{ { "instances", mVisible } }));
}

static json::object*
FindRow(json::array& aRows, const std::string& aName)
{
  for (json::value& row : aRows) {
    json::object* object = row.if_object();
    if (object != nullptr && TextField(*object, "name") == aName) {
      return object;
    }
  }
  return nullptr;
}

// Sets the given fields of the row with the same name, or adds the row.
static void
SetRow(json::array& aRows, const json::object& aFields)
{
  json::object* row = FindRow(aRows, TextField(aFields, "name"));
  if (row == nullptr) {
    aRows.push_back(aFields);
    return;
  }
  for (const auto& field : aFields) {
    (*row)[field.key()] = field.value();
  }
}

static void
RemoveRow(json::array& aRows, const std::string& aName)
{
  json::array rest;
  for (const json::value& row : aRows) {
    const json::object* object = row.if_object();
    if (object == nullptr || TextField(*object, "name") != aName) {
      rest.push_back(row);
    }
  }
  aRows = std::move(rest);
}

base::Result<base::Unit>
InstancesStandin::OnControl(const json::object& aControl, base::TimePoint aNow)
{
  json::array latest = mLatest;
  base::Millis lag = mLag;
  for (const auto& field : aControl) {
    const std::string_view key = field.key();
    if (key == "instances" && field.value().is_array()) {
      latest = field.value().get_array();
    } else if (key == "set" && field.value().is_object()) {
      SetRow(latest, field.value().get_object());
    } else if (key == "remove" && field.value().is_string()) {
      RemoveRow(latest, TextField(aControl, key));
    } else if (key == "lag_ms") {
      lag = base::Millis(IntField(aControl, key));
    } else {
      return base::Error{ base::ErrorKind::InvalidField, "unknown control key", std::string(key) };
    }
  }
  mLag = lag;
  mLatest = latest;
  mPending.emplace_back(aNow + mLag, std::move(latest));
  return base::Unit{};
}

void
InstancesStandin::ShowDue(base::TimePoint aNow)
{
  while (!mPending.empty() && mPending.front().first <= aNow) {
    mVisible = std::move(mPending.front().second);
    mPending.pop_front();
  }
}

json::object
InstancesStandin::Stats(base::TimePoint /*aNow*/) const
{
  return json::object{ { "reads", mReads }, { "pending_changes", mPending.size() } };
}

void
InstancesStandin::ResetStats(base::TimePoint /*aNow*/)
{
  mReads = 0;
}

}
