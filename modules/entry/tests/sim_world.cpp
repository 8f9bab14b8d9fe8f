#include "sim_world.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>
#include <utility>

namespace sycamore::entry::testing {

static constexpr uint64_t kBudget = 60000;

SimWorld::SimWorld()
{
  mSidecars[0] = std::make_unique<SimSidecar>("side-t", mNextIncarnation++, mExecutions);
  mSidecars[1] = std::make_unique<SimSidecar>("side-e", mNextIncarnation++, mExecutions);
  StartEntry(0);
  StartEntry(1);
  // The first entry becomes the owner and creates the programs.
  for (int i = 0; i < 40; ++i) {
    AdvanceTime(base::Millis{ 100 });
    FlushLog(0);
  }
  for (SimCaller& caller : mCallers) {
    Send(caller, 0);
    FlushLog(0);
    Collect(caller);
    RC_ASSERT(!caller.mProgram.empty());
  }
}

void
SimWorld::StartEntry(size_t aEntry)
{
  EntrySlot& slot = mEntries[aEntry];
  slot = EntrySlot{};
  slot.mIncarnation = mNextIncarnation++;
  slot.mSim =
    std::make_unique<SimEntry>(mLog, aEntry == 0 ? "entry-a" : "entry-b", slot.mIncarnation, mNow);
  slot.mSim->mHoldLog = true;
  slot.mSim->ConfirmTable();
  Connect(aEntry, 0);
  Connect(aEntry, 1);
}

void
SimWorld::KillEntry(size_t aEntry)
{
  for (size_t sidecar = 0; sidecar < mSidecars.size(); ++sidecar) {
    mSidecars[sidecar]->Out(aEntry).clear();
  }
  StartEntry(aEntry);
}

void
SimWorld::Connect(size_t aEntry, size_t aSidecar)
{
  EntrySlot& slot = mEntries[aEntry];
  if (slot.mLinks[aSidecar] != 0 || slot.mPaused) {
    return;
  }
  const SimSidecar& sidecar = *mSidecars[aSidecar];
  const bool tool = aSidecar == 0;
  slot.mLinks[aSidecar] = slot.mSim->ConnectSidecar(
    sidecar.Name(), sidecar.Incarnation(), tool ? "registry" : "llm", tool ? "tool" : "engine");
}

// Frames in transit in either direction are lost.
void
SimWorld::Disconnect(size_t aEntry, size_t aSidecar)
{
  EntrySlot& slot = mEntries[aEntry];
  const transport::LinkId link = std::exchange(slot.mLinks[aSidecar], 0);
  if (link == 0) {
    return;
  }
  std::erase_if(slot.mSim->mFrames, [link](const auto& aPair) { return aPair.first == link; });
  mSidecars[aSidecar]->Out(aEntry).clear();
  slot.mSim->Disconnect(link);
}

void
SimWorld::ReplaceSidecar(size_t aSidecar)
{
  Disconnect(0, aSidecar);
  Disconnect(1, aSidecar);
  const std::string name = mSidecars[aSidecar]->Name();
  mSidecars[aSidecar] = std::make_unique<SimSidecar>(name, mNextIncarnation++, mExecutions);
}

void
SimWorld::DeliverToSidecar(size_t aEntry, size_t aSidecar)
{
  EntrySlot& slot = mEntries[aEntry];
  const transport::LinkId link = slot.mLinks[aSidecar];
  auto& frames = slot.mSim->mFrames;
  const auto found = std::find_if(
    frames.begin(), frames.end(), [link](const auto& aPair) { return aPair.first == link; });
  if (link == 0 || found == frames.end()) {
    return;
  }
  const wire::FrameT frame = std::move(found->second);
  frames.erase(found);
  if (const auto* dispatch = frame.body.AsDispatch()) {
    CheckDispatch(*dispatch);
  }
  mSidecars[aSidecar]->OnFrame(aEntry, frame);
  CheckRuns();
}

// A non-idempotent call may be dispatched only to the sidecar incarnation that its first intent in
// the log names.
void
SimWorld::CheckDispatch(const wire::DispatchT& aDispatch)
{
  const ledger::PartitionState state = mLog.Fold(aDispatch.call->partition);
  const base::ProgramId id{ aDispatch.call->partition,
                            aDispatch.call->creation_offset,
                            aDispatch.call->random };
  const auto program = state.mPrograms.find(id);
  RC_ASSERT(program != state.mPrograms.end());
  RC_ASSERT(aDispatch.call->seq <= program->second.mNextSeq);
  if (!aDispatch.repeatable) {
    const auto key = program->second.mKeys.find(aDispatch.call->key);
    RC_ASSERT(key != program->second.mKeys.end());
    RC_ASSERT(key->second.mSidecarIncarnation == aDispatch.sidecar_incarnation);
  }
}

// No non-idempotent call ran twice or after it was reported as not run, and no program exceeded its
// budget.
void
SimWorld::CheckRuns()
{
  for (const auto& [key, count] : mExecutions.mKeyed) {
    RC_ASSERT(count <= 1);
  }
  for (const auto& [program, tokens] : mExecutions.mTokens) {
    RC_ASSERT(tokens <= kBudget);
  }
  for (const SimCaller& caller : mCallers) {
    for (const std::string& key : caller.mNotRun) {
      for (const auto& [run, count] : mExecutions.mKeyed) {
        RC_ASSERT(base::ToString(run.first) != caller.mProgram || run.second != key);
      }
    }
  }
}

void
SimWorld::DeliverToEntry(size_t aEntry, size_t aSidecar)
{
  EntrySlot& slot = mEntries[aEntry];
  auto& frames = mSidecars[aSidecar]->Out(aEntry);
  if (slot.mPaused || frames.empty() || slot.mLinks[aSidecar] == 0) {
    return;
  }
  wire::FrameT frame = std::move(frames.front());
  frames.pop_front();
  slot.mSim->Frame(slot.mLinks[aSidecar], std::move(frame));
}

void
SimWorld::FlushLog(size_t aEntry)
{
  EntrySlot& slot = mEntries[aEntry];
  if (slot.mPaused) {
    // Appends that the process sent before the pause may still reach the log.
    slot.mSim->mLedger.Flush();
    return;
  }
  slot.mSim->mHoldLog = false;
  slot.mSim->Settle();
  slot.mSim->mHoldLog = true;
}

void
SimWorld::AdvanceTime(base::Millis aTime)
{
  mNow += aTime;
  for (EntrySlot& slot : mEntries) {
    if (!slot.mPaused) {
      slot.mSim->AdvanceTime(std::chrono::duration_cast<base::Millis>(mNow - slot.mSim->mNow));
      slot.mSim->ConfirmTable();
    }
  }
}

void
SimWorld::SetPaused(size_t aEntry, bool aPaused)
{
  EntrySlot& slot = mEntries[aEntry];
  if (slot.mPaused && !aPaused) {
    slot.mSim->AdvanceTimeWithoutTicks(
      std::chrono::duration_cast<base::Millis>(mNow - slot.mSim->mNow));
    slot.mPaused = false;
    slot.mSim->ConfirmTable();
  }
  slot.mPaused = aPaused;
}

// The log holds every acknowledged answer, with the text that the caller received.
void
SimWorld::CheckHistory(const SimCaller& aCaller)
{
  const auto id = base::ParseProgramId(aCaller.mProgram);
  if (!base::IsOk(id)) {
    return;
  }
  const uint32_t partition = base::ValueOf(id).mPartition;
  const ledger::PartitionState state = mLog.Fold(partition);
  const std::vector<ledger::TurnIndex>& turns = state.mPrograms.at(base::ValueOf(id)).mTurns;
  for (const auto& [seq, body] : aCaller.mAcknowledged) {
    const auto turn = std::find_if(turns.begin(), turns.end(), [number = seq](const auto& aTurn) {
      return aTurn.mSeq == number;
    });
    RC_ASSERT(turn != turns.end());
    const auto read = mLog.ReadTurn(partition, turn->mOffset, base::ValueOf(id), seq);
    RC_ASSERT(base::IsOk(read));
    RC_ASSERT(body.find(base::ValueOf(read).answer.substr(1)) != std::string::npos);
  }
}

// Relative frequencies of the actions of Step. Faults are rare enough for calls to finish between
// them.
static const std::vector<std::pair<SimAction, int>> kWeights{
  { SimAction::KillEntry, 1 },
  { SimAction::ReplaceSidecar, 1 },
  { SimAction::Disconnect, 2 },
  { SimAction::Pause, 1 },
  { SimAction::Resume, 3 },
  { SimAction::Connect, 6 },
  { SimAction::AdvanceTime, 15 },
  { SimAction::FinishCall, 20 },
  { SimAction::DeliverToSidecar, 30 },
  { SimAction::DeliverToEntry, 30 },
  { SimAction::FlushLog, 30 },
  { SimAction::Send, 25 },
  { SimAction::AdvanceTimeLong, 1 },
};

int
SimWorld::TotalWeight()
{
  int total = 0;
  for (const auto& [action, weight] : kWeights) {
    total += weight;
  }
  return total;
}

static SimAction
ActionFor(int aChoice)
{
  for (const auto& [action, weight] : kWeights) {
    if (aChoice < weight) {
      return action;
    }
    aChoice -= weight;
  }
  return SimAction::Send;
}

void
SimWorld::Step(int aChoice, size_t aFirst, size_t aSecond)
{
  const size_t entry = aFirst % 2;
  const size_t sidecar = aSecond % 2;
  switch (ActionFor(aChoice)) {
    case SimAction::KillEntry:
      KillEntry(entry);
      break;
    case SimAction::ReplaceSidecar:
      ReplaceSidecar(sidecar);
      break;
    case SimAction::Disconnect:
      Disconnect(entry, sidecar);
      break;
    case SimAction::Pause:
      SetPaused(entry, true);
      break;
    case SimAction::Resume:
      SetPaused(entry, false);
      break;
    case SimAction::Connect:
      Connect(entry, sidecar);
      break;
    case SimAction::AdvanceTime:
      AdvanceTime(base::Millis{ 50 * static_cast<int64_t>(1 + aSecond) });
      break;
    case SimAction::AdvanceTimeLong:
      AdvanceTime(base::Millis{ 4000 });
      break;
    case SimAction::FinishCall:
      mSidecars[sidecar]->FinishCall(aFirst);
      break;
    case SimAction::DeliverToSidecar:
      for (size_t i = 0; i <= aFirst; ++i) {
        DeliverToSidecar(entry, sidecar);
      }
      break;
    case SimAction::DeliverToEntry:
      for (size_t i = 0; i <= aFirst; ++i) {
        DeliverToEntry(entry, sidecar);
      }
      break;
    case SimAction::FlushLog:
      FlushLog(entry);
      break;
    case SimAction::Send:
      if (!mEntries[entry].mPaused) {
        Send(mCallers[sidecar], entry);
      }
      break;
  }
  for (SimCaller& caller : mCallers) {
    Collect(caller);
  }
}

void
SimWorld::HealAndCheck()
{
  for (int round = 0; round < 400; ++round) {
    for (size_t entry = 0; entry < mEntries.size(); ++entry) {
      SetPaused(entry, false);
      FlushLog(entry);
      for (size_t sidecar = 0; sidecar < mSidecars.size(); ++sidecar) {
        Connect(entry, sidecar);
        mSidecars[sidecar]->FinishCall(0);
        for (int i = 0; i < 20; ++i) {
          DeliverToSidecar(entry, sidecar);
          DeliverToEntry(entry, sidecar);
        }
      }
    }
    AdvanceTime(base::Millis{ 500 });
    for (SimCaller& caller : mCallers) {
      Collect(caller);
    }
  }
  for (uint32_t partition = 0; partition < 2; ++partition) {
    ledger::PartitionState state;
    state.mPartition = partition;
    uint64_t offset = 0;
    for (const SimLog::Batch& batch : mLog.Stream(partition)) {
      RC_ASSERT(ledger::ApplyBatch(state, offset++, *batch) != ledger::Verdict::Invalid);
    }
  }
  for (const SimCaller& caller : mCallers) {
    RC_ASSERT(!caller.mOpen);
    CheckHistory(caller);
  }
  CheckRuns();
}

size_t
SimWorld::AcknowledgedCount() const
{
  return mCallers[0].mAcknowledged.size() + mCallers[1].mAcknowledged.size();
}

}
