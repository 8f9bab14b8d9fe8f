#include "router.h"

#include <algorithm>

namespace sycamore::entry {

Router::Router(Context& aContext, Peers& aPeers)
  : mContext(aContext)
  , mPeers(aPeers)
{
}

static const world::Link*
FindLink(const settings::Settings& aSettings, const std::string& aRegion)
{
  for (const world::Link& link : aSettings.mLinks) {
    const bool forward = link.mFrom == aSettings.mRegion && link.mTo == aRegion;
    const bool backward = link.mTo == aSettings.mRegion && link.mFrom == aRegion;
    if (forward || backward) {
      return &link;
    }
  }
  return nullptr;
}

policy::ReplicaView
Router::ViewOf(const Peer& aPeer, const TargetView& aTarget, const base::ProgramId& aProgram) const
{
  policy::ReplicaView view;
  view.mUsable = aTarget.mLoad.up && !mPeers.IsLeaving(aPeer);
  view.mRunning = aTarget.mLoad.running;
  view.mQueued = aTarget.mLoad.queued;
  view.mQueuedTokens = aTarget.mLoad.queued_tokens;
  view.mReportAge = std::chrono::duration_cast<base::Millis>(mContext.mNow - aTarget.mMeasured);
  for (const SentWork& work : aTarget.mSent) {
    view.mSentTokens += work.mTokens;
    ++view.mSentCalls;
  }
  const auto prefixes = mPrefixes.find(aProgram);
  if (prefixes != mPrefixes.end()) {
    const auto held = prefixes->second.find(aTarget.mInfo.name);
    view.mCachedTokens = held == prefixes->second.end() ? 0 : held->second;
  }
  if (const world::Link* link = FindLink(mContext.mSettings, aPeer.mRegion)) {
    view.mLinkDelay = link->mDelay;
    view.mCostPerMegabyte = link->mCostPerMegabyte;
  }
  return view;
}

std::optional<Route>
Router::Choose(const std::string& aService,
               const base::ProgramId& aProgram,
               const policy::RouteRequest& aRequest,
               const std::set<std::string>& aExcluded)
{
  std::vector<policy::ReplicaView> views;
  std::vector<Route> routes;
  for (const Peer* peer : mPeers.Sidecars()) {
    for (const auto& [name, target] : peer->mTargets) {
      if (target.mInfo.service == aService && !aExcluded.contains(name)) {
        views.push_back(ViewOf(*peer, target, aProgram));
        routes.push_back({ peer->mLink,
                           peer->mInstance,
                           peer->mIncarnation,
                           name,
                           policy::MissingTokens(views.back(), aRequest) });
      }
    }
  }
  const size_t start = views.empty() ? 0 : mRoundRobin++ % views.size();
  const std::optional<size_t> best =
    mContext.mSettings.mRouting == "load"
      ? policy::ChooseByLoad(views, start)
      : policy::ChooseByScore(views, aRequest, policy::ReplicaSpeed{}, start);
  return best ? std::optional<Route>(routes[*best]) : std::nullopt;
}

void
Router::OnSent(const Route& aRoute, const policy::RouteRequest& aRequest)
{
  Peer* peer = mPeers.Find(aRoute.mLink);
  if (peer == nullptr) {
    return;
  }
  const auto target = peer->mTargets.find(aRoute.mTarget);
  if (target == peer->mTargets.end()) {
    return;
  }
  const uint64_t tokens = policy::DecodeEquivalent(aRoute.mMissingTokens, aRequest.mMaxTokens);
  target->second.mSent.push_back({ mContext.mNow, tokens });
  if (peer->mRegion != mContext.mSettings.mRegion) {
    mContext.mStats.mCrossRegionBytes += aRequest.mBytes;
  }
}

void
Router::NotePrefix(const base::ProgramId& aProgram, const std::string& aTarget, uint64_t aTokens)
{
  if (aTokens > 0) {
    mPrefixes[aProgram][aTarget] = aTokens;
    return;
  }
  const auto found = mPrefixes.find(aProgram);
  if (found != mPrefixes.end()) {
    found->second.erase(aTarget);
  }
}

void
Router::ForgetProgram(const base::ProgramId& aProgram)
{
  mPrefixes.erase(aProgram);
}

void
Router::ForgetPartition(uint32_t aPartition)
{
  std::erase_if(mPrefixes,
                [aPartition](const auto& aPair) { return aPair.first.mPartition == aPartition; });
}

void
Router::OnConnected(const Peer& aPeer)
{
  for (const auto& [name, target] : aPeer.mTargets) {
    mKindByService[target.mInfo.service] = target.mInfo.kind;
    mSidecarOf[name] = aPeer.mInstance;
  }
}

std::string
Router::KindOf(const std::string& aService) const
{
  const auto found = mKindByService.find(aService);
  return found == mKindByService.end() ? "" : found->second;
}

std::set<std::string>
Router::Holders(const base::ProgramId& aProgram) const
{
  std::set<std::string> sidecars;
  const auto prefixes = mPrefixes.find(aProgram);
  if (prefixes != mPrefixes.end()) {
    for (const auto& [target, tokens] : prefixes->second) {
      const auto sidecar = mSidecarOf.find(target);
      if (sidecar != mSidecarOf.end()) {
        sidecars.insert(sidecar->second);
      }
    }
  }
  return sidecars;
}

std::string
Router::BestHolder(const base::ProgramId& aProgram) const
{
  const auto prefixes = mPrefixes.find(aProgram);
  if (prefixes == mPrefixes.end() || prefixes->second.empty()) {
    return "";
  }
  const auto best = std::max_element(
    prefixes->second.begin(), prefixes->second.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    });
  const auto sidecar = mSidecarOf.find(best->first);
  return sidecar == mSidecarOf.end() ? "" : sidecar->second;
}

uint64_t
Router::HeldTokens(const base::ProgramId& aProgram) const
{
  uint64_t held = 0;
  const auto prefixes = mPrefixes.find(aProgram);
  if (prefixes != mPrefixes.end()) {
    for (const auto& [target, tokens] : prefixes->second) {
      held += tokens;
    }
  }
  return held;
}

}
