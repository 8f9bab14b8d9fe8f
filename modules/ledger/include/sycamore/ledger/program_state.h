#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/base/program_id.h"
#include "sycamore/ledger/key_state.h"
#include "sycamore/ledger/turn_index.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sycamore::ledger {

// The state of one program, as recorded in the log. The texts stay in the log; mTurns holds their
// offsets.
struct ProgramState
{
  std::string mAccount;
  std::string mRegion;
  uint64_t mBudgetTokens = 0; // 0 for a sub-agent: it uses its root's budget.
  uint32_t mMaxTurns = 0;
  base::Millis mTimeLimit{ 0 };
  base::Millis mIdleLimit{ 0 };
  std::optional<base::ProgramId> mParent;
  uint64_t mSpentTokens = 0;    // Settled; on the root, of all its sub-agents too.
  uint64_t mReservedTokens = 0; // Durable reservation of this program itself.
  uint32_t mNextSeq = 1;        // The next call's sequence number.
  bool mEnded = false;
  std::string mEndReason;
  uint64_t mEndedOffset = 0;
  base::Millis mElapsed{ 0 };    // Age at the last checkpoint, so that limits survive a new owner.
  std::vector<TurnIndex> mTurns; // In order of sequence number.
  std::map<std::string, KeyState> mKeys;
  // Derived, not in checkpoints.
  uint64_t mTreeReservedTokens = 0;    // On a root: its reservation and those of its sub-agents.
  std::set<base::ProgramId> mChildren; // Sub-agents that have not ended.

  bool operator==(const ProgramState&) const = default;
};

}
