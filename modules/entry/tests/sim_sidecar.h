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

// The calls that ran, over all sidecars and their replacements.
struct ExecutionCounts
{
  std::map<std::pair<base::ProgramId, std::string>, int> mKeyed; // Runs per key.
  std::map<base::ProgramId, uint64_t> mTokens; // Upper bound of the tokens of all model calls run.
};

// A simulated sidecar without targets: calls start when they arrive and finish when the test calls
// FinishCall. It follows the rules for epochs, call records and seals in docs/design.md,
// sections 3.4 and 3.11.
class SimSidecar
{
public:
  SimSidecar(std::string aName, uint64_t aIncarnation, ExecutionCounts& aExecutions);

  const std::string& Name() const { return mName; }
  uint64_t Incarnation() const { return mIncarnation; }

  // Handles a frame from the entry with index aEntry. Replies are added to Out(aEntry).
  void OnFrame(size_t aEntry, const wire::FrameT& aFrame);

  // Frames in transit to an entry.
  std::deque<wire::FrameT>& Out(size_t aEntry) { return mOut[aEntry]; }

  // Finishes the running call with index aIndex modulo the number of running calls.
  void FinishCall(size_t aIndex);
  bool AnyRunning() const;

private:
  // A program and either the key of the call or `#` and its sequence number.
  using Id = std::pair<base::ProgramId, std::string>;

  struct Record
  {
    wire::CallState mState = wire::CallState::Running;
    wire::DispatchT mDispatch;
    uint64_t mEpoch = 0;
    size_t mEntry = 0; // The entry that gets the outcome.
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
  ExecutionCounts& mExecutions;
  std::map<Id, Record> mRecords;
  std::set<Id> mAcked; // Finished or sealed calls whose outcome was acknowledged.
  std::map<uint32_t, uint64_t> mHighestEpochs; // By partition; lower epochs are refused.
  std::map<size_t, std::deque<wire::FrameT>> mOut;
};

}
