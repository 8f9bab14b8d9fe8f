#pragma once

#include "sycamore/base/result.h"
#include "sycamore/table/order.h"
#include "sycamore/table/row.h"
#include "sycamore/table/table.h"
#include "sycamore/world/contract.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sycamore::table {

// A change of one row or of one service's order. Exactly one of the two is named.
struct Edit
{
  std::optional<RowKey> mRow;
  std::optional<std::string> mService;
  uint64_t mBaseVersion = 0; // Version of the row or order the edit is based on; 0: new.
  std::optional<world::Contract> mContract; // Empty deletes the row.
  std::optional<Order> mOrder;              // Empty deletes the order; its mVersion is not used.

  bool operator==(const Edit&) const = default;
};

// Checks fields (negative or non-finite limits, zero weight, empty names); ErrorKind::InvalidEdit
// with the field's name.
base::Result<base::Unit>
ValidateEdit(const Edit& aEdit);

// Whether aEdit removes its row or order.
bool
IsDeletion(const Edit& aEdit);

// The version of the row or order that aEdit names; 0 if it does not exist.
uint64_t
CurrentVersion(const Table& aTable, const Edit& aEdit);

// "row ACCOUNT/REGION/MODEL" or "order of SERVICE", for messages.
std::string
Describe(const Edit& aEdit);

}
