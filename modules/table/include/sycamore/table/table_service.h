#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/platform/log_client.h"
#include "sycamore/table/table_event.h"

#include <functional>
#include <memory>
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
  std::optional<Order> mOrder;              // Empty deletes the order.
};

// Checks fields (negative or non-finite limits, zero weight, empty names); ErrorKind::InvalidEdit
// with the field's name.
base::Result<base::Unit>
ValidateEdit(const Edit& aEdit);

// Reads the config stream every aPoll and appends edits, on one thread.
class TableService
{
public:
  // aSink receives events on the service's thread and must not block.
  TableService(std::unique_ptr<platform::LogClient> aLog,
               base::Millis aPoll,
               std::function<bool(TableEvent)> aSink);
  ~TableService();
  TableService(const TableService&) = delete;
  TableService& operator=(const TableService&) = delete;

  // Appends aEdit and reads it back; answered by EditDone. Returns false if too many edits wait.
  bool Submit(Edit aEdit, uint64_t aTicket);

  // Idempotent.
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

}
