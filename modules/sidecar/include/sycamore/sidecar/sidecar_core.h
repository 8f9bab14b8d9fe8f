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

// All decisions of a sidecar: a single-threaded state machine without I/O. Each function takes the
// present time, which must not decrease, and may call the output before it returns.
class SidecarCore
{
public:
  // aSettings and aOutput must outlive the core.
  SidecarCore(const settings::Settings& aSettings, uint64_t aIncarnation, SidecarOutput& aOutput);
  ~SidecarCore();
  SidecarCore(const SidecarCore&) = delete;
  SidecarCore& operator=(const SidecarCore&) = delete;

  // Publishes the first hello and reads the state of the engines.
  void Start(base::TimePoint aNow);

  // A peer event other than a ConfigPush frame, which is ignored here.
  void OnPeer(const transport::PeerEvent& aEvent, base::TimePoint aNow);

  // Whether a pushed table of this version would be adopted.
  bool WantsTable(uint64_t aVersion) const;

  // A table received from an entry, confirmed by the log aAge before it was received.
  void OnTable(const table::Table& aTable, base::Millis aAge, base::TimePoint aNow);

  // An entry pushed a table that is not newer than the present one.
  void OnTableReported(uint64_t aVersion, base::Millis aAge, base::TimePoint aNow);

  // Reports of requests started through the output. Unknown tickets are ignored.
  void OnData(uint64_t aRequestId, std::string_view aData, base::TimePoint aNow);
  void OnDone(uint64_t aRequestId, const http::ClientResponse& aResponse, base::TimePoint aNow);
  void OnFailed(uint64_t aRequestId,
                const base::Error& aError,
                http::SendProgress aProgress,
                base::TimePoint aNow);

  // The answer to RequestSlot: granted, or not with the store's wish for the delay (0: none).
  void OnSlot(uint64_t aRequestId, bool aGranted, base::Millis aRetryAfter, base::TimePoint aNow);

  // To be called about every kTickPeriod.
  void OnTick(base::TimePoint aNow);

  // Tells all entries that the instance leaves; refuses new and queued calls as not run.
  void BeginDrain(base::TimePoint aNow);

  // Whether a graceful shutdown is complete: no call runs, and outcomes were acknowledged or had
  // kAckWait to be.
  bool Drained(base::TimePoint aNow) const;

  // Whether new calls are accepted.
  bool Ready(base::TimePoint aNow) const;

  SidecarCounters Counters() const;

  // The state as JSON, for people.
  std::string Dump(base::TimePoint aNow) const;

  static constexpr base::Millis kTickPeriod{ 100 };

  // An owner that is alive acknowledges within a group-commit window (at most 1 s) and a round
  // trip; one that is not will find its outcomes gone and report them as unknown.
  static constexpr base::Millis kAckWait{ 10000 };

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

}
