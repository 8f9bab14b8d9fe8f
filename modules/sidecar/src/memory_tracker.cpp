#include "sycamore/sidecar/memory_tracker.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace sycamore::sidecar {

using base::Millis;
using base::ProgramId;
using base::TimePoint;

MemoryTracker::MemoryTracker(std::vector<size_t> aEngines, const MemoryRules& aRules)
  : mEngines(std::move(aEngines))
  , mRules(aRules)
{
}

size_t
MemoryTracker::Programs() const
{
  return mPrograms.size();
}

uint64_t
MemoryTracker::Expired() const
{
  return mExpiredCount;
}

uint64_t
MemoryTracker::Adopted() const
{
  return mAdoptedCount;
}

bool
MemoryTracker::HasPrefix(size_t aTarget, const ProgramId& aProgram) const
{
  const auto found = mPrograms.find(aProgram);
  if (found == mPrograms.end()) {
    return false;
  }
  const auto place = found->second.mPlaces.find(aTarget);
  return place != found->second.mPlaces.end() && place->second.mCached;
}

// Returns null if there is no space.
MemoryTracker::Program*
MemoryTracker::FindOrAdd(const ProgramId& aProgram, TimePoint aHeldUntil)
{
  const auto found = mPrograms.find(aProgram);
  if (found != mPrograms.end()) {
    return &found->second;
  }
  if (mPrograms.size() >= mRules.mMaxPrograms) {
    return nullptr;
  }
  Program& program = mPrograms[aProgram];
  program.mHeldUntil = aHeldUntil;
  // A late call or list of a program that has ended must not give it another lease.
  program.mEnded = mEnded.contains(aProgram);
  for (const size_t engine : mEngines) {
    program.mPlaces[engine].mConfirmed = program.mEnded;
  }
  return &program;
}

void
MemoryTracker::Held(const ProgramId& aProgram, Millis aLease, TimePoint aNow)
{
  const auto found = mPrograms.find(aProgram);
  if (found == mPrograms.end() || found->second.mEnded) {
    return;
  }
  const Millis lease = std::clamp(aLease, Millis(0), mRules.mMaxLease);
  found->second.mHeldUntil = aNow + lease;
}

void
MemoryTracker::Ended(const ProgramId& aProgram, uint64_t aPeer, TimePoint aNow)
{
  if (mEnded.contains(aProgram) && !mPrograms.contains(aProgram)) {
    mReadyAcks.push_back({ aProgram, aPeer });
    return;
  }
  Program* program = FindOrAdd(aProgram, aNow);
  if (program == nullptr) {
    return; // Without space the owner, which gets no ack, asks again.
  }
  program->mEnded = true;
  program->mAckTo.insert(aPeer);
}

void
MemoryTracker::CallStarted(size_t aTarget, const ProgramId& aProgram, TimePoint aNow)
{
  Program* program = FindOrAdd(aProgram, aNow + mRules.mLease);
  if (program == nullptr || !program->mPlaces.contains(aTarget)) {
    return;
  }
  Place& place = program->mPlaces.at(aTarget);
  ++place.mCalls;
  place.mCached = true;
  place.mConfirmed = false;
  place.mUsedAt = aNow;
}

void
MemoryTracker::CallFinished(size_t aTarget,
                            const ProgramId& aProgram,
                            uint64_t aTokens,
                            TimePoint aNow)
{
  const auto found = mPrograms.find(aProgram);
  if (found == mPrograms.end() || !found->second.mPlaces.contains(aTarget)) {
    return;
  }
  Program& program = found->second;
  Place& place = program.mPlaces.at(aTarget);
  place.mCalls -= std::min<uint32_t>(place.mCalls, 1);
  place.mTokens = std::max(place.mTokens, aTokens);
  place.mUsedAt = aNow;
  // The owner has a lease to decide whether it holds the program from here on.
  program.mHeldUntil = std::max(program.mHeldUntil, aNow + mRules.mLease);
}

void
MemoryTracker::Listed(size_t aTarget,
                      std::span<const CachedProgram> aPrograms,
                      TimePoint aRequestedAt,
                      TimePoint aNow)
{
  std::set<ProgramId> listed;
  for (const CachedProgram& cached : aPrograms) {
    listed.insert(cached.mProgram);
    const auto found = mPrograms.find(cached.mProgram);
    if (found == mPrograms.end()) {
      Adopt(aTarget, cached, aNow);
      continue;
    }
    Place& place = found->second.mPlaces.at(aTarget);
    place.mTokens = cached.mTokens;
    if (place.mReleasedAt < aRequestedAt) {
      place.mCached = true;
      place.mConfirmed = false;
    }
  }
  NoteMissing(aTarget, listed, aRequestedAt);
}

// Takes over a program that only the engine's list names.
void
MemoryTracker::Adopt(size_t aTarget, const CachedProgram& aCached, TimePoint aNow)
{
  Program* program = FindOrAdd(aCached.mProgram, aNow + mRules.mLease);
  if (program == nullptr) {
    return; // It is listed again when there is space.
  }
  Place& place = program->mPlaces.at(aTarget);
  place.mConfirmed = false;
  place.mCached = true;
  place.mTokens = aCached.mTokens;
  ++mAdoptedCount;
}

void
MemoryTracker::NoteMissing(size_t aTarget,
                           const std::set<ProgramId>& aListed,
                           TimePoint aRequestedAt)
{
  for (auto& [id, program] : mPrograms) {
    Place& place = program.mPlaces.at(aTarget);
    const bool unused = place.mCalls == 0 && place.mUsedAt < aRequestedAt;
    if (place.mCached && unused && !aListed.contains(id)) {
      place.mCached = false;
      if (!program.mEnded && !place.mInFlight) {
        mGone.push_back({ aTarget, id });
      }
    }
  }
}

void
MemoryTracker::Released(size_t aTarget, const ProgramId& aProgram, TimePoint aNow)
{
  mInFlight[aTarget] -= std::min<uint32_t>(mInFlight[aTarget], 1);
  const auto found = mPrograms.find(aProgram);
  if (found == mPrograms.end()) {
    return;
  }
  Place& place = found->second.mPlaces.at(aTarget);
  place.mInFlight = false;
  place.mReleasedAt = aNow;
  // A call that ran meanwhile may have stored the prefix again.
  const bool usedSince = place.mCalls > 0 || place.mUsedAt > place.mReleaseSentAt;
  if (!usedSince) {
    place.mCached = false;
    place.mConfirmed = true;
  }
}

void
MemoryTracker::ReleaseFailed(size_t aTarget, const ProgramId& aProgram, TimePoint aNow)
{
  mInFlight[aTarget] -= std::min<uint32_t>(mInFlight[aTarget], 1);
  const auto found = mPrograms.find(aProgram);
  if (found != mPrograms.end()) {
    Place& place = found->second.mPlaces.at(aTarget);
    place.mInFlight = false;
    place.mNextTry = aNow + mRules.mRetry;
  }
}

// Whether nothing of the program is left to do.
bool
MemoryTracker::Settled(const Program& aProgram) const
{
  return std::all_of(aProgram.mPlaces.begin(), aProgram.mPlaces.end(), [&](const auto& aEntry) {
    const Place& place = aEntry.second;
    const bool idle = place.mCalls == 0 && !place.mInFlight;
    return idle && (aProgram.mEnded ? place.mConfirmed : !place.mCached);
  });
}

void
MemoryTracker::RememberEnded(const ProgramId& aProgram)
{
  if (mEnded.insert(aProgram).second) {
    mEndedOrder.push_back(aProgram);
  }
  while (mEndedOrder.size() > mRules.mMaxEnded) {
    mEnded.erase(mEndedOrder.front());
    mEndedOrder.pop_front();
  }
}

// Adds the releases of one program that are due.
void
MemoryTracker::PollProgram(const ProgramId& aId,
                           Program& aProgram,
                           MemoryActions& aActions,
                           TimePoint aNow)
{
  const bool busy = std::any_of(aProgram.mPlaces.begin(),
                                aProgram.mPlaces.end(),
                                [](const auto& aEntry) { return aEntry.second.mCalls > 0; });
  const bool expired = !busy && aProgram.mHeldUntil <= aNow;
  if (!aProgram.mEnded && !expired) {
    aProgram.mExpired = false;
    return;
  }
  for (auto& [target, place] : aProgram.mPlaces) {
    const bool wanted = aProgram.mEnded ? !place.mConfirmed : place.mCached;
    const bool possible = place.mCalls == 0 && !place.mInFlight && place.mNextTry <= aNow;
    if (!wanted || !possible || mInFlight[target] >= mRules.mMaxInFlight) {
      continue;
    }
    place.mInFlight = true;
    place.mReleaseSentAt = aNow;
    ++mInFlight[target];
    aActions.mReleases.push_back({ target, aId });
    if (!aProgram.mEnded && !aProgram.mExpired) {
      aProgram.mExpired = true;
      ++mExpiredCount;
    }
  }
}

MemoryActions
MemoryTracker::Poll(TimePoint aNow)
{
  MemoryActions actions;
  actions.mAcks = std::exchange(mReadyAcks, {});
  actions.mGone = std::exchange(mGone, {});
  for (auto entry = mPrograms.begin(); entry != mPrograms.end();) {
    auto& [id, program] = *entry;
    PollProgram(id, program, actions, aNow);
    if (!Settled(program)) {
      ++entry;
      continue;
    }
    if (program.mEnded) {
      for (const uint64_t peer : program.mAckTo) {
        actions.mAcks.push_back({ id, peer });
      }
      RememberEnded(id);
    }
    entry = mPrograms.erase(entry);
  }
  return actions;
}

}
