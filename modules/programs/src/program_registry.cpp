#include "sycamore/programs/program_registry.h"

#include "sycamore/programs/record_age.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace sycamore::programs {

void
ProgramRegistry::Apply(const ProgramRecord& aRecord)
{
  for (const ProgramEvent& event : aRecord.mEvents) {
    std::visit([&](const auto& aEvent) { ApplyEvent(aEvent, aRecord.mWrittenAt); }, event);
  }
}

void
ProgramRegistry::ApplyEvent(const AttemptReserved& aEvent, base::Millis aWrittenAt)
{
  Program& program = Touch(aEvent.mProgram, aWrittenAt + kBudgetRetention);
  Attempt& attempt = program.mAttempts[aEvent.mAttempt];
  if (attempt.mState != Reservation::Unknown) {
    return;
  }
  if (program.mSpent + program.mReserved + aEvent.mMaxTokens > aEvent.mBudgetTokens) {
    attempt.mState = Reservation::Refused;
    mRefused.push_back(aEvent.mProgram);
    return;
  }
  attempt = { Reservation::Granted, aEvent.mMaxTokens, 0, aWrittenAt };
  program.mReserved += aEvent.mMaxTokens;
}

void
ProgramRegistry::ApplyEvent(const AttemptEnded& aEvent, base::Millis aWrittenAt)
{
  Settle(Touch(aEvent.mProgram, aWrittenAt + kBudgetRetention),
         aEvent.mAttempt,
         aEvent.mTokens,
         aWrittenAt);
}

void
ProgramRegistry::ApplyEvent(const TurnCompleted& aEvent, base::Millis aWrittenAt)
{
  base::Millis expires = aWrittenAt + aEvent.mRetention + kClockSkewMargin;
  Settle(Touch(aEvent.mProgram, std::max(expires, aWrittenAt + kBudgetRetention)),
         aEvent.mAttempt,
         aEvent.mTokens,
         aWrittenAt);
  const auto [position, added] = mTurns.try_emplace(aEvent.mAttempt);
  Turn& turn = position->second;
  if (!added && aEvent.mCopy <= turn.mCopy) {
    return;
  }
  if (const auto continued = mContinuedUnknown.extract(aEvent.mAttempt); !continued.empty()) {
    expires = std::max(expires, continued.mapped());
  }
  turn.mProgram = aEvent.mProgram;
  turn.mPrevious = aEvent.mPrevious;
  turn.mText = { aEvent.mTextSearchStart,
                 aEvent.mCopy > 0,
                 aEvent.mTextBytes,
                 aEvent.mTextPartition,
                 aEvent.mWriter };
  turn.mReplica = aEvent.mReplica;
  turn.mExpires = std::max(turn.mExpires, expires);
  turn.mRetention = aEvent.mRetention;
  turn.mWrittenAt = aWrittenAt;
  turn.mCopy = aEvent.mCopy;
  turn.mAccount = aEvent.mAccount;
  ExtendChain(aEvent.mPrevious, expires);
}

void
ProgramRegistry::ApplyEvent(const TextPlaced& aEvent, base::Millis /* aWrittenAt */)
{
  const auto turn = mTurns.find(aEvent.mAttempt);
  if (turn != mTurns.end() && !turn->second.mText.mExact) {
    turn->second.mText.mFrom = aEvent.mOffset;
    turn->second.mText.mExact = true;
  }
}

ProgramRegistry::Program&
ProgramRegistry::Touch(const std::string& aProgram, base::Millis aExpires)
{
  Program& program = mPrograms[aProgram];
  program.mExpires = std::max(program.mExpires, aExpires);
  return program;
}

void
ProgramRegistry::Settle(Program& aProgram,
                        const std::string& aAttempt,
                        uint64_t aTokens,
                        base::Millis aWrittenAt)
{
  Attempt& attempt = aProgram.mAttempts[aAttempt];
  if (attempt.mState == Reservation::Ended) {
    attempt.mWrittenAt = std::max(attempt.mWrittenAt, aWrittenAt);
    return;
  }
  if (attempt.mState == Reservation::Granted) {
    assert(aProgram.mReserved >= attempt.mMaxTokens);
    aProgram.mReserved -= attempt.mMaxTokens;
  }
  aProgram.mSpent += aTokens;
  attempt = { Reservation::Ended, 0, aTokens, aWrittenAt };
}

void
ProgramRegistry::ExtendChain(const std::string& aAttempt, base::Millis aExpires)
{
  const std::string* attempt = &aAttempt;
  while (!attempt->empty()) {
    const auto turn = mTurns.find(*attempt);
    if (turn == mTurns.end()) {
      base::Millis& expires = mContinuedUnknown[*attempt];
      expires = std::max(expires, aExpires);
      return;
    }
    if (turn->second.mExpires >= aExpires) {
      return; // Earlier turns of the chain live at least as long.
    }
    turn->second.mExpires = aExpires;
    attempt = &turn->second.mPrevious;
  }
}

Reservation
ProgramRegistry::ReservationOf(const std::string& aProgram, const std::string& aAttempt) const
{
  const auto program = mPrograms.find(aProgram);
  if (program == mPrograms.end()) {
    return Reservation::Unknown;
  }
  const auto attempt = program->second.mAttempts.find(aAttempt);
  return attempt == program->second.mAttempts.end() ? Reservation::Unknown : attempt->second.mState;
}

bool
ProgramRegistry::FitsBudget(const std::string& aProgram,
                            uint64_t aBudgetTokens,
                            uint64_t aMaxTokens) const
{
  return UsedTokens(aProgram) + aMaxTokens <= aBudgetTokens;
}

uint64_t
ProgramRegistry::SpentTokens(const std::string& aProgram) const
{
  const auto program = mPrograms.find(aProgram);
  return program == mPrograms.end() ? 0 : program->second.mSpent;
}

uint64_t
ProgramRegistry::UsedTokens(const std::string& aProgram) const
{
  const auto program = mPrograms.find(aProgram);
  return program == mPrograms.end() ? 0 : program->second.mSpent + program->second.mReserved;
}

std::vector<ProgramEvent>
ProgramRegistry::EndsToRenew(const std::string& aProgram,
                             base::Millis aNow,
                             base::Millis aNeeded,
                             base::Millis aStoreRetention,
                             size_t aMost) const
{
  std::vector<ProgramEvent> ends;
  const auto program = mPrograms.find(aProgram);
  if (program == mPrograms.end()) {
    return ends;
  }
  for (const auto& [id, attempt] : program->second.mAttempts) {
    if (ends.size() >= aMost) {
      break;
    }
    const RecordAge age = AgeOfRecord(attempt.mWrittenAt, aNow, aNeeded, aStoreRetention);
    const bool isEnd = attempt.mState == Reservation::Ended && attempt.mTokens > 0;
    const bool isAbandoned = attempt.mState == Reservation::Granted && age == RecordAge::Expiring;
    if (isAbandoned || (isEnd && age != RecordAge::Fresh)) {
      ends.emplace_back(AttemptEnded{ id, aProgram, isEnd ? attempt.mTokens : attempt.mMaxTokens });
    }
  }
  return ends;
}

const Turn*
ProgramRegistry::FindTurn(const std::string& aAttempt) const
{
  const auto turn = mTurns.find(aAttempt);
  return turn == mTurns.end() ? nullptr : &turn->second;
}

std::optional<std::vector<std::string>>
ProgramRegistry::Chain(const std::string& aLast) const
{
  std::vector<std::string> chain;
  for (std::string attempt = aLast; !attempt.empty();) {
    const Turn* turn = FindTurn(attempt);
    if (turn == nullptr) {
      return std::nullopt;
    }
    chain.push_back(std::exchange(attempt, turn->mPrevious));
  }
  std::reverse(chain.begin(), chain.end());
  return chain;
}

std::string
ProgramRegistry::UnknownTurn(const std::string& aLast) const
{
  std::string attempt = aLast;
  while (!attempt.empty()) {
    const Turn* turn = FindTurn(attempt);
    if (turn == nullptr) {
      break;
    }
    attempt = turn->mPrevious;
  }
  return attempt;
}

size_t
ProgramRegistry::Expire(base::Millis aNow)
{
  const auto expired = [aNow](const auto& aEntry) { return aEntry.second.mExpires < aNow; };
  std::erase_if(mPrograms, expired);
  std::erase_if(mContinuedUnknown, [aNow](const auto& aEntry) { return aEntry.second < aNow; });
  return std::erase_if(mTurns, expired);
}

}
