#pragma once

#include "sycamore/base/program_id.h"
#include "sycamore/wire/codec.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sycamore::entry::testing {

// What really ran, over all sidecars and their replacements.
struct RealRuns
{
  std::map<std::pair<base::ProgramId, std::string>, int> mKeyed;
  std::map<base::ProgramId, uint64_t> mTokens;
};

// A sidecar by the rules of docs/design.md, sections 3.4 and 3.11, without targets: calls start
// when they arrive and finish when the test says so.
class SimSidecar
{
public:
  SimSidecar(std::string aName, uint64_t aIncarnation, RealRuns& aRuns);

  const std::string& Name() const { return mName; }
  uint64_t Incarnation() const { return mIncarnation; }

  // A frame of the entry with index aEntry. Answers are added to Out(aEntry).
  void OnFrame(size_t aEntry, const wire::FrameT& aFrame);

  // Frames on their way to an entry.
  std::deque<wire::FrameT>& Out(size_t aEntry) { return mOut[aEntry]; }

  // Finishes the running call at position aIndex modulo their number.
  void FinishOne(size_t aIndex);
  bool AnyRunning() const;

private:
  // A key, or a program and sequence number.
  using Id = std::pair<base::ProgramId, std::string>;

  struct Record
  {
    wire::CallState mState = wire::CallState::Running;
    wire::DispatchT mDispatch;
    uint64_t mEpoch = 0;
    size_t mEntry = 0;
    wire::CallOutcomeT mOutcome;
  };

  static Id IdOf(const wire::CallIdT& aCall);
  void OnDispatch(size_t aEntry, const wire::DispatchT& aDispatch);
  void OnLookup(size_t aEntry, const wire::LookupT& aLookup);
  void OnSeal(size_t aEntry, const wire::SealT& aSeal);
  void Refuse(size_t aEntry, const wire::DispatchT& aDispatch);
  void Start(size_t aEntry, const wire::DispatchT& aDispatch);
  void Reply(size_t aEntry, wire::FrameT aFrame) { mOut[aEntry].push_back(std::move(aFrame)); }

  std::string mName;
  uint64_t mIncarnation;
  RealRuns& mRuns;
  std::map<Id, Record> mRecords;
  std::set<Id> mAcked;
  std::map<uint32_t, uint64_t> mFloors;
  std::map<size_t, std::deque<wire::FrameT>> mOut;
};

}
