#include "sycamore/testbed/fault_rule.h"

#include "sycamore/testbed/control_key.h"
#include "sycamore/testbed/json.h"

#include <fmt/format.h>

namespace sycamore::testbed {

namespace json = boost::json;

static constexpr int kUnavailable = 503;
static constexpr int kInternalError = 500;

static base::Error
FieldError(std::string aMessage, std::string_view aField)
{
  return base::Error{ base::ErrorKind::InvalidField, std::move(aMessage), std::string(aField) };
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
  const auto checked = CheckControl(*object,
                                    { { "kind", ValueKind::Text },
                                      { "method", ValueKind::Text },
                                      { "path", ValueKind::Text },
                                      { "contains", ValueKind::Text },
                                      { "skip", ValueKind::Number },
                                      { "count", ValueKind::Number },
                                      { "for_ms", ValueKind::Number },
                                      { "delay_ms", ValueKind::Number },
                                      { "status", ValueKind::Number },
                                      { "after_parts", ValueKind::Number } });
  if (!base::IsOk(checked)) {
    return base::ErrorOf(checked);
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
