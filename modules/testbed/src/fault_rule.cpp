#include "sycamore/testbed/fault_rule.h"

#include "sycamore/testbed/json.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace sycamore::testbed {

namespace json = boost::json;

static constexpr int kUnavailable = 503;
static constexpr int kInternalError = 500;

static constexpr std::array<std::string_view, 10> kKeys{ "kind",       "method",   "path",
                                                         "contains",   "skip",     "count",
                                                         "for_ms",     "delay_ms", "status",
                                                         "after_parts" };

static base::Error
FieldError(std::string aMessage, std::string_view aField)
{
  return base::Error{ base::ErrorKind::InvalidField, std::move(aMessage), std::string(aField) };
}

static base::Millis
MillisField(const json::object& aObject, std::string_view aKey)
{
  return base::Millis(static_cast<int64_t>(UintField(aObject, aKey)));
}

static int
DefaultStatus(FaultKind aKind)
{
  return aKind == FaultKind::FailAfterRun ? kInternalError : kUnavailable;
}

base::Result<FaultRule>
ParseFaultRule(const json::value& aValue)
{
  const json::object* object = aValue.if_object();
  if (object == nullptr) {
    return FieldError("a fault is a JSON object", "faults");
  }
  for (const auto& field : *object) {
    if (std::find(kKeys.begin(), kKeys.end(), std::string_view(field.key())) == kKeys.end()) {
      return FieldError("a fault has no such key", field.key());
    }
  }
  const auto kind = ParseFaultKind(TextField(*object, "kind"));
  if (!kind) {
    return FieldError(fmt::format("unknown fault \"{}\"", TextField(*object, "kind")), "kind");
  }
  FaultRule rule;
  rule.mKind = *kind;
  rule.mMethod = TextField(*object, "method");
  rule.mPath = TextField(*object, "path");
  rule.mContains = TextField(*object, "contains");
  rule.mSkip = UintField(*object, "skip");
  rule.mCount = UintField(*object, "count");
  rule.mFor = MillisField(*object, "for_ms");
  rule.mDelay = MillisField(*object, "delay_ms");
  rule.mStatus = static_cast<int>(UintField(*object, "status", DefaultStatus(*kind)));
  rule.mAfterParts = UintField(*object, "after_parts");
  return rule;
}

}
