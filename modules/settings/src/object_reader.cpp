#include "object_reader.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace sycamore::settings {

static constexpr size_t kMaxNameLength = 64;

ObjectReader::ObjectReader(const boost::json::object& aObject,
                           std::string aPath,
                           std::vector<base::Error>& aFaults)
  : mObject(&aObject)
  , mPath(std::move(aPath))
  , mFaults(&aFaults)
{
}

void
ObjectReader::Fault(std::string_view aKey, std::string aMessage)
{
  mFaults->push_back(
    { base::ErrorKind::InvalidSettings, std::move(aMessage), fmt::format("{}/{}", mPath, aKey) });
}

const boost::json::value*
ObjectReader::Find(std::string_view aKey, Presence aPresence)
{
  mRead.emplace(aKey);
  const boost::json::value* value = mObject->if_contains(aKey);
  if (value == nullptr && aPresence == Presence::Required) {
    Fault(aKey, "is missing; it is required here");
  }
  return value;
}

const boost::json::string*
ObjectReader::FindString(std::string_view aKey, Presence aPresence)
{
  const boost::json::value* value = Find(aKey, aPresence);
  if (value == nullptr) {
    return nullptr;
  }
  if (!value->is_string()) {
    Fault(aKey, "must be a string");
    return nullptr;
  }
  return &value->get_string();
}

static bool
IsNameCharacter(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') || (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '.' || aCharacter == '_' ||
         aCharacter == '-';
}

void
ObjectReader::Name(std::string_view aKey, Presence aPresence, std::string& aOut)
{
  const boost::json::string* text = FindString(aKey, aPresence);
  if (text == nullptr) {
    return;
  }
  if (text->empty() || text->size() > kMaxNameLength ||
      !std::all_of(text->begin(), text->end(), IsNameCharacter)) {
    Fault(aKey, fmt::format("must be 1 to {} letters, digits, '.', '_' or '-'", kMaxNameLength));
    return;
  }
  aOut = std::string(*text);
}

void
ObjectReader::Names(std::string_view aKey, std::map<std::string, std::string>& aOut)
{
  const boost::json::value* value = Find(aKey, Presence::Optional);
  if (value == nullptr) {
    return;
  }
  if (!value->is_object()) {
    Fault(aKey, "must be an object");
    return;
  }
  for (const auto& [name, text] : value->get_object()) {
    if (!text.is_string()) {
      Fault(fmt::format("{}/{}", aKey, std::string_view(name)), "must be a string");
    } else {
      aOut[std::string(name)] = std::string(text.get_string());
    }
  }
}

std::optional<size_t>
ObjectReader::Choice(std::string_view aKey,
                     Presence aPresence,
                     const std::vector<std::string_view>& aChoices)
{
  const boost::json::string* text = FindString(aKey, aPresence);
  if (text == nullptr) {
    return std::nullopt;
  }
  const auto found = std::find(aChoices.begin(), aChoices.end(), std::string_view(*text));
  if (found == aChoices.end()) {
    Fault(aKey, fmt::format("must be one of \"{}\"", fmt::join(aChoices, "\", \"")));
    return std::nullopt;
  }
  return static_cast<size_t>(found - aChoices.begin());
}

void
ObjectReader::Boolean(std::string_view aKey, bool& aOut)
{
  const boost::json::value* value = Find(aKey, Presence::Optional);
  if (value == nullptr) {
    return;
  }
  if (!value->is_bool()) {
    Fault(aKey, "must be true or false");
    return;
  }
  aOut = value->get_bool();
}

void
ObjectReader::Real(std::string_view aKey, double aMin, double aMax, double& aOut)
{
  const boost::json::value* value = Find(aKey, Presence::Optional);
  if (value == nullptr) {
    return;
  }
  const double number = value->is_number() ? value->to_number<double>() : aMin - 1;
  if (!(number >= aMin && number <= aMax)) {
    Fault(aKey, fmt::format("must be a number from {} to {}", aMin, aMax));
    return;
  }
  aOut = number;
}

std::optional<int64_t>
ObjectReader::IntegerInRange(std::string_view aKey, Presence aPresence, int64_t aMin, int64_t aMax)
{
  const boost::json::value* value = Find(aKey, aPresence);
  if (value == nullptr) {
    return std::nullopt;
  }
  const int64_t* number = value->if_int64();
  if (number == nullptr || *number < aMin || *number > aMax) {
    Fault(aKey, fmt::format("must be a whole number from {} to {}", aMin, aMax));
    return std::nullopt;
  }
  return *number;
}

void
ObjectReader::Endpoint(std::string_view aKey,
                       Presence aPresence,
                       PortZero aPortZero,
                       http::Endpoint& aOut)
{
  const boost::json::string* text = FindString(aKey, aPresence);
  if (text == nullptr) {
    return;
  }
  auto parsed = http::ParseEndpoint(std::string_view(*text));
  if (!base::IsOk(parsed)) {
    Fault(aKey, "must be an IP address with a port, such as \"127.0.0.1:8080\"");
    return;
  }
  if (base::ValueOf(parsed).mPort == 0 && aPortZero == PortZero::Refused) {
    Fault(aKey, "must have a port from 1 to 65535");
    return;
  }
  aOut = base::TakeValue(std::move(parsed));
}

void
ObjectReader::Endpoint(std::string_view aKey,
                       Presence aPresence,
                       std::optional<http::Endpoint>& aOut)
{
  http::Endpoint endpoint;
  Endpoint(aKey, aPresence, PortZero::Refused, endpoint);
  if (endpoint.mPort != 0) {
    aOut = endpoint;
  }
}

std::vector<ObjectReader>
ObjectReader::Objects(std::string_view aKey)
{
  std::vector<ObjectReader> readers;
  const boost::json::value* value = Find(aKey, Presence::Optional);
  if (value == nullptr) {
    return readers;
  }
  if (!value->is_array()) {
    Fault(aKey, "must be an array of objects");
    return readers;
  }
  size_t index = 0;
  for (const boost::json::value& element : value->get_array()) {
    const std::string key = fmt::format("{}/{}", aKey, index);
    ++index;
    if (!element.is_object()) {
      Fault(key, "must be an object");
      continue;
    }
    readers.emplace_back(element.get_object(), fmt::format("{}/{}", mPath, key), *mFaults);
  }
  return readers;
}

void
ObjectReader::RefuseUnknown()
{
  for (const auto& member : *mObject) {
    if (!mRead.contains(std::string_view(member.key()))) {
      Fault(member.key(), "is not a known key; docs/settings.md lists all keys");
    }
  }
}

}
