#include "replica_limits.h"

#include "sycamore/base/log.h"

#include <set>
#include <utility>

namespace sycamore::gateway {

using base::Millis;

ReplicaLimits::ReplicaLimits(SharedFacts& aFacts, Member aOwn, RegionOf aRegionOf)
  : mFacts(aFacts)
  , mOwn(std::move(aOwn))
  , mRegionOf(std::move(aRegionOf))
{
  mFacts.OnNews([this](const Fact& aFact, SharedFacts::Origin aOrigin) { OnFact(aFact, aOrigin); });
}

void
ReplicaLimits::SetMembers(const std::vector<Member>& aMembers)
{
  std::vector<Member> members{ mOwn };
  for (const Member& member : aMembers) {
    if (member.mInstance != mOwn.mInstance) {
      members.push_back(member);
    }
  }
  if (members != mMembers) {
    mMembers = std::move(members);
    ++mMembersVersion;
  }
}

void
ReplicaLimits::NoteAnswer(const Replica& aReplica,
                          std::optional<double> aPerSecond,
                          base::TimePoint aSentAt)
{
  if (LimitOf(aReplica) == aPerSecond) {
    return;
  }
  // The answer to a call that was sent before the replica named its limit may be older than that.
  if (!aPerSecond && aSentAt < mQuotas.at(aReplica.mId).mNamedAt) {
    return;
  }
  mFacts.Add(
    { ReplicaLimit{ aReplica.mId, aReplica.mStartedUnixMs, aPerSecond }, base::Clock::now() },
    SharedFacts::Origin::Own);
}

void
ReplicaLimits::OnFact(const Fact& aFact, SharedFacts::Origin aOrigin)
{
  const auto* limit = std::get_if<ReplicaLimit>(&aFact.mWhat);
  if (limit == nullptr) {
    return;
  }
  Quota& quota = mQuotas[limit->mReplica];
  const auto age = std::chrono::duration_cast<Millis>(base::Clock::now() - aFact.mObservedAt);
  base::Log(base::LogEvent::ReplicaLimited,
            "replica={} limit_per_s={} before={} source={} age_ms={}",
            limit->mReplica,
            limit->mPerSecond ? std::to_string(*limit->mPerSecond) : "none",
            quota.mLimit ? std::to_string(*quota.mLimit) : "none",
            aOrigin == SharedFacts::Origin::Own ? "answer" : "gateway",
            age.count());
  if (!limit->mPerSecond) {
    mQuotas.erase(limit->mReplica);
    return;
  }
  if (quota.mStartedUnixMs != limit->mStartedUnixMs || !quota.mLimit) {
    quota = {};
    quota.mStartedUnixMs = limit->mStartedUnixMs;
  }
  quota.mLimit = limit->mPerSecond;
  quota.mNamedAt = aFact.mObservedAt;
  quota.mMembersVersion = 0;
}

std::optional<double>
ReplicaLimits::LimitOf(const Replica& aReplica) const
{
  const auto quota = mQuotas.find(aReplica.mId);
  const bool known =
    quota != mQuotas.end() && quota->second.mStartedUnixMs == aReplica.mStartedUnixMs;
  return known ? quota->second.mLimit : std::nullopt;
}

std::vector<std::string>
ReplicaLimits::Candidates(const Replica& aReplica) const
{
  const std::string_view region = mRegionOf(aReplica.mDomain);
  std::vector<std::string> all;
  std::vector<std::string> near;
  for (const Member& member : mMembers) {
    all.push_back(member.mInstance);
    if (mRegionOf(member.mDomain) == region) {
      near.push_back(member.mInstance);
    }
  }
  return near.empty() ? all : near;
}

ReplicaLimits::Quota*
ReplicaLimits::QuotaOf(const Replica& aReplica, base::TimePoint aNow)
{
  const auto entry = mQuotas.find(aReplica.mId);
  if (entry == mQuotas.end() || entry->second.mStartedUnixMs != aReplica.mStartedUnixMs) {
    return nullptr;
  }
  Quota& quota = entry->second;
  if (quota.mMembersVersion != mMembersVersion) {
    quota.mMembersVersion = mMembersVersion;
    quota.mShare = {};
    if (!mMembers.empty()) {
      quota.mShare =
        gateway::ShareOf(mOwn.mInstance, Candidates(aReplica), aReplica.mId, *quota.mLimit);
    }
    SetRate(quota.mBucket, quota.mShare.mPerSecond, aNow);
  }
  return &quota;
}

std::optional<Millis>
ReplicaLimits::DelayOf(const Replica& aReplica, base::TimePoint aNow)
{
  const Quota* quota = QuotaOf(aReplica, aNow);
  return quota == nullptr ? Millis(0) : gateway::DelayOf(quota->mBucket, aNow);
}

void
ReplicaLimits::Take(const Replica& aReplica, base::TimePoint aNow)
{
  if (Quota* quota = QuotaOf(aReplica, aNow)) {
    gateway::Take(quota->mBucket, aNow);
  }
}

void
ReplicaLimits::Return(const Replica& aReplica, base::TimePoint aNow)
{
  if (Quota* quota = QuotaOf(aReplica, aNow)) {
    gateway::Return(quota->mBucket, aNow);
  }
}

QuotaShare
ReplicaLimits::ShareOf(const Replica& aReplica) const
{
  const auto quota = mQuotas.find(aReplica.mId);
  return quota == mQuotas.end() ? QuotaShare{} : quota->second.mShare;
}

void
ReplicaLimits::Retain(const std::vector<std::string>& aListed)
{
  const std::set<std::string> listed(aListed.begin(), aListed.end());
  // A replica may be listed again, under a limit that it has named before.
  std::erase_if(mQuotas, [&](const auto& aEntry) {
    const Fact limit{ ReplicaLimit{ aEntry.first, 0, std::nullopt }, {} };
    return !listed.contains(aEntry.first) && mFacts.Find(KeyOf(limit)) == nullptr;
  });
}

size_t
ReplicaLimits::LimitedCount() const
{
  return mQuotas.size();
}

}
