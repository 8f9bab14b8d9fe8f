#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/base/error.h"
#include "sycamore/http/async_client.h"
#include "sycamore/settings/settings.h"
#include "sycamore/sidecar/sidecar_counters.h"
#include "sycamore/sidecar/sidecar_output.h"
#include "sycamore/table/table.h"

#include <memory>
#include <string>
#include <string_view>

namespace sycamore::sidecar {

// The logic of a sidecar as a single-threaded state machine without I/O. Functions take the current
// time, which must not decrease, and may call the output before they return.
class SidecarCore
{
public:
  // aSettings and aOutput must outlive the core.
  SidecarCore(const settings::Settings& aSettings, uint64_t aIncarnation, SidecarOutput& aOutput);
  ~SidecarCore();
  SidecarCore(const SidecarCore&) = delete;
  SidecarCore& operator=(const SidecarCore&) = delete;

  // Publishes the first hello and requests load, cache list and order state of the engines.
  void Start(base::TimePoint aNow);

  // Handles a peer event. ConfigPush frames are ignored; see OnTable and OnTableReported.
  void OnPeer(const transport::PeerEvent& aEvent, base::TimePoint aNow);

  // Whether a pushed table of this version would be adopted.
  bool WantsTable(uint64_t aVersion) const;

  // A table received from an entry, confirmed by the log aAge before it was received.
  void OnTable(const table::Table& aTable, base::Millis aAge, base::TimePoint aNow);

  // An entry pushed a table that is not newer than the current one.
  void OnTableReported(uint64_t aVersion, base::Millis aAge, base::TimePoint aNow);

  // Data and results of requests started through the output. Unknown request ids are ignored.
  void OnData(uint64_t aRequestId, std::string_view aData, base::TimePoint aNow);
  void OnDone(uint64_t aRequestId, const http::ClientResponse& aResponse, base::TimePoint aNow);
  void OnFailed(uint64_t aRequestId,
                const base::Error& aError,
                http::SendProgress aProgress,
                base::TimePoint aNow);

  // The answer to RequestSlot. If the slot is not granted, aRetryAfter is the delay that the store
  // asked for (0: none).
  void OnSlot(uint64_t aRequestId, bool aGranted, base::Millis aRetryAfter, base::TimePoint aNow);

  // Must be called about every kTickPeriod.
  void OnTick(base::TimePoint aNow);

  // Notifies all entries that the instance is leaving, and reports queued and new calls as not run.
  void BeginDrain(base::TimePoint aNow);

  // Whether a graceful shutdown is complete: no call is running, and all outcomes were acknowledged
  // or kAckWait has passed since the last call finished.
  bool Drained(base::TimePoint aNow) const;

  // Whether new calls are accepted.
  bool Ready(base::TimePoint aNow) const;

  SidecarCounters Counters() const;

  // The state as JSON, for operators.
  std::string Dump(base::TimePoint aNow) const;

  static constexpr base::Millis kTickPeriod{ 100 };

  // A live owner acknowledges within one group-commit window (at most 1 s) plus a round trip. If
  // the owner is down, its outcomes are lost, and their calls are later reported as unknown.
  static constexpr base::Millis kAckWait{ 10000 };

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

}
