#pragma once

#include "sycamore/base/error.h"
#include "sycamore/http/endpoint.h"

#include <boost/json.hpp>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sycamore::settings {

enum class Presence : uint8_t
{
  Required,
  Optional,
};

enum class PortZero : uint8_t
{
  Refused,
  Allowed, // The system chooses a free port.
};

// Reads the members of one JSON object and collects every fault with its path. A member that is
// absent or faulty leaves its destination unchanged.
class ObjectReader
{
public:
  // aPath is the JSON pointer of aObject. aObject and aFaults must outlive the reader.
  ObjectReader(const boost::json::object& aObject,
               std::string aPath,
               std::vector<base::Error>& aFaults);

  // A non-empty name of letters, digits, '.', '_' and '-', at most 64 characters long.
  void Name(std::string_view aKey, Presence aPresence, std::string& aOut);

  // One of aChoices. Returns its index, or nothing if absent or faulty.
  std::optional<size_t> Choice(std::string_view aKey,
                               Presence aPresence,
                               const std::vector<std::string_view>& aChoices);

  // An object whose members are all names, e.g. the region of each domain.
  void Names(std::string_view aKey, std::map<std::string, std::string>& aOut);
  void Boolean(std::string_view aKey, bool& aOut);

  void Real(std::string_view aKey, double aMin, double aMax, double& aOut);

  template<std::integral T>
  void Integer(std::string_view aKey, T aMin, T aMax, T& aOut)
  {
    const auto value = IntegerInRange(
      aKey, Presence::Optional, static_cast<int64_t>(aMin), static_cast<int64_t>(aMax));
    if (value) {
      aOut = static_cast<T>(*value);
    }
  }

  template<typename Rep, typename Period>
  void Duration(std::string_view aKey,
                std::type_identity_t<std::chrono::duration<Rep, Period>> aMin,
                std::type_identity_t<std::chrono::duration<Rep, Period>> aMax,
                std::chrono::duration<Rep, Period>& aOut,
                Presence aPresence = Presence::Optional)
  {
    const auto value = IntegerInRange(aKey, aPresence, aMin.count(), aMax.count());
    if (value) {
      aOut = std::chrono::duration<Rep, Period>(*value);
    }
  }

  void Endpoint(std::string_view aKey,
                Presence aPresence,
                PortZero aPortZero,
                http::Endpoint& aOut);
  void Endpoint(std::string_view aKey, Presence aPresence, std::optional<http::Endpoint>& aOut);

  // The objects of an array; elements that are no objects are faults and are left out.
  std::vector<ObjectReader> Objects(std::string_view aKey);

  // Reports the members that were not read as unknown.
  void RefuseUnknown();

  // Reports a fault of the member aKey.
  void Fault(std::string_view aKey, std::string aMessage);

private:
  const boost::json::value* Find(std::string_view aKey, Presence aPresence);
  const boost::json::string* FindString(std::string_view aKey, Presence aPresence);
  std::optional<int64_t> IntegerInRange(std::string_view aKey,
                                        Presence aPresence,
                                        int64_t aMin,
                                        int64_t aMax);

  const boost::json::object* mObject;
  std::string mPath;
  std::vector<base::Error>* mFaults;
  std::set<std::string, std::less<>> mRead;
};

}
