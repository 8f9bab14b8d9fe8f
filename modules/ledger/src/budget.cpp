#include "sycamore/ledger/fold.h"

namespace sycamore::ledger {

base::ProgramId
BudgetRoot(const PartitionState& aState, const base::ProgramId& aProgram)
{
  base::ProgramId root = aProgram;
  for (;;) {
    const auto found = aState.mPrograms.find(root);
    if (found == aState.mPrograms.end() || !found->second.mParent) {
      return root;
    }
    root = *found->second.mParent;
  }
}

uint64_t
FreeTokens(const PartitionState& aState, const base::ProgramId& aRoot)
{
  const auto found = aState.mPrograms.find(aRoot);
  if (found == aState.mPrograms.end()) {
    return 0;
  }
  const ProgramState& root = found->second;
  return root.mBudgetTokens - root.mSpentTokens - root.mTreeReservedTokens;
}

}
