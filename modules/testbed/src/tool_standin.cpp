#include "sycamore/testbed/tool_standin.h"

#include "sycamore/base/random.h"
#include "sycamore/testbed/json.h"
#include "sycamore/testbed/reply.h"

#include <algorithm>
#include <fmt/format.h>
#include <string_view>
#include <utility>

namespace sycamore::testbed {

namespace json = boost::json;

static constexpr std::string_view kPrefix = "/tools/";
static constexpr int kOk = 200;
static constexpr int kBadRequest = 400;
static constexpr int kNotFound = 404;

ToolStandin::ToolStandin(base::Millis aDelay)
  : mDelay(aDelay)
{
}

void
ToolStandin::OnRequest(const http::Request& aRequest, base::TimePoint aNow)
{
  const bool isTool = aRequest.mMethod == "POST" && aRequest.mPath.starts_with(kPrefix);
  if (!isTool || aRequest.mPath.size() == kPrefix.size()) {
    Send(ErrorReply(aRequest.mId, kNotFound, "unknown_route", "no such route"));
    return;
  }
  const auto body = ParseObject(aRequest.mBody);
  if (!base::IsOk(body)) {
    Send(ErrorReply(aRequest.mId, kBadRequest, "malformed_body", "the body is no JSON object"));
    return;
  }
  Run(aRequest, base::ValueOf(body), aNow);
}

// A text field of the body, or of its "arguments" if the body has none.
static std::string
FieldOfBody(const json::object& aBody, std::string_view aKey)
{
  const std::string own = TextField(aBody, aKey);
  const json::value* arguments = aBody.if_contains("arguments");
  if (!own.empty() || arguments == nullptr || !arguments->is_object()) {
    return own;
  }
  return TextField(arguments->get_object(), aKey);
}

void
ToolStandin::Run(const http::Request& aRequest, const json::object& aBody, base::TimePoint aNow)
{
  const std::string tool = aRequest.mPath.substr(kPrefix.size());
  const std::string program = FieldOfBody(aBody, "program");
  const std::string key = FieldOfBody(aBody, "key");
  ++mRuns;
  ++mTools[tool];
  if (!program.empty()) {
    ++mPrograms[program];
  }
  uint64_t& count = key.empty() ? mBodies[fmt::format("{:016x}", base::StableHash(aRequest.mBody))]
                                : mKeys[program.empty() ? key : program + "/" + key];
  ++count;
  auto reply = JsonReply(
    aRequest.mId, kOk, json::object{ { "tool", tool }, { "echo", aBody }, { "run", count } });
  if (mDelay > base::Millis(0)) {
    mDue.emplace(aNow + mDelay, std::move(reply));
    return;
  }
  Send(std::move(reply));
}

base::Result<base::Unit>
ToolStandin::OnControl(const json::object& aControl, base::TimePoint /*aNow*/)
{
  for (const auto& field : aControl) {
    if (field.key() != "delay_ms") {
      return base::Error{ base::ErrorKind::InvalidField,
                          "unknown control key",
                          std::string(field.key()) };
    }
  }
  mDelay = base::Millis(IntField(aControl, "delay_ms"));
  return base::Unit{};
}

std::optional<base::TimePoint>
ToolStandin::NextTimer() const
{
  return mDue.empty() ? std::nullopt : std::optional<base::TimePoint>(mDue.begin()->first);
}

void
ToolStandin::OnTimer(base::TimePoint aNow)
{
  while (!mDue.empty() && mDue.begin()->first <= aNow) {
    http::ResponsePart reply = std::move(mDue.begin()->second);
    mDue.erase(mDue.begin());
    Send(std::move(reply));
  }
}

static json::object
CountsObject(const std::map<std::string, uint64_t>& aCounts)
{
  json::object object;
  for (const auto& [name, count] : aCounts) {
    object[name] = count;
  }
  return object;
}

static uint64_t
Largest(const std::map<std::string, uint64_t>& aCounts)
{
  uint64_t largest = 0;
  for (const auto& [name, count] : aCounts) {
    largest = std::max(largest, count);
  }
  return largest;
}

json::object
ToolStandin::Stats(base::TimePoint /*aNow*/) const
{
  return json::object{ { "runs", mRuns },
                       { "running", mDue.size() },
                       { "max_runs_per_key", Largest(mKeys) },
                       { "keys", CountsObject(mKeys) },
                       { "bodies", CountsObject(mBodies) },
                       { "programs", CountsObject(mPrograms) },
                       { "tools", CountsObject(mTools) } };
}

void
ToolStandin::ResetStats(base::TimePoint /*aNow*/)
{
  mRuns = 0;
  mKeys.clear();
  mBodies.clear();
  mPrograms.clear();
  mTools.clear();
}

}
