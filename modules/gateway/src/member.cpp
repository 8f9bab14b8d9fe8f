#include "member.h"

#include "sycamore/base/random.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

namespace sycamore::gateway {

namespace json = boost::json;

uint32_t
WriterHash(std::string_view aInstance)
{
  return std::max(static_cast<uint32_t>(base::StableHash(aInstance)), 1U);
}

std::string
EncodeMember(const Member& aMember)
{
  const json::object value{ { "peer", ToString(aMember.mPeer) },
                            { "domain", aMember.mDomain },
                            { "link_mbits", aMember.mLinkMbits } };
  return json::serialize(value);
}

static std::string
TextField(const json::object& aObject, const char* aName)
{
  const json::value* field = aObject.if_contains(aName);
  return field != nullptr && field->is_string() ? std::string(field->get_string()) : std::string();
}

std::optional<Member>
DecodeMember(std::string_view aInstance, std::string_view aValue)
{
  json::error_code error;
  const json::value root = json::parse({ aValue.data(), aValue.size() }, error);
  Member member;
  member.mInstance = aInstance;
  std::string address(aValue);
  if (!error && root.is_object()) {
    const json::object& object = root.get_object();
    address = TextField(object, "peer");
    member.mDomain = TextField(object, "domain");
    if (const json::value* link = object.if_contains("link_mbits"); link && link->is_number()) {
      member.mLinkMbits = link->to_number<uint32_t>(error);
    }
  }
  auto peer = http::ParseEndpoint(address);
  if (!base::IsOk(peer)) {
    return std::nullopt;
  }
  member.mPeer = base::TakeValue(std::move(peer));
  return member;
}

}
