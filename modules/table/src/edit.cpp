#include "sycamore/table/edit.h"

#include <algorithm>
#include <fmt/format.h>
#include <initializer_list>
#include <utility>

namespace sycamore::table {

static constexpr size_t kMaxNameLength = 128;

// Limits are stored in thousandths; above this a double no longer holds every thousandth exactly in
// the decimal digits that a JSON parser reads exactly.
static constexpr double kMaxLimit = 1e9;

// The smallest weight that is not rounded to 0.
static constexpr double kMinWeight = 0.001;

static base::Error
Invalid(std::string_view aField, std::string aMessage)
{
  return { base::ErrorKind::InvalidEdit, std::move(aMessage), std::string(aField) };
}

// Printable ASCII without space, so that a name is one word in a path and on a command line.
static bool
IsName(const std::string& aText)
{
  return aText.size() <= kMaxNameLength && std::all_of(aText.begin(), aText.end(), [](char aChar) {
           return aChar > ' ' && aChar < 0x7f;
         });
}

static base::Result<base::Unit>
CheckName(std::string_view aField, const std::string& aText, bool aMayBeEmpty)
{
  if ((aText.empty() && !aMayBeEmpty) || !IsName(aText)) {
    return Invalid(
      aField,
      fmt::format("{} must be 1 to {} printable characters without space", aField, kMaxNameLength));
  }
  return base::Unit{};
}

static base::Result<base::Unit>
CheckLimit(std::string_view aField, double aValue, double aMin)
{
  if (!(aValue >= aMin && aValue <= kMaxLimit)) {
    return Invalid(aField,
                   fmt::format("{} must be a number from {} to {:.10g}", aField, aMin, kMaxLimit));
  }
  return base::Unit{};
}

// The first error, or Unit.
static base::Result<base::Unit>
FirstError(std::initializer_list<base::Result<base::Unit>> aResults)
{
  for (const auto& result : aResults) {
    if (!base::IsOk(result)) {
      return result;
    }
  }
  return base::Unit{};
}

static base::Result<base::Unit>
ValidateRow(const Edit& aEdit)
{
  const RowKey& key = *aEdit.mRow;
  if (key.mAccount == "*") {
    return Invalid("account", "account must be a name; only region and model may be \"*\"");
  }
  if (aEdit.mOrder) {
    return Invalid("order", "an edit of a row must not carry an order");
  }
  auto names = FirstError({ CheckName("account", key.mAccount, false),
                            CheckName("region", key.mRegion, false),
                            CheckName("model", key.mModel, false) });
  if (!base::IsOk(names) || !aEdit.mContract) {
    return names;
  }
  const world::Contract& contract = *aEdit.mContract;
  return FirstError({ CheckLimit("weight", contract.mWeight, kMinWeight),
                      CheckLimit("requests_per_s", contract.mRequestsPerSecond, 0),
                      CheckLimit("tokens_per_s", contract.mTokensPerSecond, 0) });
}

static base::Result<base::Unit>
ValidateOrder(const Edit& aEdit)
{
  if (aEdit.mContract) {
    return Invalid("contract", "an edit of an order must not carry a contract");
  }
  auto service = CheckName("service", *aEdit.mService, false);
  if (!base::IsOk(service) || !aEdit.mOrder) {
    return service;
  }
  const Order& order = *aEdit.mOrder;
  return FirstError({ CheckName("model", order.mModel, false),
                      CheckName("adapter", order.mAdapter, true),
                      CheckName("model_version", order.mModelVersion, true),
                      CheckName("role", order.mRole, true) });
}

bool
IsDeletion(const Edit& aEdit)
{
  return aEdit.mRow ? !aEdit.mContract : !aEdit.mOrder;
}

base::Result<base::Unit>
ValidateEdit(const Edit& aEdit)
{
  if (aEdit.mRow.has_value() == aEdit.mService.has_value()) {
    return Invalid("row", "an edit must name either a row or a service");
  }
  if (IsDeletion(aEdit) && aEdit.mBaseVersion == 0) {
    return Invalid("base_version", "base_version must be the version that is to be deleted");
  }
  return aEdit.mRow ? ValidateRow(aEdit) : ValidateOrder(aEdit);
}

uint64_t
CurrentVersion(const Table& aTable, const Edit& aEdit)
{
  if (aEdit.mRow) {
    const auto row = aTable.mRows.find(*aEdit.mRow);
    return row == aTable.mRows.end() ? 0 : row->second.mVersion;
  }
  const auto order = aTable.mOrders.find(aEdit.mService.value_or(""));
  return order == aTable.mOrders.end() ? 0 : order->second.mVersion;
}

std::string
Describe(const Edit& aEdit)
{
  if (aEdit.mRow) {
    return fmt::format(
      "row {}/{}/{}", aEdit.mRow->mAccount, aEdit.mRow->mRegion, aEdit.mRow->mModel);
  }
  return fmt::format("order of {}", aEdit.mService.value_or(""));
}

}
