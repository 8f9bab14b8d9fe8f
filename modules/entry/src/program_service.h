#pragma once

#include "answers.h"
#include "call_registry.h"
#include "call_runner.h"
#include "commits.h"
#include "incoming.h"
#include "program_memory.h"

#include <boost/json/value.hpp>
#include <optional>
#include <string>

namespace sycamore::entry {

// A validated request to create a program.
struct ProgramRequest
{
  std::string mAccount; // Of the parent if empty.
  std::string mRegion;
  uint64_t mBudgetTokens = 0;
  uint32_t mMaxTurns = 0;
  base::Millis mTimeLimit{ 0 };
  base::Millis mIdleLimit{ 0 };
  std::optional<base::ProgramId> mParent;
};

// Handles the requests that create, describe and end programs, and enforces programs' limits.
class ProgramService
{
public:
  ProgramService(const CallDependencies& aDeps,
                 Answers& aAnswers,
                 Commits& aCommits,
                 CallRunner& aRunner,
                 ProgramMemory& aMemory);

  // Creates a program in aPartition, which is owned here.
  void Create(const Incoming& aIncoming, uint32_t aPartition, const ProgramRequest& aRequest);

  void Describe(const Incoming& aIncoming, const base::ProgramId& aId);
  void ShowHistory(const Incoming& aIncoming, const base::ProgramId& aId);
  void End(const Incoming& aIncoming, const base::ProgramId& aId);

  // Ends a program that has reached a limit.
  void EndByLimit(const base::ProgramId& aId, const std::string& aReason);

  // Ends programs whose time or idle limit has passed.
  void OnTick();

private:
  std::optional<base::Error> CheckCreate(uint32_t aPartition, const ProgramRequest& aRequest);
  void OnCreated(const ReplyTo& aReply, const base::ProgramId& aId, bool aAccepted);
  bool AppendEnd(const base::ProgramId& aId,
                 const std::string& aReason,
                 std::optional<ReplyTo> aReply);
  void OnEnded(const base::ProgramId& aId, std::optional<ReplyTo> aReply);
  void NoteSize(const base::ProgramId& aId);
  void CheckLimits(const base::ProgramId& aId, const ProgramRuntime& aRuntime);
  void AnswerEnded(const ReplyTo& aReply, const base::ProgramId& aId);

  CallDependencies mDeps;
  Answers& mAnswers;
  Commits& mCommits;
  CallRunner& mRunner;
  ProgramMemory& mMemory;
  base::TimePoint mNextCheck;
};

// The non-idempotent calls of a program with their outcomes, for callers.
boost::json::value
KeysJson(const ledger::ProgramState& aProgram, bool aUndecidedOnly);

}
