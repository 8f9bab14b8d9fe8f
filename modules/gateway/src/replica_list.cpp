#include "sycamore/gateway/replica_list.h"

#include <utility>

namespace sycamore::gateway {

// Entries that expired during a store outage reappear within about two seconds of its end.
static constexpr base::Millis kExpiryGrace{ 2200 };
// A removal within this time after a store failure may be an expiry caused by an outage.
static constexpr base::Millis kOutageWindow{ 3000 };
// A replica that leaves exits some seconds after it said so, many seconds at most; later its mark
// only takes memory.
static constexpr base::Seconds kLeavingMarkRetention{ 600 };

void
ReplicaList::Update(const std::string& aId, std::optional<Replica> aReplica, base::TimePoint aNow)
{
  if (!aReplica) {
    Remove(aId, aNow);
    return;
  }
  List(aId, std::move(*aReplica));
}

void
ReplicaList::List(const std::string& aId, Replica aReplica)
{
  aReplica.mLeaving = aReplica.mLeaving || SaidThatItLeaves(aReplica);
  mEntries[aId] = { std::move(aReplica), std::nullopt };
}

bool
ReplicaList::NoteLeaving(const Replica& aReplica, base::TimePoint aNow)
{
  if (SaidThatItLeaves(aReplica)) {
    return false;
  }
  std::erase_if(mLeaving, [aNow](const auto& aMark) {
    return aNow - aMark.second.mNotedAt > kLeavingMarkRetention;
  });
  mLeaving[aReplica.mId] = { aReplica.mEndpoint, aReplica.mStartedUnixMs, aNow };
  if (const auto entry = mEntries.find(aReplica.mId); entry != mEntries.end()) {
    entry->second.mReplica.mLeaving |= SaidThatItLeaves(entry->second.mReplica);
  }
  return true;
}

bool
ReplicaList::SaidThatItLeaves(const Replica& aReplica) const
{
  const auto mark = mLeaving.find(aReplica.mId);
  return mark != mLeaving.end() && mark->second.mEndpoint == aReplica.mEndpoint &&
         mark->second.mStartedUnixMs == aReplica.mStartedUnixMs;
}

void
ReplicaList::Remove(const std::string& aId, base::TimePoint aNow)
{
  const auto entry = mEntries.find(aId);
  if (entry == mEntries.end() || entry->second.mUsableUntil) {
    return;
  }
  const bool mayBeOutage = mLastStoreFailure && aNow - *mLastStoreFailure < kOutageWindow;
  if (mayBeOutage && !entry->second.mReplica.mLeaving) {
    entry->second.mUsableUntil = aNow + kExpiryGrace;
  } else {
    mEntries.erase(entry);
  }
}

void
ReplicaList::Replace(const std::map<std::string, Replica>& aReplicas, base::TimePoint aNow)
{
  std::vector<std::string> missing;
  for (const auto& [id, entry] : mEntries) {
    if (!aReplicas.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    Remove(id, aNow);
  }
  for (const auto& [id, replica] : aReplicas) {
    List(id, replica);
  }
}

std::vector<const Replica*>
ReplicaList::Usable(const std::string& aService, base::TimePoint aNow) const
{
  std::vector<const Replica*> usable;
  for (const auto& [id, entry] : mEntries) {
    const bool expired = entry.mUsableUntil && aNow >= *entry.mUsableUntil;
    if (entry.mReplica.mService == aService && !entry.mReplica.mLeaving && !expired) {
      usable.push_back(&entry.mReplica);
    }
  }
  return usable;
}

const Replica*
ReplicaList::Find(const std::string& aId) const
{
  const auto entry = mEntries.find(aId);
  return entry == mEntries.end() ? nullptr : &entry->second.mReplica;
}

std::vector<std::string>
ReplicaList::Ids() const
{
  std::vector<std::string> ids;
  for (const auto& [id, entry] : mEntries) {
    ids.push_back(id);
  }
  return ids;
}

}
