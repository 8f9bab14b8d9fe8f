#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/programs/program_record.h"
#include "sycamore/programs/turn.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace sycamore::programs {

// What the stream says of an attempt's reservation.
enum class Reservation : uint8_t
{
  Unknown, // No record of the attempt yet.
  Granted, // Counted with its most until the attempt ends.
  Refused, // The budget did not hold it.
  Ended,   // Settled; a reservation that arrives later has no effect.
};

// Budgets and history of all programs: a pure fold of the programs' stream. Every process that
// applied the same records agrees on every answer, so that no process owns a program. Each record
// is idempotent by its attempt: a copy that arrives again, or late, changes nothing. Not
// thread-safe.
class ProgramRegistry
{
public:
  // Applies the next record of the stream.
  void Apply(const ProgramRecord& aRecord);

  Reservation ReservationOf(const std::string& aProgram, const std::string& aAttempt) const;

  // Whether a reservation of aMaxTokens would be granted as far as the applied records tell.
  bool FitsBudget(const std::string& aProgram, uint64_t aBudgetTokens, uint64_t aMaxTokens) const;

  // The turn that ended with aAttempt, or null if unknown or expired.
  const Turn* FindTurn(const std::string& aAttempt) const;

  // The attempts of the turns that a prompt after aLast is made of, the oldest first. Nothing if
  // one of them is unknown.
  std::optional<std::vector<std::string>> Chain(const std::string& aLast) const;

  // Forgets turns and programs that expired before aNow, the time of day since 1970. Returns how
  // many turns were forgotten.
  size_t Expire(base::Millis aNow);

  size_t TurnCount() const { return mTurns.size(); }
  size_t ProgramCount() const { return mPrograms.size(); }

private:
  struct Attempt
  {
    Reservation mState = Reservation::Unknown;
    uint64_t mMaxTokens = 0;
  };

  struct Program
  {
    uint64_t mSpent = 0;    // Tokens of ended attempts.
    uint64_t mReserved = 0; // Most of the attempts under way.
    base::Millis mExpires{ 0 };
    std::unordered_map<std::string, Attempt> mAttempts;
  };

  void ApplyEvent(const AttemptReserved& aEvent, base::Millis aWrittenAt);
  void ApplyEvent(const AttemptEnded& aEvent, base::Millis aWrittenAt);
  void ApplyEvent(const TurnCompleted& aEvent, base::Millis aWrittenAt);
  void ApplyEvent(const TextPlaced& aEvent, base::Millis aWrittenAt);
  Program& Touch(const std::string& aProgram, base::Millis aExpires);
  static void Settle(Program& aProgram, const std::string& aAttempt, uint64_t aTokens);
  void ExtendChain(const std::string& aAttempt, base::Millis aExpires);

  std::unordered_map<std::string, Turn> mTurns; // By attempt.
  std::unordered_map<std::string, Program> mPrograms;
};

}
