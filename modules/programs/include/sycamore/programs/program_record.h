#pragma once

#include "sycamore/base/clock.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace sycamore::programs {

// Reserves tokens for an attempt before it is sent to a replica.
struct AttemptReserved
{
  std::string mAttempt;
  std::string mProgram;
  uint64_t mBudgetTokens = 0; // Of the whole program.
  uint64_t mMaxTokens = 0;    // Maximum that this attempt can generate.

  bool operator==(const AttemptReserved&) const = default;
};

// An attempt that ended without becoming a turn of the history. Releases its reservation.
struct AttemptEnded
{
  std::string mAttempt;
  std::string mProgram;
  uint64_t mTokens = 0; // Sent to the caller before the end.

  bool operator==(const AttemptEnded&) const = default;
};

// A turn whose answer is complete. Releases its reservation.
struct TurnCompleted
{
  std::string mAttempt;
  std::string mProgram;
  std::string mPrevious; // Attempt of the turn that this one continues; empty for the first.
  uint64_t mTokens = 0;
  std::string mReplica;          // Its cache holds the turn.
  base::Millis mRetention{ 0 };  // Time for which the turn can be continued.
  uint64_t mTextSearchStart = 0; // Offset in the texts' stream at which a search for them starts.
  uint32_t mTextBytes = 0;
  uint32_t mTextPartition = 0; // Of the texts' stream.
  uint32_t mWriter = 0;        // See TextLocation.
  // Number of the copy: 0 for the first record, more if record and texts were appended again before
  // the store dropped them. mTextSearchStart is the exact offset in copies.
  uint32_t mCopy = 0;
  uint64_t mAccount = 0; // Id of the client account that ran the turn; 0 if not told.

  bool operator==(const TurnCompleted&) const = default;
};

// The exact offset of the texts of a completed turn; saves readers a search.
struct TextPlaced
{
  std::string mAttempt;
  uint64_t mOffset = 0;

  bool operator==(const TextPlaced&) const = default;
};

using ProgramEvent = std::variant<AttemptReserved, AttemptEnded, TurnCompleted, TextPlaced>;

// One record of the programs' stream: the events that were appended together.
struct ProgramRecord
{
  // Time of day at the writer, since 1970. Clocks of instances differ, so it only determines when
  // the record expires.
  base::Millis mWrittenAt{ 0 };
  std::vector<ProgramEvent> mEvents;

  bool operator==(const ProgramRecord&) const = default;
};

}
