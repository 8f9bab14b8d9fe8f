#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/entry/core_event.h"
#include "sycamore/entry/effects.h"
#include "sycamore/settings/settings.h"

#include <cstdint>
#include <memory>
#include <string>

namespace sycamore::entry {

// The decision logic of an entry: a state machine without threads, clocks or I/O. Not thread-safe.
// Spec: spec/ownership.pml, spec/budget.pml.
class EntryCore
{
public:
  // aSettings and aEffects must outlive the core. aPeerAddress is where peers reach this entry.
  EntryCore(const settings::Settings& aSettings,
            Effects& aEffects,
            uint64_t aIncarnation,
            std::string aPeerAddress,
            base::TimePoint aNow);
  ~EntryCore();
  EntryCore(const EntryCore&) = delete;
  EntryCore& operator=(const EntryCore&) = delete;

  // Handles one event. aNow must not decrease.
  void Handle(CoreEvent aEvent, base::TimePoint aNow);

  // Whether a requested drain has finished: no partition owned, no request open.
  bool Drained() const;

  // The state as JSON text, for GET /dump.
  std::string Dump() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

}
