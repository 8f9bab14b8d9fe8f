#include "table_request.h"

#include "json_fields.h"

#include <charconv>
#include <limits>
#include <utility>

namespace sycamore::entry {

static constexpr uint64_t kMaxVersion = static_cast<uint64_t>(std::numeric_limits<int64_t>::max());

// Reports an invalid field of an edit as InvalidEdit instead of InvalidField.
static base::Error
EditError(const base::Error& aFailure)
{
  return { base::ErrorKind::InvalidEdit, aFailure.mMessage, aFailure.mField };
}

base::Result<table::Edit>
ParseRowEdit(const table::RowKey& aKey, std::string_view aBody)
{
  const base::Result<boost::json::object> parsed = ParseObject(aBody);
  if (!base::IsOk(parsed)) {
    return base::ErrorOf(parsed);
  }
  JsonFields fields(base::ValueOf(parsed));
  fields.RefuseUnknown(
    { "base_version", "weight", "requests_per_s", "tokens_per_s", "concurrency" });
  table::Edit edit;
  edit.mRow = aKey;
  edit.mBaseVersion = fields.Integer("base_version", 0, kMaxVersion);
  world::Contract contract;
  contract.mWeight = fields.NonNegativeNumber("weight");
  contract.mRequestsPerSecond = fields.NonNegativeNumber("requests_per_s");
  contract.mTokensPerSecond = fields.NonNegativeNumber("tokens_per_s");
  contract.mConcurrency =
    static_cast<uint32_t>(fields.Integer("concurrency", 0, std::numeric_limits<uint32_t>::max()));
  edit.mContract = contract;
  if (fields.Failure()) {
    return EditError(*fields.Failure());
  }
  return edit;
}

base::Result<table::Edit>
ParseOrderEdit(const std::string& aService, std::string_view aBody)
{
  const base::Result<boost::json::object> parsed = ParseObject(aBody);
  if (!base::IsOk(parsed)) {
    return base::ErrorOf(parsed);
  }
  JsonFields fields(base::ValueOf(parsed));
  fields.RefuseUnknown({ "base_version", "model", "adapter", "model_version", "role" });
  table::Edit edit;
  edit.mService = aService;
  edit.mBaseVersion = fields.Integer("base_version", 0, kMaxVersion);
  table::Order order;
  order.mModel = fields.Name("model");
  order.mAdapter = fields.OptionalName("adapter");
  order.mModelVersion = fields.OptionalName("model_version");
  order.mRole = fields.OptionalName("role");
  edit.mOrder = std::move(order);
  if (fields.Failure()) {
    return EditError(*fields.Failure());
  }
  return edit;
}

base::Result<uint64_t>
ParseBaseVersion(std::string_view aBody)
{
  const base::Result<boost::json::object> parsed = ParseObject(aBody.empty() ? "{}" : aBody);
  if (!base::IsOk(parsed)) {
    return base::ErrorOf(parsed);
  }
  JsonFields fields(base::ValueOf(parsed));
  fields.RefuseUnknown({ "base_version" });
  const uint64_t version = fields.Integer("base_version", 0, kMaxVersion);
  if (fields.Failure()) {
    return EditError(*fields.Failure());
  }
  return version;
}

base::Result<std::string>
DecodePath(std::string_view aText)
{
  std::string decoded;
  for (size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] != '%') {
      decoded += aText[i];
      continue;
    }
    unsigned byte = 0;
    const std::string_view digits = aText.substr(i + 1, 2);
    const auto [end, failure] =
      std::from_chars(digits.data(), digits.data() + digits.size(), byte, 16);
    if (failure != std::errc{} || digits.size() != 2 || end != digits.data() + 2) {
      return base::Error{ base::ErrorKind::InvalidField, "invalid percent encoding", "path" };
    }
    decoded += static_cast<char>(byte);
    i += 2;
  }
  return decoded;
}

}
