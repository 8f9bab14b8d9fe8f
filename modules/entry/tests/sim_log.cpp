#include "sim_log.h"

#include <utility>

namespace sycamore::entry::testing {

uint64_t
SimLog::Append(uint32_t aPartition, wire::LogBatchT aBatch)
{
  auto& stream = mStreams[aPartition];
  stream.push_back(std::make_shared<const wire::LogBatchT>(std::move(aBatch)));
  return stream.size() - 1;
}

ledger::PartitionState
SimLog::Fold(uint32_t aPartition)
{
  ledger::PartitionState state;
  state.mPartition = aPartition;
  uint64_t offset = 0;
  for (const Batch& batch : mStreams[aPartition]) {
    ledger::ApplyBatch(state, offset++, *batch);
  }
  return state;
}

template<typename Record>
static bool
BelongsTo(const Record* aRecord, const base::ProgramId& aProgram, uint32_t aSeq)
{
  return aRecord != nullptr && aRecord->seq == aSeq && aRecord->program->random == aProgram.mRandom;
}

base::Result<wire::LogTurnT>
SimLog::ReadTurn(uint32_t aPartition,
                 uint64_t aOffset,
                 const base::ProgramId& aProgram,
                 uint32_t aSeq)
{
  if (mDown) {
    return base::Error{ base::ErrorKind::LogUnavailable, "down", "" };
  }
  for (const auto& entry : mStreams[aPartition].at(aOffset)->entries) {
    if (const auto* turn = entry->record.AsLogTurn(); BelongsTo(turn, aProgram, aSeq)) {
      return wire::LogTurnT(*turn);
    }
    wire::LogTurnT partial;
    if (const auto* intent = entry->record.AsLogIntent(); BelongsTo(intent, aProgram, aSeq)) {
      partial.request = intent->request;
      return partial;
    }
    if (const auto* outcome = entry->record.AsLogOutcome(); BelongsTo(outcome, aProgram, aSeq)) {
      partial.answer = outcome->answer;
      partial.status = outcome->status;
      return partial;
    }
  }
  return base::Error{ base::ErrorKind::CallNotFound, "the batch has no record of the call", "" };
}

SimLedger::SimLedger(SimLog& aLog, uint64_t aIncarnation)
  : mLog(aLog)
  , mIncarnation(aIncarnation)
{
}

void
SimLedger::Open(uint32_t aPartition)
{
  Abandon(aPartition);
  mOpening.push_back(aPartition);
}

bool
SimLedger::Claim(uint32_t aPartition, wire::LogClaimT aClaim, uint64_t aTicket)
{
  const auto found = mFollowers.find(aPartition);
  if (found == mFollowers.end()) {
    return false;
  }
  Follower& follower = found->second;
  follower.mEpoch = aClaim.epoch;
  follower.mSequence = 0;
  follower.mQueued = wire::LogBatchT{};
  follower.mQueued.entries.push_back(
    std::make_unique<wire::LogEntryT>(wire::MakeEntry(std::move(aClaim))));
  follower.mTickets = { aTicket };
  return true;
}

bool
SimLedger::Append(uint32_t aPartition, wire::LogEntryT aEntry, uint64_t aTicket)
{
  const auto found = mFollowers.find(aPartition);
  if (found == mFollowers.end() || mFull) {
    return false;
  }
  found->second.mQueued.entries.push_back(std::make_unique<wire::LogEntryT>(std::move(aEntry)));
  found->second.mTickets.push_back(aTicket);
  return true;
}

void
SimLedger::Abandon(uint32_t aPartition)
{
  mFollowers.erase(aPartition);
}

void
SimLedger::ReadTurn(uint32_t aPartition,
                    uint64_t aOffset,
                    const base::ProgramId& aProgram,
                    uint32_t aSeq,
                    uint64_t aTicket)
{
  mEvents.emplace_back(
    ledger::TurnRead{ aTicket, mLog.ReadTurn(aPartition, aOffset, aProgram, aSeq) });
}

void
SimLedger::Flush()
{
  if (mPaused) {
    return;
  }
  for (const uint32_t partition : std::exchange(mOpening, {})) {
    if (mLog.mDown) {
      mOpening.push_back(partition);
      continue;
    }
    auto state = std::make_shared<ledger::PartitionState>(mLog.Fold(partition));
    mFollowers[partition].mNext = state->mNextOffset;
    mEvents.emplace_back(ledger::PartitionOpened{ std::move(state) });
  }
  for (auto& [partition, follower] : mFollowers) {
    FlushPartition(partition, follower);
  }
}

void
SimLedger::FlushPartition(uint32_t aPartition, Follower& aFollower)
{
  if (mLog.mDown) {
    if (!aFollower.mTickets.empty()) {
      mEvents.emplace_back(ledger::LogAccessFailed{ aPartition, "down" });
    }
    return;
  }
  uint64_t own = ledger::kNoOffset;
  const std::vector<uint64_t> tickets = std::exchange(aFollower.mTickets, {});
  if (!tickets.empty()) {
    wire::LogBatchT batch = std::exchange(aFollower.mQueued, wire::LogBatchT{});
    batch.partition = aPartition;
    batch.epoch = aFollower.mEpoch;
    batch.incarnation = mIncarnation;
    batch.sequence = aFollower.mSequence++;
    own = mLog.Append(aPartition, std::move(batch));
  }
  const auto& stream = mLog.Stream(aPartition);
  while (aFollower.mNext < stream.size()) {
    const uint64_t offset = aFollower.mNext++;
    mEvents.emplace_back(ledger::BatchRead{
      aPartition, offset, stream[offset], offset == own ? tickets : std::vector<uint64_t>{} });
  }
}

std::vector<ledger::LedgerEvent>
SimLedger::TakeEvents()
{
  return std::exchange(mEvents, {});
}

}
