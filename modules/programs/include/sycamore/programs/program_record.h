#pragma once

#include "sycamore/base/clock.h"

#include <cstdint>
#include <string>
#include <variant>

namespace sycamore::programs {

// Tokens set aside for an attempt before it is sent to a replica.
struct AttemptReserved
{
  std::string mAttempt;
  std::string mProgram;
  uint64_t mBudgetTokens = 0; // Of the whole program.
  uint64_t mMaxTokens = 0;    // Most that this attempt can generate.

  bool operator==(const AttemptReserved&) const = default;
};

// An attempt that ended without becoming a turn of the history. Releases its reservation.
struct AttemptEnded
{
  std::string mAttempt;
  std::string mProgram;
  uint64_t mTokens = 0; // Handed to the caller before the end.

  bool operator==(const AttemptEnded&) const = default;
};

// A turn whose answer is complete. Releases its reservation.
struct TurnCompleted
{
  std::string mAttempt;
  std::string mProgram;
  std::string
    mPrevious; // Attempt of the turn that this one continues; empty at the start of a line.
  std::string mInput;
  std::string
    mOutput; // As later prompts contain it: the data of each event, each with a line feed.
  uint64_t mTokens = 0;
  std::string mReplica;         // Whose cache has the turn.
  base::Millis mRetention{ 0 }; // Time for which the turn can be continued.

  bool operator==(const TurnCompleted&) const = default;
};

using ProgramEvent = std::variant<AttemptReserved, AttemptEnded, TurnCompleted>;

// One record of the programs' stream.
struct ProgramRecord
{
  // Time of day at the writer, since 1970. Clocks of two machines differ, so it only decides when a
  // record may be forgotten.
  base::Millis mWrittenAt{ 0 };
  ProgramEvent mEvent;

  bool operator==(const ProgramRecord&) const = default;
};

}
