#include "sycamore/table/table.h"

#include "json_fields.h"

#include <exception>
#include <fmt/format.h>

namespace sycamore::table {

static constexpr const char* kAny = "*";

const Row*
FindRow(const Table& aTable,
        const std::string& aAccount,
        const std::string& aRegion,
        const std::string& aModel)
{
  const RowKey candidates[] = { { aAccount, aRegion, aModel },
                                { aAccount, aRegion, kAny },
                                { aAccount, kAny, aModel },
                                { aAccount, kAny, kAny } };
  for (const RowKey& key : candidates) {
    const auto row = aTable.mRows.find(key);
    if (row != aTable.mRows.end()) {
      return &row->second;
    }
  }
  return nullptr;
}

bool
HasAccount(const Table& aTable, const std::string& aAccount)
{
  const auto row = aTable.mRows.lower_bound({ aAccount, "", "" });
  return row != aTable.mRows.end() && row->first.mAccount == aAccount;
}

std::string
ToJson(const Table& aTable)
{
  return boost::json::serialize(TableToJson(aTable));
}

base::Result<Table>
FromJson(std::string_view aJson)
{
  try {
    return TableFromJson(boost::json::parse(aJson).as_object());
  } catch (const std::exception& error) {
    return base::Error{ base::ErrorKind::MalformedBody,
                        fmt::format("the text is no table: {}", error.what()),
                        "" };
  }
}

}
