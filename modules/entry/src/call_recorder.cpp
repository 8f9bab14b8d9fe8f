#include "call_recorder.h"

#include "wire_ids.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace sycamore::entry {

CallRecorder::CallRecorder(CallRegistry& aCalls,
                           Commits& aCommits,
                           PartitionMap& aPartitions,
                           ProgramRegistry& aPrograms)
  : mCalls(aCalls)
  , mCommits(aCommits)
  , mPartitions(aPartitions)
  , mPrograms(aPrograms)
{
}

// aPending is the increase of spent plus reserved tokens that the record causes.
bool
CallRecorder::Append(const Call& aCall, wire::LogEntryT aEntry, uint64_t aPending, Done aDone)
{
  const base::ProgramId program = aCall.mProgram;
  const uint32_t seq = aCall.mRequest.mSeq;
  const ledger::PartitionState* state = mPartitions.Owned(program.mPartition);
  if (state == nullptr) {
    return false;
  }
  const base::ProgramId root = ledger::BudgetRoot(*state, program);
  const bool queued = mCommits.Append(
    program.mPartition,
    std::move(aEntry),
    [this, program, seq, root, aPending, done = std::move(aDone)](CommitResult aResult, uint64_t) {
      mPrograms.RemovePending(root, aPending);
      Call* call = mCalls.Find(program, seq);
      if (call != nullptr && aResult == CommitResult::Accepted) {
        done(*call);
      }
    });
  if (queued) {
    mPrograms.AddPending(root, aPending);
  }
  return queued;
}

bool
CallRecorder::Reserve(Call& aCall, uint64_t aTokens, uint64_t aIncrease, Done aDone)
{
  wire::LogReservedT record;
  record.program = ToLog(aCall.mProgram);
  record.reserved_tokens = aTokens;
  return Append(aCall, wire::MakeEntry(std::move(record)), aIncrease, std::move(aDone));
}

bool
CallRecorder::Intent(Call& aCall, Done aDone)
{
  wire::LogIntentT record;
  record.program = ToLog(aCall.mProgram);
  record.seq = aCall.mRequest.mSeq;
  record.key = aCall.mRequest.mKey;
  record.request_digest = aCall.mRequest.mDigest;
  record.request = aCall.mRequest.mText;
  record.target = aCall.mAttempt.mRoute.mTarget;
  record.sidecar = aCall.mAttempt.mRoute.mSidecar;
  record.sidecar_incarnation = aCall.mAttempt.mRoute.mIncarnation;
  return Append(aCall, wire::MakeEntry(std::move(record)), 0, std::move(aDone));
}

bool
CallRecorder::Turn(Call& aCall, Done aDone)
{
  const ledger::PartitionState* state = mPartitions.Owned(aCall.mProgram.mPartition);
  if (state == nullptr) {
    return false;
  }
  const uint64_t present = mPrograms.Reserved(*state, aCall.mProgram);
  // The engine may report more tokens than were reserved; capping them keeps the program within its
  // budget.
  const uint64_t used = std::min(aCall.mUsedTokens, present);
  uint64_t reserved = present;
  if (aCall.IsModel()) {
    // At most half of the free tokens, so that sub-agents of the same budget can still reserve.
    const uint64_t available = (present - used) + mPrograms.FreeTokens(*state, aCall.mProgram) / 2;
    reserved = std::min(aCall.mAttemptTokens + aCall.mRequest.mNewTokens, available);
  }
  wire::LogTurnT record;
  record.program = ToLog(aCall.mProgram);
  record.seq = aCall.mRequest.mSeq;
  record.kind = aCall.mResult->mKind;
  record.request_digest = aCall.mRequest.mDigest;
  record.request = aCall.mResult->mRequest;
  record.answer = aCall.mResult->mAnswer;
  record.status = aCall.mResult->mStatus;
  record.used_tokens = used;
  record.reserved_tokens = reserved;
  const uint64_t after = used + reserved;
  const uint64_t increase = after > present ? after - present : 0;
  return Append(aCall, wire::MakeEntry(std::move(record)), increase, std::move(aDone));
}

bool
CallRecorder::Outcome(Call& aCall, Done aDone)
{
  assert(aCall.mOutcome);
  wire::LogOutcomeT record;
  record.program = ToLog(aCall.mProgram);
  record.seq = aCall.mRequest.mSeq;
  record.key = aCall.mRequest.mKey;
  record.outcome = *aCall.mOutcome;
  if (aCall.mResult != nullptr) {
    record.status = aCall.mResult->mStatus;
    record.answer = aCall.mResult->mAnswer;
  }
  return Append(aCall, wire::MakeEntry(std::move(record)), 0, std::move(aDone));
}

}
