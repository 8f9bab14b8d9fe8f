#pragma once

#include "sycamore/base/program_id.h"
#include "sycamore/ledger/program_state.h"

#include <cstdint>
#include <map>
#include <string>

namespace sycamore::ledger {

// Offset value that means "none".
constexpr uint64_t kNoOffset = ~uint64_t{ 0 };

// The state that results from folding one partition's stream. Any two processes that fold the same
// batches have equal states.
struct PartitionState
{
  uint32_t mPartition = 0;
  uint64_t mNextOffset = 0; // The first offset not yet folded.
  uint64_t mEpoch = 0;      // 0: never claimed.
  std::string mOwner;       // Instance of the current owner; empty after a release.
  uint64_t mOwnerIncarnation = 0;
  std::string mOwnerAddress;              // Where peers reach the owner.
  uint64_t mLastSequence = 0;             // Of the current epoch.
  uint64_t mCheckpointOffset = kNoOffset; // The newest accepted checkpoint.
  std::map<base::ProgramId, ProgramState> mPrograms;

  bool operator==(const PartitionState&) const = default;
};

}
