#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/programs/program_record.h"
#include "sycamore/programs/turn.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sycamore::programs {

// State of an attempt's reservation.
enum class Reservation : uint8_t
{
  Unknown, // No record of the attempt yet.
  Granted, // Its mMaxTokens count against the budget until the attempt ends.
  Refused, // It exceeded the rest of the budget.
  Ended,   // Settled; a reservation that arrives later has no effect.
};

// Budgets and history of all programs, computed deterministically from the programs' stream. All
// processes that applied the same records have the same state, so that no process has to own a
// program. Records are idempotent per attempt: a duplicate or late copy changes nothing. Not
// thread-safe.
class ProgramRegistry
{
public:
  // Applies the next record of the stream.
  void Apply(const ProgramRecord& aRecord);

  Reservation ReservationOf(const std::string& aProgram, const std::string& aAttempt) const;

  // Whether a reservation of aMaxTokens would be granted according to the applied records.
  bool FitsBudget(const std::string& aProgram, uint64_t aBudgetTokens, uint64_t aMaxTokens) const;

  // Whether a record of aProgram has been applied and the program has not expired since.
  bool Knows(const std::string& aProgram) const { return mPrograms.contains(aProgram); }

  // Tokens that the ended attempts of aProgram sent. Only grows while the program is known.
  uint64_t SpentTokens(const std::string& aProgram) const;

  // SpentTokens and the maximum of all reservations that have not ended.
  uint64_t UsedTokens(const std::string& aProgram) const;

  // The attempts of aProgram, as ended ones, whose records the store may drop within aNeeded from
  // aNow (time of day since 1970) or soon after; a new reservation of the program tells them again.
  // A reservation of that age counts with its maximum: its gateway has gone. At most aMost.
  std::vector<ProgramEvent> EndsToRenew(const std::string& aProgram,
                                        base::Millis aNow,
                                        base::Millis aNeeded,
                                        base::Millis aStoreRetention,
                                        size_t aMost) const;

  // The programs whose reservations were refused since the last call: reservations of others that
  // are not used hold up their turns.
  std::vector<std::string> TakeRefused() { return std::exchange(mRefused, {}); }

  // The turn that ended with aAttempt, or null if unknown or expired.
  const Turn* FindTurn(const std::string& aAttempt) const;

  // The attempts of aLast and of all turns that it continues, the oldest first: the history of a
  // prompt that continues aLast. Nothing if one of them is unknown.
  std::optional<std::vector<std::string>> Chain(const std::string& aLast) const;

  // The attempt at which the chain of aLast ends too soon; empty if the chain is known.
  std::string UnknownTurn(const std::string& aLast) const;

  // Removes turns and programs that expired before aNow, the time of day since 1970. Returns the
  // number of removed turns.
  size_t Expire(base::Millis aNow);

  size_t TurnCount() const { return mTurns.size(); }
  size_t ProgramCount() const { return mPrograms.size(); }

private:
  struct Attempt
  {
    Reservation mState = Reservation::Unknown;
    uint64_t mMaxTokens = 0;      // While granted.
    uint64_t mTokens = 0;         // Sent, once ended.
    base::Millis mWrittenAt{ 0 }; // Time of day since 1970 of the record that tells the state.
  };

  struct Program
  {
    uint64_t mSpent = 0;    // Tokens of ended attempts.
    uint64_t mReserved = 0; // Maximum tokens of the attempts in progress.
    base::Millis mExpires{ 0 };
    std::unordered_map<std::string, Attempt> mAttempts;
  };

  void ApplyEvent(const AttemptReserved& aEvent, base::Millis aWrittenAt);
  void ApplyEvent(const AttemptEnded& aEvent, base::Millis aWrittenAt);
  void ApplyEvent(const TurnCompleted& aEvent, base::Millis aWrittenAt);
  void ApplyEvent(const TextPlaced& aEvent, base::Millis aWrittenAt);
  Program& Touch(const std::string& aProgram, base::Millis aExpires);
  static void Settle(Program& aProgram,
                     const std::string& aAttempt,
                     uint64_t aTokens,
                     base::Millis aWrittenAt);
  void ExtendChain(const std::string& aAttempt, base::Millis aExpires);

  std::unordered_map<std::string, Turn> mTurns; // By attempt.
  // Expiry of the latest turn that continues an attempt whose own record has not been applied: the
  // records of a chain are in several partitions, which are read in any order.
  std::unordered_map<std::string, base::Millis> mContinuedUnknown;
  std::unordered_map<std::string, Program> mPrograms;
  std::vector<std::string> mRefused; // See TakeRefused.
};

}
