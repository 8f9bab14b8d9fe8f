#include "program_service.h"

#include "call_intake.h"
#include "sycamore/base/log.h"
#include "sycamore/base/random.h"
#include "wire_ids.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <utility>
#include <vector>

namespace sycamore::entry {

namespace json = boost::json;
using base::Error;
using base::ErrorKind;
using base::LogEvent;

// Tokens reserved at creation, so that the first call needs no Reserved record of its own.
static constexpr uint64_t kFirstReservation = 4096;

static constexpr base::Millis kLimitCheckInterval{ 1000 };

ProgramService::ProgramService(const CallDependencies& aDeps,
                               Answers& aAnswers,
                               Commits& aCommits,
                               CallRunner& aRunner,
                               ProgramMemory& aMemory)
  : mDeps(aDeps)
  , mAnswers(aAnswers)
  , mCommits(aCommits)
  , mRunner(aRunner)
  , mMemory(aMemory)
  , mNextCheck(aDeps.mContext.mStarted)
{
}

std::optional<Error>
ProgramService::CheckCreate(uint32_t aPartition, const ProgramRequest& aRequest)
{
  const Context& context = mDeps.mContext;
  if (context.mDraining) {
    return Error{ ErrorKind::Stopping, "the entry is stopping; try again", "" };
  }
  if (auto stale = mDeps.mTable.CheckAge()) {
    return stale;
  }
  if (mDeps.mTable.IsLogUnavailable() || mDeps.mPartitions.IsLogFailing(aPartition)) {
    return Error{ ErrorKind::LogUnavailable, "the log is not available; try again", "" };
  }
  if (!aRequest.mParent) {
    if (!mDeps.mTable.KnowsAccount(aRequest.mAccount)) {
      return Error{ ErrorKind::UnknownAccount, "the account has no row in the table", "account" };
    }
    return std::nullopt;
  }
  const ledger::PartitionState& state = *mDeps.mPartitions.Owned(aPartition);
  const auto parent = FindProgram(state, *aRequest.mParent);
  if (!base::IsOk(parent)) {
    return Error{ base::ErrorOf(parent).mKind, base::ErrorOf(parent).mMessage, "parent" };
  }
  if (mDeps.mPrograms.IsEnding(state, *aRequest.mParent)) {
    return Error{ ErrorKind::ProgramEnded, "the parent has ended", "parent" };
  }
  if (!aRequest.mAccount.empty() && aRequest.mAccount != base::ValueOf(parent)->mAccount) {
    return Error{ ErrorKind::InvalidField, "account must be that of the parent", "account" };
  }
  return std::nullopt;
}

void
ProgramService::Create(const Incoming& aIncoming,
                       uint32_t aPartition,
                       const ProgramRequest& aRequest)
{
  if (const auto refusal = CheckCreate(aPartition, aRequest)) {
    mAnswers.Fail(aIncoming.mReply, *refusal);
    return;
  }
  const ledger::PartitionState& state = *mDeps.mPartitions.Owned(aPartition);
  const base::ProgramId id{ aPartition, state.mNextOffset, base::RandomId() };
  wire::LogProgramCreatedT record;
  record.program = ToLog(id);
  record.account = aRequest.mAccount;
  record.region = aRequest.mRegion;
  record.budget_tokens = aRequest.mBudgetTokens;
  record.max_turns = aRequest.mMaxTurns;
  record.time_limit_ms = static_cast<uint64_t>(aRequest.mTimeLimit.count());
  record.idle_limit_ms = static_cast<uint64_t>(aRequest.mIdleLimit.count());
  base::ProgramId root = id;
  uint64_t free = aRequest.mBudgetTokens;
  if (aRequest.mParent) {
    const ledger::ProgramState& parent = state.mPrograms.at(*aRequest.mParent);
    record.parent = ToLog(*aRequest.mParent);
    record.budget_tokens = 0;
    record.account = parent.mAccount;
    record.region = aRequest.mRegion.empty() ? parent.mRegion : aRequest.mRegion;
    root = ledger::BudgetRoot(state, *aRequest.mParent);
    free = mDeps.mPrograms.FreeTokens(state, *aRequest.mParent) / 2;
  }
  const uint64_t reserved = std::min(kFirstReservation, free);
  record.reserved_tokens = reserved;
  const bool queued = mCommits.Append(
    aPartition,
    wire::MakeEntry(std::move(record)),
    [this, id, root, reserved, reply = aIncoming.mReply](CommitResult aResult, uint64_t) {
      mDeps.mPrograms.RemovePending(root, reserved);
      OnCreated(reply, id, aResult == CommitResult::Accepted);
    });
  if (!queued) {
    mAnswers.Fail(
      aIncoming.mReply,
      { ErrorKind::LogUnavailable, "too many records are waiting to be written to the log", "" });
    return;
  }
  mDeps.mPrograms.AddPending(root, root == id ? 0 : reserved);
}

void
ProgramService::OnCreated(const ReplyTo& aReply, const base::ProgramId& aId, bool aAccepted)
{
  if (!aAccepted) {
    mAnswers.Fail(aReply, { ErrorKind::NotOwner, "the partition has a new owner; try again", "" });
    return;
  }
  mDeps.mPrograms.Add(aId);
  ++mDeps.mContext.mStats.mProgramsCreated;
  base::Log(LogEvent::ProgramCreated, "{}", base::ToString(aId));
  mAnswers.Json(aReply, 201, json::object{ { "program", base::ToString(aId) } });
}

static std::string_view
OutcomeName(const std::optional<wire::LogOutcomeKind>& aOutcome)
{
  if (!aOutcome) {
    return "in_progress";
  }
  switch (*aOutcome) {
    case wire::LogOutcomeKind::Answered:
      return "answered";
    case wire::LogOutcomeKind::NotRun:
      return "not_run";
    case wire::LogOutcomeKind::Unknown:
      return "unknown";
  }
  return "";
}

json::value
KeysJson(const ledger::ProgramState& aProgram, bool aUndecidedOnly)
{
  json::array keys;
  for (const auto& [name, key] : aProgram.mKeys) {
    const bool decided = key.mOutcome && *key.mOutcome != wire::LogOutcomeKind::Unknown;
    if (!aUndecidedOnly || !decided) {
      keys.push_back(json::object{
        { "key", name }, { "seq", key.mSeq }, { "outcome", OutcomeName(key.mOutcome) } });
    }
  }
  return keys;
}

void
ProgramService::Describe(const Incoming& aIncoming, const base::ProgramId& aId)
{
  const ledger::PartitionState& state = *mDeps.mPartitions.Owned(aId.mPartition);
  const auto found = FindProgram(state, aId);
  if (!base::IsOk(found)) {
    mAnswers.Fail(aIncoming.mReply, base::ErrorOf(found));
    return;
  }
  const ledger::ProgramState& program = *base::ValueOf(found);
  const base::ProgramId root = ledger::BudgetRoot(state, aId);
  const auto rootState = state.mPrograms.find(root);
  const uint64_t budget = rootState == state.mPrograms.end() ? 0 : rootState->second.mBudgetTokens;
  mAnswers.Json(aIncoming.mReply,
                200,
                json::object{ { "program", base::ToString(aId) },
                              { "state", program.mEnded ? "ended" : "live" },
                              { "end_reason", program.mEndReason },
                              { "account", program.mAccount },
                              { "region", program.mRegion },
                              { "budget",
                                json::object{ { "root", base::ToString(root) },
                                              { "tokens", budget },
                                              { "spent", program.mSpentTokens },
                                              { "reserved", program.mReservedTokens },
                                              { "free", ledger::FreeTokens(state, root) } } },
                              { "max_turns", program.mMaxTurns },
                              { "next_seq", program.mNextSeq },
                              { "calls", KeysJson(program, false) } });
}

static json::value
TurnJson(const TurnText& aText)
{
  json::error_code failure;
  const json::value request = json::parse(aText.mRequest, failure);
  json::value answer = json::parse(aText.mAnswer, failure);
  json::object turn{ { "seq", aText.mSeq },
                     { "kind", aText.mKind == wire::LogTurnKind::Model ? "model" : "tool" },
                     { "request", request } };
  if (json::object* fields = answer.if_object()) {
    for (auto& field : *fields) {
      turn[field.key()] = std::move(field.value());
    }
  }
  return turn;
}

void
ProgramService::ShowHistory(const Incoming& aIncoming, const base::ProgramId& aId)
{
  const ledger::PartitionState& state = *mDeps.mPartitions.Owned(aId.mPartition);
  const auto found = FindProgram(state, aId);
  if (!base::IsOk(found)) {
    mAnswers.Fail(aIncoming.mReply, base::ErrorOf(found));
    return;
  }
  const ledger::ProgramState& program = *base::ValueOf(found);
  mDeps.mHistory.Load(aId,
                      program.mTurns,
                      program.mKeys,
                      [this, aId, reply = aIncoming.mReply](
                        const base::Result<std::vector<History::TextPtr>>& aTexts) {
                        if (!base::IsOk(aTexts)) {
                          mAnswers.Fail(reply, base::ErrorOf(aTexts), base::RunState::NotACall);
                          return;
                        }
                        json::array turns;
                        for (const History::TextPtr& text : base::ValueOf(aTexts)) {
                          turns.push_back(TurnJson(*text));
                        }
                        mAnswers.Json(reply,
                                      200,
                                      json::object{ { "program", base::ToString(aId) },
                                                    { "turns", std::move(turns) } });
                      });
}

void
ProgramService::End(const Incoming& aIncoming, const base::ProgramId& aId)
{
  const ledger::PartitionState& state = *mDeps.mPartitions.Owned(aId.mPartition);
  const auto found = FindProgram(state, aId);
  if (!base::IsOk(found)) {
    mAnswers.Fail(aIncoming.mReply, base::ErrorOf(found));
    return;
  }
  if (base::ValueOf(found)->mEnded) {
    AnswerEnded(aIncoming.mReply, aId);
    return;
  }
  if (mDeps.mTable.IsLogUnavailable() || mDeps.mPartitions.IsLogFailing(aId.mPartition)) {
    mAnswers.Fail(aIncoming.mReply,
                  { ErrorKind::LogUnavailable, "the log is not available; try again", "" });
    return;
  }
  if (!AppendEnd(aId, "caller", aIncoming.mReply)) {
    mAnswers.Fail(
      aIncoming.mReply,
      { ErrorKind::LogUnavailable, "too many records are waiting to be written to the log", "" });
  }
}

void
ProgramService::EndByLimit(const base::ProgramId& aId, const std::string& aReason)
{
  const ledger::PartitionState* state = mDeps.mPartitions.Owned(aId.mPartition);
  if (state != nullptr && !mDeps.mPrograms.IsEnding(*state, aId)) {
    AppendEnd(aId, aReason, std::nullopt);
  }
}

bool
ProgramService::AppendEnd(const base::ProgramId& aId,
                          const std::string& aReason,
                          std::optional<ReplyTo> aReply)
{
  const ledger::PartitionState& state = *mDeps.mPartitions.Owned(aId.mPartition);
  std::vector<base::ProgramId> tree;
  ProgramRegistry::ForEachInTree(
    state, aId, [&](const base::ProgramId& aOne) { tree.push_back(aOne); });
  for (const base::ProgramId& one : tree) {
    // Lowers the reservation first: the fold counts what an ended program has reserved as spent.
    mDeps.mReservations.LowerReservation(state, one);
  }
  wire::LogProgramEndedT record;
  record.program = ToLog(aId);
  record.reason = aReason;
  const bool queued = mCommits.Append(
    aId.mPartition,
    wire::MakeEntry(std::move(record)),
    [this, aId, tree, aReply](CommitResult aResult, uint64_t) {
      if (aResult == CommitResult::Accepted) {
        for (const base::ProgramId& one : tree) {
          OnEnded(one, one == aId ? aReply : std::nullopt);
        }
      } else if (aReply) {
        mAnswers.Fail(*aReply, { ErrorKind::OwnerUnavailable, "the owner changed; try again", "" });
      }
    });
  if (!queued) {
    return false;
  }
  for (const base::ProgramId& one : tree) {
    if (ProgramRuntime* runtime = mDeps.mPrograms.Find(one)) {
      runtime->mEnding = true;
    }
    mRunner.OnProgramEnding(one);
  }
  return true;
}

void
ProgramService::OnEnded(const base::ProgramId& aId, std::optional<ReplyTo> aReply)
{
  if (mDeps.mPrograms.Find(aId) != nullptr) {
    ++mDeps.mContext.mStats.mProgramsEnded;
    NoteSize(aId);
    base::Log(LogEvent::ProgramEnded, "{}", base::ToString(aId));
  }
  mDeps.mPrograms.Remove(aId);
  mDeps.mHistory.Erase(aId);
  mMemory.Release(aId);
  if (aReply) {
    AnswerEnded(*aReply, aId);
  }
}

void
ProgramService::NoteSize(const base::ProgramId& aId)
{
  const ledger::PartitionState* state = mDeps.mPartitions.Owned(aId.mPartition);
  if (state == nullptr) {
    return;
  }
  const auto found = state->mPrograms.find(aId);
  if (found != state->mPrograms.end()) {
    mDeps.mPrograms.NoteSize(found->second);
  }
}

void
ProgramService::AnswerEnded(const ReplyTo& aReply, const base::ProgramId& aId)
{
  const ledger::PartitionState* state = mDeps.mPartitions.Owned(aId.mPartition);
  const auto found = state == nullptr ? std::nullopt : std::optional(state->mPrograms.find(aId));
  if (!found || *found == state->mPrograms.end()) {
    mAnswers.Fail(aReply, { ErrorKind::OwnerUnavailable, "the owner changed; try again", "" });
    return;
  }
  const ledger::ProgramState& program = (*found)->second;
  mAnswers.Json(aReply,
                200,
                json::object{ { "program", base::ToString(aId) },
                              { "state", "ended" },
                              { "end_reason", program.mEndReason },
                              { "outstanding", KeysJson(program, true) } });
}

void
ProgramService::OnTick()
{
  const base::TimePoint now = mDeps.mContext.mNow;
  if (now < mNextCheck) {
    return;
  }
  mNextCheck = now + kLimitCheckInterval;
  std::vector<base::ProgramId> live;
  mDeps.mPrograms.ForEach(
    [&](const base::ProgramId& aId, const ProgramRuntime&) { live.push_back(aId); });
  for (const base::ProgramId& id : live) {
    if (const ProgramRuntime* runtime = mDeps.mPrograms.Find(id)) {
      CheckLimits(id, *runtime);
    }
  }
}

void
ProgramService::CheckLimits(const base::ProgramId& aId, const ProgramRuntime& aRuntime)
{
  const ledger::PartitionState* state = mDeps.mPartitions.Owned(aId.mPartition);
  if (state == nullptr || aRuntime.mEnding) {
    return;
  }
  const auto found = state->mPrograms.find(aId);
  if (found == state->mPrograms.end() || found->second.mEnded) {
    // A sub-agent that AppendEnd did not find: its creation was appended, but not folded, when the
    // end of its parent was appended.
    OnEnded(aId, std::nullopt);
    return;
  }
  const ledger::ProgramState& program = found->second;
  const base::TimePoint now = mDeps.mContext.mNow;
  const bool tooOld =
    program.mTimeLimit.count() > 0 && now - aRuntime.mCreatedAt >= program.mTimeLimit;
  const bool idle = program.mIdleLimit.count() > 0 &&
                    now - aRuntime.mLastActive >= program.mIdleLimit &&
                    !mDeps.mCalls.AnyInFlight(aId) && program.mChildren.empty();
  if (tooOld) {
    EndByLimit(aId, "time_limit");
  } else if (idle) {
    EndByLimit(aId, "idle_limit");
  }
}

}
