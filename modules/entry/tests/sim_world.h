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

// A caller that sends the calls of one program, one after the other, and checks the answers.
struct SimCaller
{
  std::string mProgram; // Empty until created.
  uint32_t mSeq = 1;
  int mVariant = 0;   // Selects the kind and body of the call; incremented for each new call.
  bool mOpen = false; // A request is open.
  // An earlier request for the current call got no answer, or an answer that does not tell whether
  // the call ran. A refusal of a later request then says nothing about the earlier one, unless the
  // refusal comes from the record of the call.
  bool mUncertain = false;
  size_t mEntry = 0;
  uint64_t mRequest = 0;
  uint64_t mEntryIncarnation = 0;
  std::map<uint32_t, std::string> mAcknowledged; // Answers by seq.
  std::vector<std::string> mNotRun;              // Keys of calls that were reported as not run.
};

// What one step of the simulation does.
enum class SimAction : uint8_t
{
  KillEntry,
  ReplaceSidecar,
  Disconnect,
  Pause,
  Resume,
  Connect,
  AdvanceTime,
  AdvanceTimeLong,
  FinishCall,
  DeliverToSidecar,
  DeliverToEntry,
  FlushLog,
  Send,
};

// Two entries, a tool sidecar and an engine sidecar, and two callers, with every delivery, append,
// fault and pause chosen by the test.
class SimWorld
{
public:
  SimWorld();

  // Performs one action. aChoice, less than TotalWeight(), selects it by weight; aFirst and aSecond
  // select the entry, the sidecar and, for some actions, a count or a duration.
  void Step(int aChoice, size_t aFirst, size_t aSecond);
  static int TotalWeight();

  // Number of successful answers that callers received.
  size_t AcknowledgedCount() const;
  // Number of non-idempotent calls that ran.
  size_t KeyedRunCount() const { return mExecutions.mKeyed.size(); }

  // Ends all faults, finishes all calls and delivers all frames, then checks the final state.
  void HealAndCheck();

private:
  struct EntrySlot
  {
    std::unique_ptr<SimEntry> mSim;
    uint64_t mIncarnation = 0;
    bool mPaused = false;
    std::array<transport::LinkId, 2> mLinks{}; // Links to the sidecars; 0 if not connected.
  };

  void StartEntry(size_t aEntry);
  void KillEntry(size_t aEntry);
  void Connect(size_t aEntry, size_t aSidecar);
  void Disconnect(size_t aEntry, size_t aSidecar);
  void ReplaceSidecar(size_t aSidecar);
  void DeliverToSidecar(size_t aEntry, size_t aSidecar);
  void DeliverToEntry(size_t aEntry, size_t aSidecar);
  void FlushLog(size_t aEntry);
  void AdvanceTime(base::Millis aTime);
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
  ExecutionCounts mExecutions;
  base::TimePoint mNow{ base::Seconds{ 1000 } };
  uint64_t mNextIncarnation = 100;
  std::array<EntrySlot, 2> mEntries;
  std::array<std::unique_ptr<SimSidecar>, 2> mSidecars;
  std::array<SimCaller, 2> mCallers;
};

}
