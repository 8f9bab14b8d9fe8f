#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/platform/log_client.h"
#include "sycamore/table/edit.h"
#include "sycamore/table/table_event.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace sycamore::table {

// Reads the config stream every aPoll and appends edits, on one thread. Appends a snapshot when
// none was seen for a quarter to three eighths of aRetention. Publishes only complete tables, each
// at least as new as the one before.
class TableService
{
public:
  // aSink receives events on the service's thread and must not block; it returns false if it cannot
  // take the event now. An EditDone is then offered again; the other events are replaced by the
  // next poll.
  TableService(std::unique_ptr<platform::LogClient> aLog,
               base::Millis aPoll,
               base::Millis aRetention,
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
