#pragma once

#include "fake_log.h"
#include "records.h"
#include "sycamore/ledger/fold.h"
#include "sycamore/ledger/ledger.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <optional>

namespace sycamore::ledger::testing {

// One process: a Ledger and the folded state of partition 3.
class Owner
{
public:
  Owner(FakeLog& aLog, uint64_t aIncarnation, size_t aMaxPendingBytes = size_t{ 8 } << 20);
  ~Owner();

  Ledger& Log() { return *mLedger; }
  const PartitionState& State() const { return *mState; }
  uint64_t Incarnation() const { return mIncarnation; }

  // Opens the partition and waits for the state.
  PartitionOpened Open();

  // Claims the next epoch, waits until the claim was read back and returns its verdict.
  Verdict Claim();

  // Queues aEntry and returns its operation id; nothing if the ledger refuses it.
  std::optional<uint64_t> Append(LogEntryT aEntry);

  // Waits for the batch with aOperationId and returns its verdict.
  Verdict Await(uint64_t aOperationId);

  // Waits for the next event of type T; other events are folded or dropped.
  template<typename T>
  T AwaitEvent();

  // Makes the sink refuse events, or accept them again.
  void SetSinkFull(bool aFull);

private:
  bool Push(LedgerEvent aEvent);
  LedgerEvent Pop();
  void Fold(const BatchRead& aRead);

  const uint64_t mIncarnation;
  std::mutex mMutex;
  std::condition_variable mReady;
  std::deque<LedgerEvent> mEvents;
  bool mSinkFull = false;
  std::shared_ptr<PartitionState> mState;
  std::map<uint64_t, Verdict> mVerdicts; // By operation id.
  uint64_t mNextOperationId = 1;
  std::unique_ptr<Ledger> mLedger;
};

template<typename T>
T
Owner::AwaitEvent()
{
  for (;;) {
    LedgerEvent event = Pop();
    if (const auto* read = std::get_if<BatchRead>(&event)) {
      Fold(*read);
    }
    if (T* wanted = std::get_if<T>(&event)) {
      return std::move(*wanted);
    }
  }
}

}
