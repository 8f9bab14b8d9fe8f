#include "entry_sim.h"
#include "sycamore/sidecar/call_registry.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <vector>

namespace sycamore::ledger::testing {

using sidecar::AdmitDecision;
using sidecar::CallRegistry;
using sidecar::SealState;

static const ProgramId kProgram{ 3, 0, 1 };
static const std::string kKey = "notice-1";

// Runs the steps of spec/ownership.pml with the production fold, BatchWriter and CallRegistry of
// the sidecar. Both entries receive the same non-idempotent call.
class OwnershipSim
{
public:
  OwnershipSim()
    : mEntries{ { mLog, 11 }, { mLog, 22 } }
    , mRegistry(std::make_unique<CallRegistry>(mIncarnation, sidecar::CallRegistryLimits{}))
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
        Restart(choice);
        break;
      case 2:
        mLog.DeliverLate();
        break;
      case 3:
        Deliver(choice);
        break;
      case 4:
      case 5:
        ActAsOwner(entry, choice);
        break;
      default:
        entry.Write(static_cast<AppendFault>(choice % 8 < 5 ? choice % 5 : 0));
        break;
    }
    CheckOutcome(entry);
  }

  uint32_t Runs() const { return mRuns; }
  bool AnsweredNotRun() const { return mAnsweredNotRun; }

private:
  struct Dispatch
  {
    uint64_t mEpoch = 0;
    uint64_t mSidecarIncarnation = 0; // The only one that may run it.
  };

  sidecar::CallKey Key() const { return { kProgram, 0, kKey }; }

  const KeyState* KeyOf(const EntrySim& aEntry) const
  {
    const auto program = aEntry.View().mPrograms.find(kProgram);
    if (program == aEntry.View().mPrograms.end() || program->second.mKeys.count(kKey) == 0) {
      return nullptr;
    }
    return &program->second.mKeys.at(kKey);
  }

  static bool Decided(const KeyState& aKey)
  {
    return aKey.mOutcome && *aKey.mOutcome != LogOutcomeKind::Unknown;
  }

  // Restarts the sidecar, at most once. It loses its state.
  void Restart(uint32_t aChoice)
  {
    if (mIncarnation == 1 && aChoice % 4 == 0) {
      ++mIncarnation;
      mRegistry = std::make_unique<CallRegistry>(mIncarnation, sidecar::CallRegistryLimits{});
    }
  }

  // Delivers a dispatch to the sidecar, or loses it with its connection.
  void Deliver(uint32_t aChoice)
  {
    if (mSent.empty()) {
      return;
    }
    const auto place = mSent.begin() + static_cast<ptrdiff_t>(aChoice % mSent.size());
    const Dispatch sent = *place;
    mSent.erase(place);
    if (aChoice % 5 == 0) {
      return;
    }
    const auto admission = mRegistry->Admit(
      { Key(), sent.mEpoch, sent.mSidecarIncarnation, 0, false }, base::TimePoint());
    if (admission.mDecision == AdmitDecision::Refuse) {
      mRefusedEpoch = sent.mEpoch;
    }
    if (admission.mDecision == AdmitDecision::Run) {
      mRegistry->SetRunning(Key());
      mRegistry->Finish(Key(), std::make_shared<wire::CallOutcomeT>(), base::TimePoint());
      ++mRuns;
      RC_ASSERT(mRuns == 1U);
      RC_ASSERT(!mAnsweredNotRun);
    }
  }

  void ActAsOwner(EntrySim& aEntry, uint32_t aChoice)
  {
    if (!aEntry.Owner()) {
      return;
    }
    if (aEntry.View().mPrograms.empty()) {
      aEntry.Propose(Created(kProgram, 100, 0));
      return;
    }
    const KeyState* key = KeyOf(aEntry);
    if (key == nullptr) {
      LogEntryT intent = Intent(kProgram, 1, kKey);
      intent.record.AsLogIntent()->sidecar_incarnation = mIncarnation;
      aEntry.Propose(std::move(intent));
    } else if (Decided(*key)) {
      Acknowledge(aEntry);
    } else if (aChoice % 4 == 0) {
      Seal(aEntry, *key);
    } else {
      LookUpOrDispatch(aEntry, *key);
    }
  }

  // Only the owner that wrote the intent dispatches the call. It may send a second copy, as after a
  // lost connection. A refusal proves that the call did not run only if there was no other copy.
  void LookUpOrDispatch(EntrySim& aEntry, const KeyState& aKey)
  {
    const uint64_t epoch = aEntry.View().mEpoch;
    const sidecar::CallRecord* record = mRegistry->Find(Key());
    const bool same = aKey.mSidecarIncarnation == mIncarnation;
    if (same && record != nullptr && record->mState == sidecar::RecordState::Finished) {
      aEntry.Propose(Outcome(kProgram, 1, kKey, LogOutcomeKind::Answered));
      return;
    }
    if (aKey.mOutcome || aKey.mIntentOffset < aEntry.ClaimOffset()) {
      return;
    }
    mCopies = mDispatchedEpoch == epoch ? mCopies : 0;
    mDispatchedEpoch = epoch;
    if (mRefusedEpoch == epoch && mCopies == 1) {
      aEntry.Propose(Outcome(kProgram, 1, kKey, LogOutcomeKind::NotRun));
    } else if (mCopies == 0 || (mCopies == 1 && same)) {
      ++mCopies;
      mSent.push_back({ epoch, aKey.mSidecarIncarnation });
    }
  }

  void Seal(EntrySim& aEntry, const KeyState& aKey)
  {
    const SealState state =
      mRegistry->Seal(Key(), aEntry.View().mEpoch, aKey.mSidecarIncarnation, base::TimePoint());
    if (state == SealState::Sealed) {
      aEntry.Propose(Outcome(kProgram, 1, kKey, LogOutcomeKind::NotRun));
    } else if (state == SealState::Finished) {
      aEntry.Propose(Outcome(kProgram, 1, kKey, LogOutcomeKind::Answered));
    } else if (state == SealState::Unknown && !aKey.mOutcome) {
      aEntry.Propose(Outcome(kProgram, 1, kKey, LogOutcomeKind::Unknown));
    }
  }

  void Acknowledge(EntrySim& aEntry)
  {
    DropFrames(aEntry.View().mEpoch);
    mRegistry->Ack(Key(), 0, aEntry.View().mEpoch);
  }

  void DropFrames(uint64_t aEpoch)
  {
    std::erase_if(mSent, [aEpoch](const Dispatch& aSent) { return aSent.mEpoch == aEpoch; });
  }

  // If the call has an Answered or NotRun outcome, checks that it matches the runs at the sidecar.
  void CheckOutcome(const EntrySim& aEntry)
  {
    const KeyState* key = KeyOf(aEntry);
    if (key == nullptr || !Decided(*key)) {
      return;
    }
    const bool notRun = *key->mOutcome == LogOutcomeKind::NotRun;
    RC_ASSERT(mRuns == (notRun ? 0U : 1U));
    mAnsweredNotRun = mAnsweredNotRun || notRun;
  }

  FakeLog mLog;
  EntrySim mEntries[2];
  uint64_t mIncarnation = 1;
  std::unique_ptr<CallRegistry> mRegistry;
  std::vector<Dispatch> mSent;
  uint64_t mDispatchedEpoch = 0;
  uint64_t mRefusedEpoch = 0;
  int mCopies = 0; // Sent by the owner of mDispatchedEpoch.
  uint32_t mRuns = 0;
  bool mAnsweredNotRun = false;
};

// Guards at-most-once execution and the finality of outcomes across the fold, the writer and the
// sidecar under append faults, owner changes and a sidecar restart: a call runs at most once, and a
// call with outcome NotRun never ran and never will.
BOOST_AUTO_TEST_CASE(OwnershipUnderFaultsRunsKeyedCallAtMostOnce)
{
  BOOST_TEST(rc::check("at most one run, and none for outcome NotRun", [] {
    OwnershipSim sim;
    const auto step =
      rc::gen::pair(rc::gen::inRange<uint32_t>(0, 9), rc::gen::inRange<uint32_t>(0, 1U << 20U));
    const auto steps =
      *rc::gen::scale(24.0, rc::gen::container<std::vector<std::pair<uint32_t, uint32_t>>>(step));
    for (const auto& [action, argument] : steps) {
      sim.Run(action, argument);
    }
    RC_CLASSIFY(sim.Runs() == 1, "ran");
    RC_CLASSIFY(sim.AnsweredNotRun(), "answered not run");
  }));
}

}
