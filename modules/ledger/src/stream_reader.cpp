#include "stream_reader.h"

#include "convert.h"
#include "scan_stream.h"
#include "sycamore/ledger/fold.h"

#include <algorithm>

namespace sycamore::ledger {

using base::Error;
using base::ErrorKind;
using base::IsOk;
using base::Result;
using platform::LogPage;

// Retention may drop records before a slow reader reaches them. Each attempt starts from a newer
// checkpoint.
static constexpr int kOpenAttempts = 5;

static const wire::LogCheckpointT*
CheckpointOf(const wire::LogBatchT& aBatch)
{
  for (const auto& entry : aBatch.entries) {
    if (const auto* checkpoint = entry->record.AsLogCheckpoint()) {
      return checkpoint;
    }
  }
  return nullptr;
}

StreamReader::StreamReader(platform::LogClient& aLog)
  : mLog(aLog)
{
}

Result<OpenedStream>
StreamReader::Open(const std::string& aStream, uint32_t aPartition)
{
  for (int attempt = 0; attempt < kOpenAttempts; ++attempt) {
    Result<std::optional<OpenedStream>> opened = TryOpen(aStream, aPartition);
    if (!IsOk(opened)) {
      return base::ErrorOf(opened);
    }
    if (std::optional<OpenedStream> stream = base::TakeValue(std::move(opened))) {
      return std::move(*stream);
    }
  }
  return Error{ ErrorKind::LogUnavailable,
                "retention drops records faster than they are read",
                "" };
}

Result<std::optional<OpenedStream>>
StreamReader::TryOpen(const std::string& aStream, uint32_t aPartition)
{
  const Result<LogPage> last = mLog.ReadLast(aStream);
  if (!IsOk(last)) {
    return base::ErrorOf(last);
  }
  const LogPage& page = base::ValueOf(last);
  Result<std::optional<PartitionState>> named = NamedCheckpoint(aStream, aPartition, page);
  if (!IsOk(named)) {
    return base::ErrorOf(named);
  }
  if (std::optional<PartitionState> state = base::TakeValue(std::move(named))) {
    return FoldFrom(aStream, std::move(*state));
  }
  if (page.mFirst > 0) {
    return RecoverByScan(aStream, aPartition, page.mFirst);
  }
  PartitionState empty;
  empty.mPartition = aPartition;
  return FoldFrom(aStream, std::move(empty));
}

// The state of the checkpoint that the last batch names, if it and all later records are retained.
Result<std::optional<PartitionState>>
StreamReader::NamedCheckpoint(const std::string& aStream, uint32_t aPartition, const LogPage& aLast)
{
  if (aLast.mRecords.empty()) {
    return std::optional<PartitionState>();
  }
  const Result<wire::LogBatchT> batch = wire::DecodeBatch(aLast.mRecords.back().mData);
  if (!IsOk(batch) || base::ValueOf(batch).checkpoint_offset == kNoOffset) {
    return std::optional<PartitionState>();
  }
  const Result<std::optional<wire::LogBatchT>> named =
    ReadBatch(mLog, aStream, base::ValueOf(batch).checkpoint_offset);
  if (!IsOk(named)) {
    return base::ErrorOf(named);
  }
  if (!base::ValueOf(named)) {
    return std::optional<PartitionState>();
  }
  const wire::LogCheckpointT* checkpoint = CheckpointOf(*base::ValueOf(named));
  if (checkpoint == nullptr || checkpoint->folded_through + 1 < aLast.mFirst) {
    return std::optional<PartitionState>();
  }
  return std::optional<PartitionState>(RestoreCheckpoint(aPartition, *checkpoint));
}

// Scans all retained records and folds from the newest checkpoint of any writer. Each checkpoint
// holds the exact fold through its folded_through, even if its batch is ignored as that of an
// earlier owner. Without a checkpoint, the highest epoch among the retained batches is the current
// one, since a claim exceeds it by one at most.
Result<std::optional<OpenedStream>>
StreamReader::RecoverByScan(const std::string& aStream, uint32_t aPartition, uint64_t aFirst)
{
  std::optional<PartitionState> best;
  uint64_t epoch = 0;
  const auto scanned =
    ScanStream(mLog, aStream, aFirst, [&](uint64_t, const wire::LogBatchT& aBatch) {
      epoch = std::max(epoch, aBatch.epoch);
      const wire::LogCheckpointT* checkpoint = CheckpointOf(aBatch);
      if (checkpoint != nullptr && checkpoint->folded_through + 1 >= aFirst &&
          (!best || best->mNextOffset <= checkpoint->folded_through)) {
        best = RestoreCheckpoint(aPartition, *checkpoint);
      }
    });
  if (!IsOk(scanned)) {
    return base::ErrorOf(scanned);
  }
  if (!base::ValueOf(scanned)) {
    return std::optional<OpenedStream>();
  }
  if (best) {
    return FoldFrom(aStream, std::move(*best));
  }
  OpenedStream lost;
  lost.mHistoryLost = true;
  lost.mState.mPartition = aPartition;
  lost.mState.mNextOffset = *base::ValueOf(scanned);
  // With no record left, the number of records ever written bounds the number of claims.
  lost.mState.mEpoch = epoch > 0 ? epoch : lost.mState.mNextOffset;
  return std::optional<OpenedStream>(std::move(lost));
}

Result<std::optional<OpenedStream>>
StreamReader::FoldFrom(const std::string& aStream, PartitionState aState)
{
  OpenedStream opened;
  opened.mState = std::move(aState);
  const uint64_t from = opened.mState.mNextOffset;
  const auto scanned =
    ScanStream(mLog, aStream, from, [&opened](uint64_t aOffset, const wire::LogBatchT& aBatch) {
      ApplyBatch(opened.mState, aOffset, aBatch);
    });
  if (!IsOk(scanned)) {
    return base::ErrorOf(scanned);
  }
  if (!base::ValueOf(scanned)) {
    return std::optional<OpenedStream>();
  }
  opened.mState.mNextOffset = *base::ValueOf(scanned);
  return std::optional<OpenedStream>(std::move(opened));
}

// Copies the text of the call from aEntry to aTurn. Returns false if aEntry is not about the call.
static bool
CopyText(const wire::LogEntryT& aEntry,
         const base::ProgramId& aProgram,
         uint32_t aSeq,
         wire::LogTurnT& aTurn)
{
  const auto matches = [&](const auto& aRecord) {
    return aRecord.seq == aSeq && aRecord.program && FromWire(*aRecord.program) == aProgram;
  };
  if (const auto* turn = aEntry.record.AsLogTurn(); turn != nullptr && matches(*turn)) {
    aTurn = *turn;
    return true;
  }
  if (const auto* intent = aEntry.record.AsLogIntent(); intent != nullptr && matches(*intent)) {
    aTurn.request = intent->request;
    aTurn.request_digest = intent->request_digest;
    return true;
  }
  if (const auto* outcome = aEntry.record.AsLogOutcome(); outcome != nullptr && matches(*outcome)) {
    aTurn.answer = outcome->answer;
    aTurn.status = outcome->status;
    return true;
  }
  return false;
}

Result<wire::LogTurnT>
StreamReader::ReadTurn(const std::string& aStream,
                       uint64_t aOffset,
                       const base::ProgramId& aProgram,
                       uint32_t aSeq)
{
  const Result<std::optional<wire::LogBatchT>> read = ReadBatch(mLog, aStream, aOffset);
  if (!IsOk(read)) {
    return base::ErrorOf(read);
  }
  wire::LogTurnT turn;
  turn.program = ToWire(aProgram);
  turn.seq = aSeq;
  turn.kind = wire::LogTurnKind::Tool;
  bool found = false;
  if (base::ValueOf(read)) {
    for (const auto& entry : base::ValueOf(read)->entries) {
      found = CopyText(*entry, aProgram, aSeq, turn) || found;
    }
  }
  if (!found) {
    return Error{ ErrorKind::CallNotFound,
                  "the log has no record of this call at its offset",
                  "seq" };
  }
  return turn;
}

}
