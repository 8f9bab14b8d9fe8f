#include "entry_size.h"

namespace sycamore::ledger {

// Estimated sizes without texts: ids, numbers and the overhead of the encoding.
static constexpr size_t kRecordBytes = 128;
static constexpr size_t kTurnIndexBytes = 64;
static constexpr size_t kKeyBytes = 128;

static size_t
CheckpointBytes(const wire::LogCheckpointT& aCheckpoint)
{
  size_t bytes = 0;
  for (const auto& program : aCheckpoint.programs) {
    bytes += kRecordBytes + program->turns.size() * kTurnIndexBytes;
    for (const auto& key : program->keys) {
      bytes += kKeyBytes + key->key.size();
    }
  }
  return bytes;
}

size_t
EstimateBytes(const wire::LogEntryT& aEntry)
{
  size_t bytes = kRecordBytes;
  if (const auto* turn = aEntry.record.AsLogTurn()) {
    bytes += turn->request.size() + turn->answer.size();
  } else if (const auto* intent = aEntry.record.AsLogIntent()) {
    bytes += intent->request.size() + intent->key.size() + intent->target.size();
  } else if (const auto* outcome = aEntry.record.AsLogOutcome()) {
    bytes += outcome->answer.size() + outcome->key.size();
  } else if (const auto* checkpoint = aEntry.record.AsLogCheckpoint()) {
    bytes += CheckpointBytes(*checkpoint);
  }
  return bytes;
}

}
