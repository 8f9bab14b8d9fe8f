#pragma once

#include "sycamore/base/clock.h"

#include <cstdint>
#include <optional>

namespace sycamore::sidecar {

struct ConfigAgeLimits
{
  base::Millis mMaxContactAge{ 7000 };        // Longest time without a message from any entry.
  base::Millis mMaxConfirmationAge{ 300000 }; // Longest time since the log confirmed the table.
};

// Tracks which table version is in effect and how long ago the log confirmed it. The version never
// decreases.
class ConfigAge
{
public:
  explicit ConfigAge(const ConfigAgeLimits& aLimits);

  // Whether a received table of aVersion is newer than the current one.
  bool IsNewer(uint64_t aVersion) const;

  // An entry reported that it holds aVersion, confirmed by the log aAge before it sent the report.
  // A higher version is ignored: it shows that the current table is outdated. A lower version
  // counts as contact but not as confirmation, since an entry that cannot reach the log may use an
  // older table for mMaxConfirmationAge. The same version counts as both.
  void EntryReported(uint64_t aVersion, base::Millis aAge, base::TimePoint aNow);

  // A table was received and, if newer, adopted.
  void Adopted(uint64_t aVersion, base::Millis aAge, base::TimePoint aNow);

  uint64_t Version() const;

  // Time since the log confirmed the current version; one year if it never did.
  base::Millis Age(base::TimePoint aNow) const;

  // Whether new work must be refused because a limit is exceeded.
  bool Stale(base::TimePoint aNow) const;

private:
  ConfigAgeLimits mLimits;
  uint64_t mVersion = 0;
  std::optional<base::TimePoint> mLastContactAt; // Last report of the current or a lower version.
  std::optional<base::TimePoint> mConfirmedAt;   // By the log, in terms of the local clock.
};

}
