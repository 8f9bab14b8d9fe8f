#pragma once

#include "stats.h"
#include "sycamore/base/clock.h"
#include "sycamore/entry/effects.h"
#include "sycamore/settings/settings.h"

#include <cstdint>
#include <string>

namespace sycamore::entry {

// State shared by all components of EntryCore.
struct Context
{
  const settings::Settings& mSettings;
  Effects& mEffects;
  uint64_t mIncarnation = 0;
  std::string mPeerAddress;
  base::TimePoint mStarted;
  base::TimePoint mNow;
  bool mDraining = false;
  Stats mStats;
};

}
