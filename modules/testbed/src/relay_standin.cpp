#include "sycamore/testbed/relay_standin.h"

#include "sycamore/testbed/json.h"
#include "sycamore/testbed/reply.h"

#include <optional>
#include <string_view>
#include <utility>

namespace sycamore::testbed {

namespace json = boost::json;

static constexpr int kNotFound = 404;

RelayStandin::RelayStandin(std::shared_ptr<Relay> aRelay, std::vector<std::string> aNames)
  : mRelay(std::move(aRelay))
  , mNames(std::move(aNames))
{
}

void
RelayStandin::OnRequest(const http::Request& aRequest, base::TimePoint /*aNow*/)
{
  Send(ErrorReply(aRequest.mId, kNotFound, "unknown_route", "no such route"));
}

static std::optional<RelayMode>
ParseMode(std::string_view aName)
{
  if (aName == "forward") {
    return RelayMode::Forward;
  }
  if (aName == "hold") {
    return RelayMode::Hold;
  }
  if (aName == "refuse") {
    return RelayMode::Refuse;
  }
  return std::nullopt;
}

static base::Error
FieldError(std::string_view aField)
{
  return base::Error{ base::ErrorKind::InvalidField,
                      "unknown control key or value",
                      std::string(aField) };
}

std::vector<size_t>
RelayStandin::LinksNamed(const std::string& aName) const
{
  std::vector<size_t> links;
  for (size_t link = 0; link < mNames.size(); ++link) {
    if (aName.empty() || mNames[link] == aName) {
      links.push_back(link);
    }
  }
  return links;
}

base::Result<base::Unit>
RelayStandin::OnControl(const json::object& aControl, base::TimePoint /*aNow*/)
{
  for (const auto& field : aControl) {
    const std::string_view key = field.key();
    const bool known =
      key == "link" || key == "mode" || key == "drop_existing" || key == "delay_ms";
    if (!known || (key == "mode" && !ParseMode(TextField(aControl, key)))) {
      return FieldError(key);
    }
  }
  const std::vector<size_t> links = LinksNamed(TextField(aControl, "link"));
  if (links.empty()) {
    return FieldError("link");
  }
  for (const size_t link : links) {
    auto applied = Apply(link, aControl);
    if (!base::IsOk(applied)) {
      return applied;
    }
  }
  return base::Unit{};
}

base::Result<base::Unit>
RelayStandin::Apply(size_t aLink, const json::object& aControl)
{
  if (BoolField(aControl, "drop_existing")) {
    mRelay->DropExisting(aLink);
  }
  if (aControl.contains("delay_ms")) {
    mRelay->SetDelay(aLink, base::Millis(IntField(aControl, "delay_ms")));
  }
  const auto mode = ParseMode(TextField(aControl, "mode"));
  return mode ? mRelay->SetMode(aLink, *mode) : base::Result<base::Unit>(base::Unit{});
}

json::object
RelayStandin::Stats(base::TimePoint /*aNow*/) const
{
  json::object links;
  for (size_t link = 0; link < mNames.size(); ++link) {
    const RelayStats stats = mRelay->Stats(link);
    links[mNames[link]] = json::object{ { "accepted", stats.mAccepted },
                                        { "open", stats.mOpen },
                                        { "dropping", stats.mDropping },
                                        { "forwarded_bytes", stats.mForwardedBytes },
                                        { "dropped_bytes", stats.mDroppedBytes } };
  }
  return json::object{ { "links", std::move(links) } };
}

void
RelayStandin::ResetStats(base::TimePoint /*aNow*/)
{
}

}
