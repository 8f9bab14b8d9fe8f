#pragma once

#include "sim_entry.h"
#include "sim_sidecar.h"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sycamore::entry::testing {

// A caller that drives the chain of one program and checks its answers.
struct SimCaller
{
  std::string mProgram; // Empty until created.
  uint32_t mSeq = 1;
  int mVariant = 0; // Which kind of call; raised when the body is to change.
  bool mOpen = false;
  // An earlier request for the present call had no answer or an uncertain one. A refusal of a later
  // request then says nothing about the earlier one, unless it comes from the record of the call.
  bool mUncertain = false;
  size_t mEntry = 0;
  uint64_t mRequest = 0;
  uint64_t mEntryIncarnation = 0;
  std::map<uint32_t, std::string> mAcknowledged; // Answers by seq.
  std::vector<std::string> mNotRun;              // Keys whose calls were told as not run.
};

enum class SimAction : uint8_t
{
  KillEntry,
  ReplaceSidecar,
  Cut,
  Pause,
  Resume,
  Connect,
  Pass,
  PassLong,
  Finish,
  ToSidecar,
  ToEntry,
  FlushLog,
  Send,
};

// Two entries, a tool sidecar and an engine sidecar, and two callers, with every delivery, append,
// fault and pause chosen by the test.
class SimWorld
{
public:
  SimWorld();

  // One step; the arguments choose what happens. aChoice is below WeightTotal().
  void Step(int aChoice, size_t aFirst, size_t aSecond);
  static int WeightTotal();

  // Answers that callers received, and non-idempotent calls that ran.
  size_t AcknowledgedCount() const;
  size_t KeyedRunCount() const { return mRuns.mKeyed.size(); }

  // Ends all faults and lets everything finish, then checks the end state.
  void HealAndCheck();

private:
  struct EntrySlot
  {
    std::unique_ptr<SimEntry> mSim;
    uint64_t mIncarnation = 0;
    bool mPaused = false;
    std::array<transport::LinkId, 2> mLinks{}; // To the sidecars; 0: none.
  };

  void StartEntry(size_t aEntry);
  void KillEntry(size_t aEntry);
  void Connect(size_t aEntry, size_t aSidecar);
  void Cut(size_t aEntry, size_t aSidecar);
  void ReplaceSidecar(size_t aSidecar);
  void ToSidecar(size_t aEntry, size_t aSidecar);
  void ToEntry(size_t aEntry, size_t aSidecar);
  void FlushLog(size_t aEntry);
  void Pass(base::Millis aTime);
  void SetPaused(size_t aEntry, bool aPaused);
  void CheckDispatch(const wire::DispatchT& aDispatch);
  void CheckRuns();
  void CheckHistory(const SimCaller& aCaller);

  void Send(SimCaller& aCaller, size_t aEntry);
  void Collect(SimCaller& aCaller);
  void OnAnswer(SimCaller& aCaller, const Received& aAnswer);
  std::string Body(const SimCaller& aCaller) const;
  static bool IsKeyed(const SimCaller& aCaller) { return aCaller.mVariant % 3 == 1; }
  static std::string KeyOf(const SimCaller& aCaller);

  SimLog mLog;
  RealRuns mRuns;
  base::TimePoint mNow{ base::Seconds{ 1000 } };
  uint64_t mNextIncarnation = 100;
  std::array<EntrySlot, 2> mEntries;
  std::array<std::unique_ptr<SimSidecar>, 2> mSidecars;
  std::array<SimCaller, 2> mCallers;
};

}
