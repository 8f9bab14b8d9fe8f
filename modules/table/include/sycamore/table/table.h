#pragma once

#include "sycamore/base/result.h"
#include "sycamore/table/order.h"
#include "sycamore/table/row.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace sycamore::table {

// The accepted configuration: the fold of the config stream.
struct Table
{
  uint64_t mVersion = 0; // Offset plus 1 of the last accepted edit; 0 for the empty table.
  std::map<RowKey, Row> mRows;
  std::map<std::string, Order> mOrders; // By service.

  bool operator==(const Table&) const = default;
};

// The most specific row for a call: exact region before "*", then exact model before "*"; null if
// none.
const Row*
FindRow(const Table& aTable,
        const std::string& aAccount,
        const std::string& aRegion,
        const std::string& aModel);

// Whether any row names aAccount.
bool
HasAccount(const Table& aTable, const std::string& aAccount);

// The whole table as JSON, for ConfigPush and GET /v1/table, and back; ErrorKind::MalformedBody.
std::string
ToJson(const Table& aTable);
base::Result<Table>
FromJson(std::string_view aJson);

}
