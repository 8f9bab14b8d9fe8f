#pragma once

#include "sycamore/base/clock.h"

#include <cstdint>
#include <string>

namespace sycamore::programs {

// Location of a turn's texts in the texts' stream.
struct TextLocation
{
  uint64_t mFrom = 0;      // Offset of the record, or one before it.
  bool mExact = false;     // Whether mFrom is the record's own offset.
  uint32_t mBytes = 0;     // Of input and output together.
  uint32_t mPartition = 0; // Of the texts' stream.
  uint32_t mWriter = 0;    // Hash of the instance that keeps them in memory; 0 if not known.

  bool operator==(const TextLocation&) const = default;
};

// A node of the history, which is a tree: it branches where sub-agents continue the same turn.
struct Turn
{
  std::string mProgram;
  std::string mPrevious; // Attempt of the turn that this one continues; empty for a first turn.
  TextLocation mText;
  std::string mReplica;       // Its cache held the turn when it ended.
  base::Millis mExpires{ 0 }; // Time of day since 1970; later if a later turn continues this one.
  base::Millis mRetention{ 0 };
  base::Millis mWrittenAt{ 0 }; // Time of day since 1970 of the record that mText comes from.
  uint32_t mCopy = 0;           // See TurnCompleted.
  uint64_t mAccount = 0;        // See TurnCompleted.
};

}
