#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/base/result.h"
#include "sycamore/table/table.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

namespace sycamore::table {

// The log confirmed that mTable is the newest accepted table at the time of the read.
struct TableConfirmed
{
  std::shared_ptr<const Table> mTable;
  base::TimePoint mReadAt{}; // Before the read was sent; the age of the table counts from here.
};

// The log could not be read.
struct TableUnconfirmed
{
  std::string mMessage;
};

// The answer to TableService::Edit: the new version, or EditConflict, InvalidEdit, LogUnavailable
// (surely not applied), Stopping (not applied) or Uncommitted (may be applied; read the table).
struct EditDone
{
  uint64_t mTicket = 0;
  base::Result<uint64_t> mVersion;
};

using TableEvent = std::variant<TableConfirmed, TableUnconfirmed, EditDone>;

}
