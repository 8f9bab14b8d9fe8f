#include "membership.h"

#include "sycamore/base/log.h"

#include <set>
#include <utility>

namespace sycamore::entry {

// The instance list lags behind, so an instance is still dialled for this time after the list last
// contained it.
static constexpr base::Millis kForgetAfter{ 60000 };

// Heartbeats carry the age of the table as of the last publication, so it is published regularly.
static constexpr base::Millis kPublishInterval{ 500 };

Membership::Membership(Context& aContext,
                       Peers& aPeers,
                       PartitionMap& aPartitions,
                       TableState& aTable)
  : mContext(aContext)
  , mPeers(aPeers)
  , mPartitions(aPartitions)
  , mTable(aTable)
  , mNextPublish(aContext.mStarted)
{
}

// Of two entries, only the one with the lower name dials: if both did, their connections would keep
// superseding each other.
bool
Membership::ShouldDial(const world::Instance& aInstance) const
{
  if (aInstance.mRole == "sidecar") {
    return true;
  }
  return aInstance.mRole == "entry" && mContext.mSettings.mInstance < aInstance.mName;
}

void
Membership::OnInstances(const InstancesRead& aEvent)
{
  if (!base::IsOk(aEvent.mInstances)) {
    if (!mListFailed) {
      base::Log(base::LogEvent::HttpError,
                "cannot read the instance list: {}",
                base::ErrorOf(aEvent.mInstances).mMessage);
    }
    mListFailed = true;
    return;
  }
  mListFailed = false;
  std::set<std::string> leaving;
  for (const world::Instance& instance : base::ValueOf(aEvent.mInstances)) {
    if (instance.mState == world::InstanceState::Leaving) {
      leaving.insert(instance.mName);
    }
    const base::Result<http::Endpoint> endpoint = http::ParseEndpoint(instance.mAddress);
    if (ShouldDial(instance) && base::IsOk(endpoint)) {
      mDialled[instance.mAddress] = mContext.mNow;
      mContext.mEffects.Dial(base::ValueOf(endpoint));
    }
  }
  mPeers.SetListedLeaving(std::move(leaving));
  ForgetUnlisted();
}

void
Membership::ForgetUnlisted()
{
  std::erase_if(mDialled, [this](const auto& aPair) {
    if (mContext.mNow - aPair.second < kForgetAfter) {
      return false;
    }
    const base::Result<http::Endpoint> endpoint = http::ParseEndpoint(aPair.first);
    mContext.mEffects.Forget(base::ValueOf(endpoint));
    base::Log(base::LogEvent::InstanceGone, "{}", aPair.first);
    return true;
  });
}

wire::HelloT
Membership::MakeHello() const
{
  const settings::Settings& settings = mContext.mSettings;
  wire::HelloT hello;
  hello.role = wire::Role::Entry;
  hello.instance = settings.mInstance;
  hello.incarnation = mContext.mIncarnation;
  hello.region = settings.mRegion;
  hello.domain = settings.mDomain;
  hello.config_version = mTable.Version();
  hello.config_age_ms = static_cast<uint64_t>(mTable.Age().count());
  hello.peer_address = mContext.mPeerAddress;
  hello.leaving = mContext.mDraining;
  return hello;
}

wire::HeartbeatT
Membership::MakeHeartbeat() const
{
  wire::HeartbeatT heartbeat;
  heartbeat.config_version = mTable.Version();
  heartbeat.config_age_ms = static_cast<uint64_t>(mTable.Age().count());
  heartbeat.leaving = mContext.mDraining;
  for (uint32_t i = 0; i < mPartitions.Count(); ++i) {
    if (mPartitions.Owned(i) != nullptr) {
      heartbeat.partitions.push_back(i);
      heartbeat.epochs.push_back(mPartitions.At(i).mEpoch);
    }
  }
  return heartbeat;
}

void
Membership::OnTick()
{
  wire::HeartbeatT heartbeat = MakeHeartbeat();
  std::vector<uint64_t> published(heartbeat.partitions.begin(), heartbeat.partitions.end());
  published.insert(published.end(), heartbeat.epochs.begin(), heartbeat.epochs.end());
  published.push_back(mContext.mDraining ? 1 : 0);
  if (mContext.mNow < mNextPublish && published == mPublished) {
    return;
  }
  mNextPublish = mContext.mNow + kPublishInterval;
  mPublished = std::move(published);
  mContext.mEffects.Publish(MakeHello(), std::move(heartbeat));
}

}
