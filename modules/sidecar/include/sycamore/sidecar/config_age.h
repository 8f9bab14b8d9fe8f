#pragma once

#include "sycamore/base/clock.h"

#include <cstdint>
#include <optional>

namespace sycamore::sidecar {

struct ConfigAgeLimits
{
  base::Millis mMaxContactAge{ 7000 };        // Longest time without word from any entry.
  base::Millis mMaxConfirmationAge{ 300000 }; // Longest time since the log confirmed the table.
};

// Tracks which table version is in effect and how long ago it was confirmed. The version never
// decreases.
class ConfigAge
{
public:
  explicit ConfigAge(const ConfigAgeLimits& aLimits);

  // Whether a received table of aVersion is newer than the present one.
  bool IsNewer(uint64_t aVersion) const;

  // An entry stated that it holds aVersion, confirmed aAge before sending. A higher version shows
  // that the present one is outdated and counts for nothing; a lower one is contact, since an entry
  // without the log may keep an older table for mMaxConfirmationAge; only the same one confirms.
  void EntryReported(uint64_t aVersion, base::Millis aAge, base::TimePoint aNow);

  // A table was received and, if newer, adopted.
  void Adopted(uint64_t aVersion, base::Millis aAge, base::TimePoint aNow);

  uint64_t Version() const;

  // Time since the log confirmed the present version; the longest duration if it never did.
  base::Millis Age(base::TimePoint aNow) const;

  // Whether new work must be refused.
  bool Stale(base::TimePoint aNow) const;

private:
  ConfigAgeLimits mLimits;
  uint64_t mVersion = 0;
  std::optional<base::TimePoint> mLastContactAt; // Last statement of no higher version.
  std::optional<base::TimePoint> mConfirmedAt;   // By the log, on this machine's clock.
};

}
