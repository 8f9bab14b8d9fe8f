#include "entry_sim.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <rapidcheck.h>
#include <vector>

namespace sycamore::ledger::testing {

static constexpr uint64_t kBudget = 20;
static const ProgramId kAgents[] = { { 3, 0, 1 }, { 3, 0, 2 }, { 3, 0, 3 } };

// Runs the steps of spec/budget.pml with the production fold and BatchWriter: sub-agents reserve in
// parallel, calls continue after their owner is replaced, and appends fail with every AppendFault.
class BudgetSim
{
public:
  BudgetSim()
    : mEntries{ { mLog, 11 }, { mLog, 22 } }
  {
  }

  void Run(uint32_t aAction, uint32_t aArgument)
  {
    EntrySim& entry = mEntries[aArgument % 2];
    const uint32_t choice = aArgument / 2;
    switch (aAction) {
      case 0:
        entry.Claim();
        break;
      case 1:
        mLog.DeliverLate();
        break;
      case 2:
        Finish(choice);
        break;
      case 3:
      case 4:
      case 5:
        ActAsOwner(entry, choice);
        break;
      default:
        entry.Write(static_cast<AppendFault>(choice % 8 < 5 ? choice % 5 : 0));
        break;
    }
  }

  uint64_t UsedTokens() const { return mUsedTokens; }

private:
  // Identifies a call at the target by the epoch of the owner that dispatched it and the agent.
  using CallId = std::pair<uint64_t, ProgramId>;
  struct TargetCall
  {
    uint64_t mMaxTokens = 0;
    std::optional<uint64_t> mUsed;
  };

  // Finishes a running call, whether its owner still exists or not.
  void Finish(uint32_t aChoice)
  {
    for (auto& [id, call] : mCalls) {
      if (!call.mUsed) {
        call.mUsed = aChoice % (call.mMaxTokens + 1);
        mUsedTokens += *call.mUsed;
        RC_ASSERT(mUsedTokens <= kBudget);
        return;
      }
    }
  }

  void ActAsOwner(EntrySim& aEntry, uint32_t aChoice)
  {
    if (!aEntry.Owner()) {
      return;
    }
    const ProgramId& id = kAgents[aChoice % 3];
    const uint32_t choice = aChoice / 3;
    const PartitionState& view = aEntry.View();
    const auto found = view.mPrograms.find(id);
    if (found == view.mPrograms.end()) {
      aEntry.Propose(id == kAgents[0] ? Created(id, kBudget, 0) : SubAgent(id, kAgents[0], 0));
      return;
    }
    const uint64_t inherited = InheritedBy(aEntry, id);
    const auto call = mCalls.find({ view.mEpoch, id });
    if (call != mCalls.end()) {
      Settle(aEntry, call, inherited, choice);
    } else if (found->second.mReservedTokens > inherited && choice % 2 == 0) {
      mCalls[{ view.mEpoch, id }] = { found->second.mReservedTokens - inherited, std::nullopt };
    } else {
      // Proposed without checking the budget, which the fold enforces.
      aEntry.Propose(Reserved(id, inherited + 1 + choice % 12));
    }
  }

  // Tokens that calls of earlier owners may still use.
  static uint64_t InheritedBy(const EntrySim& aEntry, const ProgramId& aId)
  {
    const auto found = aEntry.Inherited().mPrograms.find(aId);
    return found != aEntry.Inherited().mPrograms.end() ? found->second.mReservedTokens : 0;
  }

  void Settle(EntrySim& aEntry,
              std::map<CallId, TargetCall>::iterator aCall,
              uint64_t aInherited,
              uint32_t aChoice)
  {
    const ProgramId id = aCall->first.second;
    if (!aCall->second.mUsed) {
      return;
    }
    const PartitionState& view = aEntry.View();
    const uint64_t used = *aCall->second.mUsed;
    const uint64_t available =
      FreeTokens(view, kAgents[0]) + view.mPrograms.at(id).mReservedTokens - used - aInherited;
    const uint64_t next = aInherited + aChoice % (available + 1);
    aEntry.Propose(Turn(id, view.mPrograms.at(id).mNextSeq, used, next));
    mCalls.erase(aCall);
  }

  FakeLog mLog;
  EntrySim mEntries[2];
  std::map<CallId, TargetCall> mCalls;
  uint64_t mUsedTokens = 0;
};

// Guards the token budget under append faults and owner changes: the tokens that calls use never
// exceed the root's budget.
BOOST_AUTO_TEST_CASE(BudgetUnderFaultsAndTakeoversIsNeverExceeded)
{
  BOOST_TEST(rc::check("used tokens stay within the budget", [] {
    BudgetSim sim;
    const auto step =
      rc::gen::pair(rc::gen::inRange<uint32_t>(0, 9), rc::gen::inRange<uint32_t>(0, 1U << 20U));
    const auto steps =
      *rc::gen::scale(24.0, rc::gen::container<std::vector<std::pair<uint32_t, uint32_t>>>(step));
    for (const auto& [action, argument] : steps) {
      sim.Run(action, argument);
    }
    RC_CLASSIFY(sim.UsedTokens() > 0, "calls ran");
    RC_CLASSIFY(sim.UsedTokens() > kBudget / 2, "more than half of the budget used");
  }));
}

}
