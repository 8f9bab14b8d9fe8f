#include "sycamore/accounts/usage_row.h"

#include "sycamore/wire/account_usage_generated.h"
#include "sycamore/wire/table_codec.h"

namespace sycamore::accounts {

std::string
EncodeUsage(const UsageRows& aRows)
{
  wire::AccountUsageT table;
  table.accounts.reserve(aRows.size());
  table.demand.reserve(aRows.size());
  table.admitted.reserve(aRows.size());
  for (const UsageRow& row : aRows) {
    table.accounts.push_back(row.mAccount);
    table.demand.push_back(row.mUsage.mDemand);
    table.admitted.push_back(row.mUsage.mAdmitted);
  }
  return wire::EncodeTable<wire::AccountUsage>(table);
}

std::optional<UsageRows>
DecodeUsage(std::string_view aBytes)
{
  const auto table = wire::DecodeTable<wire::AccountUsage>(aBytes);
  if (!table || table->accounts.size() != table->demand.size() ||
      table->accounts.size() != table->admitted.size()) {
    return std::nullopt;
  }
  UsageRows rows;
  rows.reserve(table->accounts.size());
  for (size_t i = 0; i < table->accounts.size(); ++i) {
    rows.push_back({ table->accounts[i], { table->demand[i], table->admitted[i] } });
  }
  return rows;
}

}
