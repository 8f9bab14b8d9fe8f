#include "ledger_fixture.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <stdexcept>

namespace sycamore::ledger::testing {

using base::Millis;

// Limit of a wait for an event, so that a missing event fails the test instead of hanging it.
static constexpr base::Seconds kEventTimeout{ 20 };

Owner::Owner(FakeLog& aLog, uint64_t aIncarnation, size_t aMaxPendingBytes)
  : mIncarnation(aIncarnation)
{
  LedgerSettings settings;
  settings.mWindowMin = Millis(1);
  settings.mRetryMin = Millis(2);
  settings.mRetryMax = Millis(8);
  settings.mMaxPendingBytes = aMaxPendingBytes;
  mLedger = std::make_unique<Ledger>(
    settings,
    aIncarnation,
    [&aLog] { return aLog.MakeClient(); },
    [this](LedgerEvent aEvent) { return Push(std::move(aEvent)); });
}

Owner::~Owner()
{
  mLedger->Stop();
}

PartitionOpened
Owner::Open()
{
  mLedger->Open(3);
  PartitionOpened opened = AwaitEvent<PartitionOpened>();
  mState = opened.mState;
  return opened;
}

Verdict
Owner::Claim()
{
  const uint64_t operation = mNextOperationId++;
  BOOST_REQUIRE(mLedger->Claim(3, ClaimRecord(mState->mEpoch + 1, mIncarnation), operation));
  return Await(operation);
}

std::optional<uint64_t>
Owner::Append(LogEntryT aEntry)
{
  const uint64_t operation = mNextOperationId++;
  if (!mLedger->Append(3, std::move(aEntry), operation)) {
    return std::nullopt;
  }
  return operation;
}

Verdict
Owner::Await(uint64_t aOperationId)
{
  while (mVerdicts.count(aOperationId) == 0) {
    AwaitEvent<BatchRead>();
  }
  return mVerdicts.at(aOperationId);
}

void
Owner::SetSinkFull(bool aFull)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mSinkFull = aFull;
}

bool
Owner::Push(LedgerEvent aEvent)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mSinkFull) {
    return false;
  }
  mEvents.push_back(std::move(aEvent));
  mReady.notify_one();
  return true;
}

LedgerEvent
Owner::Pop()
{
  std::unique_lock<std::mutex> lock(mMutex);
  if (!mReady.wait_until(lock, std::chrono::system_clock::now() + kEventTimeout, [this] {
        return !mEvents.empty();
      })) {
    throw std::runtime_error("timed out waiting for a ledger event");
  }
  LedgerEvent event = std::move(mEvents.front());
  mEvents.pop_front();
  return event;
}

void
Owner::Fold(const BatchRead& aRead)
{
  BOOST_REQUIRE(aRead.mOffset >= mState->mNextOffset);
  const Verdict verdict = ApplyBatch(*mState, aRead.mOffset, *aRead.mBatch);
  for (const uint64_t operation : aRead.mOperationIds) {
    // Each operation completes once.
    BOOST_REQUIRE(mVerdicts.emplace(operation, verdict).second);
  }
}

}
