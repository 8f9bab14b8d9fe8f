#include "core_impl.h"

#include "dump.h"
#include "sycamore/base/log.h"
#include "wire_ids.h"

#include <algorithm>
#include <utility>

namespace sycamore::entry {

// Deadline of requests from local callers; a call may have an earlier deadline of its own.
static constexpr base::Millis kMaxRequestTime{ 24LL * 3600 * 1000 };

// Rate-limit buckets of table rows unused for this time are dropped; they are full again by then.
static constexpr base::Millis kBucketIdleTimeout{ 60000 };

// While the log fails, a release cannot be recorded; shutdown waits no longer than this for it. The
// next owner then claims the partitions after the owner timeout.
static constexpr base::Millis kReleaseTimeout{ 5000 };

EntryCore::Impl::Impl(Context aContext)
  : mContext(std::move(aContext))
  , mAnswers(mContext)
  , mPeers(mContext)
  , mCommits(mContext)
  , mPartitions(mContext, mPeers, mCommits, *this)
  , mTable(mContext, mAnswers, mPeers)
  , mPrograms(mContext)
  , mRouter(mContext, mPeers)
  , mHistory(mContext)
  , mDelivery(mAnswers)
  , mRecorder(mCalls, mCommits, mPartitions, mPrograms)
  , mReservations(mCalls, mCommits, mPartitions, mPrograms, mRecorder)
  , mRunner(CallDependencies{ mContext,
                              mCalls,
                              mRecorder,
                              mDelivery,
                              mHistory,
                              mPartitions,
                              mPeers,
                              mAdmission,
                              mPrograms,
                              mReservations,
                              mRouter,
                              mTable,
                              [this](const base::ProgramId& aId, const std::string& aLimit) {
                                mService.EndByLimit(aId, aLimit);
                              } })
  , mMemory(mContext, mPeers, mPrograms, mRouter)
  , mService(mRunner.Dependencies(), mAnswers, mCommits, mRunner, mMemory)
  , mIntake(mRunner.Dependencies(),
            mRunner,
            mAnswers,
            mMemory,
            [this](const Incoming& aIncoming, uint32_t aPartition) {
              mForwarder.Forward(aIncoming, aPartition);
            })
  , mForwarder(mContext, mAnswers, mPeers, mPartitions)
  , mCheckpoints(mContext, mCommits, mHistory, mPartitions, mPrograms)
  , mMembership(mContext, mPeers, mPartitions, mTable)
  , mApi(mContext,
         mAnswers,
         mPartitions,
         mForwarder,
         mTable,
         mService,
         mIntake,
         ApiPages{ [this] { return Dump(); }, [this] { return MetricsText(); } })
{
  mContext.mEffects.SetLivePartitions(mPartitions.Count());
}

void
EntryCore::Impl::Handle(CoreEvent aEvent, base::TimePoint aNow)
{
  const bool paused = aNow - mContext.mNow > mContext.mSettings.mOwnerTimeout;
  mContext.mNow = aNow;
  if (paused) {
    base::Log(base::LogEvent::PartitionLost,
              "this process was paused; reading the streams of its partitions again");
    mPartitions.OnPause();
  }
  std::visit([this](const auto& aOne) { On(aOne); }, aEvent);
}

bool
EntryCore::Impl::Drained() const
{
  if (!mContext.mDraining || mAnswers.OpenCount() > 0) {
    return false;
  }
  const bool waited = mContext.mNow - mDrainStarted >= kReleaseTimeout;
  return mPartitions.OwnedCount() == 0 || (waited && mPartitions.IsLogFailingForAllOwned());
}

std::string
EntryCore::Impl::Dump() const
{
  return DumpText(mContext, mPartitions, mPeers, mCalls, mForwarder, mHistory, mTable, mPrograms);
}

std::string
EntryCore::Impl::MetricsText()
{
  Gauges gauges;
  gauges.mOwnedPartitions = mPartitions.OwnedCount();
  gauges.mPrograms = mPrograms.Size();
  gauges.mCalls = mCalls.Size();
  gauges.mOpenRequests = mAnswers.OpenCount();
  gauges.mHistoryBytes = mHistory.Bytes();
  gauges.mPendingBytes = mContext.mEffects.PendingBytes();
  gauges.mConfigAgeSeconds = std::chrono::duration<double>(mTable.Age()).count();
  return mMetrics.Text(mContext.mStats, gauges);
}

void
EntryCore::Impl::OnAcquired(uint32_t aPartition)
{
  const ledger::PartitionState& state = *mPartitions.Owned(aPartition);
  mPrograms.OnAcquired(state, mPartitions.At(aPartition).mReleased);
  mCheckpoints.OnAcquired(aPartition);
  mRunner.OnAcquired(state);
  HandleParked(aPartition);
}

void
EntryCore::Impl::OnLost(uint32_t aPartition)
{
  mRunner.OnLost(aPartition);
  mPrograms.OnLost(aPartition);
  mHistory.OnLost(aPartition);
  mRouter.ForgetPartition(aPartition);
  mCheckpoints.OnLost(aPartition);
}

void
EntryCore::Impl::OnOwnerKnown(uint32_t aPartition)
{
  HandleParked(aPartition);
}

void
EntryCore::Impl::HandleParked(uint32_t aPartition)
{
  for (Incoming& incoming : mForwarder.TakeParked(aPartition)) {
    if (mAnswers.IsOpen(incoming.mReply)) {
      mApi.Handle(std::move(incoming));
    }
  }
}

void
EntryCore::Impl::Accept(Incoming aIncoming)
{
  ++mContext.mStats.mRequests;
  mAnswers.Open(aIncoming.mReply);
  mApi.Handle(std::move(aIncoming));
}

void
EntryCore::Impl::On(const http::Request& aRequest)
{
  Incoming incoming;
  incoming.mReply = ReplyTo{ 0, aRequest.mId };
  incoming.mMethod = aRequest.mMethod;
  incoming.mPath = aRequest.mPath;
  incoming.mBody = aRequest.mBody;
  incoming.mLastEventId = aRequest.mLastEventId;
  incoming.mAcceptsStream = aRequest.mAcceptsStream;
  incoming.mDeadline = mContext.mNow + kMaxRequestTime;
  Accept(std::move(incoming));
}

void
EntryCore::Impl::On(const RequestClosed& aEvent)
{
  const ReplyTo reply{ 0, aEvent.mRequest };
  mAnswers.Close(reply);
  mForwarder.OnClosed(reply);
}

void
EntryCore::Impl::On(const transport::PeerEvent& aEvent)
{
  std::visit([this](const auto& aOne) { OnPeer(aOne); }, aEvent);
}

void
EntryCore::Impl::On(const ledger::LedgerEvent& aEvent)
{
  if (const auto* opened = std::get_if<ledger::PartitionOpened>(&aEvent)) {
    mPartitions.OnOpened(*opened);
  } else if (const auto* batch = std::get_if<ledger::BatchRead>(&aEvent)) {
    mPartitions.OnBatch(*batch);
    mCheckpoints.OnBatch(*batch);
  } else if (const auto* failure = std::get_if<ledger::LogAccessFailed>(&aEvent)) {
    mPartitions.OnLogAccessFailed(*failure);
  } else {
    mHistory.OnRead(std::get<ledger::TurnRead>(aEvent));
  }
}

void
EntryCore::Impl::On(const table::TableEvent& aEvent)
{
  mTable.OnEvent(aEvent);
}

void
EntryCore::Impl::On(const InstancesRead& aEvent)
{
  mMembership.OnInstances(aEvent);
}

void
EntryCore::Impl::On(const Tick&)
{
  mPartitions.OnTick();
  mRunner.OnTick();
  mService.OnTick();
  mMemory.OnTick();
  mForwarder.OnTick();
  mCheckpoints.OnTick();
  mAdmission.Trim(kBucketIdleTimeout, mContext.mNow);
  if (mContext.mDraining) {
    ReleaseIdlePartitions();
  }
  mMembership.OnTick();
}

void
EntryCore::Impl::On(const DrainRequested&)
{
  if (!mContext.mDraining) {
    base::Log(base::LogEvent::DrainStarted, "{} calls in progress", mCalls.Size());
    mContext.mDraining = true;
    mDrainStarted = mContext.mNow;
    ReleaseIdlePartitions();
    mMembership.OnTick();
  }
}

// Releases the partitions without calls in flight or outstanding records: the fold would ignore
// records after the release.
void
EntryCore::Impl::ReleaseIdlePartitions()
{
  for (uint32_t i = 0; i < mPartitions.Count(); ++i) {
    const bool idle = !mCalls.AnyInFlight(i) && !mCommits.AnyOutstanding(i);
    if (mPartitions.Owned(i) != nullptr && idle) {
      mPartitions.Release(i);
    }
  }
}

}
