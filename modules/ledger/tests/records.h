#pragma once

#include "sycamore/ledger/fold.h"
#include "sycamore/wire/codec.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace sycamore::ledger::testing {

using base::ProgramId;
using wire::LogEntryT;
using wire::LogOutcomeKind;

inline std::unique_ptr<wire::LogProgramT>
Wire(const ProgramId& aId)
{
  auto program = std::make_unique<wire::LogProgramT>();
  program->partition = aId.mPartition;
  program->creation_offset = aId.mCreationOffset;
  program->random = aId.mRandom;
  return program;
}

inline LogEntryT
Created(const ProgramId& aId, uint64_t aBudget, uint64_t aReserved)
{
  wire::LogProgramCreatedT record;
  record.program = Wire(aId);
  record.account = "account";
  record.region = "lahore-a";
  record.budget_tokens = aBudget;
  record.reserved_tokens = aReserved;
  return wire::MakeEntry(std::move(record));
}

inline LogEntryT
SubAgent(const ProgramId& aId, const ProgramId& aParent, uint64_t aReserved)
{
  wire::LogProgramCreatedT record;
  record.program = Wire(aId);
  record.account = "account";
  record.region = "lahore-a";
  record.parent = Wire(aParent);
  record.reserved_tokens = aReserved;
  return wire::MakeEntry(std::move(record));
}

inline LogEntryT
Reserved(const ProgramId& aId, uint64_t aTokens)
{
  wire::LogReservedT record;
  record.program = Wire(aId);
  record.reserved_tokens = aTokens;
  return wire::MakeEntry(std::move(record));
}

inline LogEntryT
Turn(const ProgramId& aId, uint32_t aSeq, uint64_t aUsed, uint64_t aReserved)
{
  wire::LogTurnT record;
  record.program = Wire(aId);
  record.seq = aSeq;
  record.request_digest = aSeq * 1000;
  record.request = "request";
  record.answer = "answer";
  record.used_tokens = aUsed;
  record.reserved_tokens = aReserved;
  return wire::MakeEntry(std::move(record));
}

inline LogEntryT
RewrittenTurn(const ProgramId& aId, uint32_t aSeq)
{
  LogEntryT entry = Turn(aId, aSeq, 0, 0);
  entry.record.AsLogTurn()->rewritten = true;
  return entry;
}

inline LogEntryT
Intent(const ProgramId& aId, uint32_t aSeq, const std::string& aKey)
{
  wire::LogIntentT record;
  record.program = Wire(aId);
  record.seq = aSeq;
  record.key = aKey;
  record.request_digest = aSeq * 1000;
  record.request = "notice";
  record.target = "tag-registry";
  record.sidecar = "lahore-a-7";
  record.sidecar_incarnation = 77;
  return wire::MakeEntry(std::move(record));
}

inline LogEntryT
Outcome(const ProgramId& aId, uint32_t aSeq, const std::string& aKey, LogOutcomeKind aKind)
{
  wire::LogOutcomeT record;
  record.program = Wire(aId);
  record.seq = aSeq;
  record.key = aKey;
  record.outcome = aKind;
  record.status = 200;
  record.answer = "deposited";
  return wire::MakeEntry(std::move(record));
}

inline LogEntryT
Ended(const ProgramId& aId)
{
  wire::LogProgramEndedT record;
  record.program = Wire(aId);
  record.reason = "caller";
  return wire::MakeEntry(std::move(record));
}

inline LogEntryT
Released(uint64_t aEpoch)
{
  wire::LogReleaseT record;
  record.epoch = aEpoch;
  return wire::MakeEntry(record);
}

inline wire::LogClaimT
ClaimRecord(uint64_t aEpoch, uint64_t aIncarnation)
{
  wire::LogClaimT record;
  record.epoch = aEpoch;
  record.entry = "entry-" + std::to_string(aIncarnation);
  record.incarnation = aIncarnation;
  record.peer_address = "127.0.0.1:1";
  return record;
}

// A batch of partition 3, the partition of all tests.
inline wire::LogBatchT
Batch(uint64_t aEpoch, uint64_t aIncarnation, uint64_t aSequence)
{
  wire::LogBatchT batch;
  batch.partition = 3;
  batch.epoch = aEpoch;
  batch.incarnation = aIncarnation;
  batch.sequence = aSequence;
  return batch;
}

inline wire::LogBatchT
ClaimBatch(uint64_t aEpoch, uint64_t aIncarnation)
{
  wire::LogBatchT batch = Batch(aEpoch, aIncarnation, 0);
  batch.entries.push_back(
    std::make_unique<LogEntryT>(wire::MakeEntry(ClaimRecord(aEpoch, aIncarnation))));
  return batch;
}

inline wire::LogBatchT
With(wire::LogBatchT aBatch, std::vector<LogEntryT> aEntries)
{
  for (LogEntryT& entry : aEntries) {
    aBatch.entries.push_back(std::make_unique<LogEntryT>(std::move(entry)));
  }
  return aBatch;
}

}
