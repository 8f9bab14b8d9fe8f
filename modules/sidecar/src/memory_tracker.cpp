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
  const auto prefix = found->second.mPrefixes.find(aTarget);
  return prefix != found->second.mPrefixes.end() && prefix->second.mCached;
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
  // A late call or list of a program that has ended must not start a new lease.
  program.mEnded = mEnded.contains(aProgram);
  for (const size_t engine : mEngines) {
    program.mPrefixes[engine].mReleaseConfirmed = program.mEnded;
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
    return; // No space: the owner gets no ack and repeats its request.
  }
  program->mEnded = true;
  program->mAckTo.insert(aPeer);
}

void
MemoryTracker::CallStarted(size_t aTarget, const ProgramId& aProgram, TimePoint aNow)
{
  Program* program = FindOrAdd(aProgram, aNow + mRules.mLease);
  if (program == nullptr || !program->mPrefixes.contains(aTarget)) {
    return;
  }
  PrefixState& prefix = program->mPrefixes.at(aTarget);
  ++prefix.mCalls;
  prefix.mCached = true;
  prefix.mReleaseConfirmed = false;
  prefix.mUsedAt = aNow;
}

void
MemoryTracker::CallFinished(size_t aTarget,
                            const ProgramId& aProgram,
                            uint64_t aTokens,
                            TimePoint aNow)
{
  const auto found = mPrograms.find(aProgram);
  if (found == mPrograms.end() || !found->second.mPrefixes.contains(aTarget)) {
    return;
  }
  Program& program = found->second;
  PrefixState& prefix = program.mPrefixes.at(aTarget);
  prefix.mCalls -= std::min<uint32_t>(prefix.mCalls, 1);
  prefix.mTokens = std::max(prefix.mTokens, aTokens);
  prefix.mUsedAt = aNow;
  // A new lease gives the owner time to decide whether to hold the program.
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
    PrefixState& prefix = found->second.mPrefixes.at(aTarget);
    prefix.mTokens = cached.mTokens;
    if (prefix.mReleasedAt < aRequestedAt) {
      prefix.mCached = true;
      prefix.mReleaseConfirmed = false;
    }
  }
  MarkEvicted(aTarget, listed, aRequestedAt);
}

// Starts tracking a program that is known only from the engine's list.
void
MemoryTracker::Adopt(size_t aTarget, const CachedProgram& aCached, TimePoint aNow)
{
  Program* program = FindOrAdd(aCached.mProgram, aNow + mRules.mLease);
  if (program == nullptr) {
    return; // No space: the program is adopted from a later list.
  }
  PrefixState& prefix = program->mPrefixes.at(aTarget);
  prefix.mReleaseConfirmed = false;
  prefix.mCached = true;
  prefix.mTokens = aCached.mTokens;
  ++mAdoptedCount;
}

void
MemoryTracker::MarkEvicted(size_t aTarget,
                           const std::set<ProgramId>& aListed,
                           TimePoint aRequestedAt)
{
  for (auto& [id, program] : mPrograms) {
    PrefixState& prefix = program.mPrefixes.at(aTarget);
    const bool unused = prefix.mCalls == 0 && prefix.mUsedAt < aRequestedAt;
    if (prefix.mCached && unused && !aListed.contains(id)) {
      prefix.mCached = false;
      if (!program.mEnded && !prefix.mInFlight) {
        mEvicted.push_back({ aTarget, id });
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
  PrefixState& prefix = found->second.mPrefixes.at(aTarget);
  prefix.mInFlight = false;
  prefix.mReleasedAt = aNow;
  // A call that started after the release was sent may have cached the prefix again.
  const bool usedSince = prefix.mCalls > 0 || prefix.mUsedAt > prefix.mReleaseSentAt;
  if (!usedSince) {
    prefix.mCached = false;
    prefix.mReleaseConfirmed = true;
  }
}

void
MemoryTracker::ReleaseFailed(size_t aTarget, const ProgramId& aProgram, TimePoint aNow)
{
  mInFlight[aTarget] -= std::min<uint32_t>(mInFlight[aTarget], 1);
  const auto found = mPrograms.find(aProgram);
  if (found != mPrograms.end()) {
    PrefixState& prefix = found->second.mPrefixes.at(aTarget);
    prefix.mInFlight = false;
    prefix.mNextTry = aNow + mRules.mRetryInterval;
  }
}

// Whether the program needs no further action and can be removed.
bool
MemoryTracker::Settled(const Program& aProgram) const
{
  return std::all_of(aProgram.mPrefixes.begin(), aProgram.mPrefixes.end(), [&](const auto& aEntry) {
    const PrefixState& prefix = aEntry.second;
    const bool idle = prefix.mCalls == 0 && !prefix.mInFlight;
    return idle && (aProgram.mEnded ? prefix.mReleaseConfirmed : !prefix.mCached);
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

// Adds the due releases of one program to aActions.
void
MemoryTracker::PollProgram(const ProgramId& aId,
                           Program& aProgram,
                           MemoryActions& aActions,
                           TimePoint aNow)
{
  const bool busy = std::any_of(aProgram.mPrefixes.begin(),
                                aProgram.mPrefixes.end(),
                                [](const auto& aEntry) { return aEntry.second.mCalls > 0; });
  const bool expired = !busy && aProgram.mHeldUntil <= aNow;
  if (!aProgram.mEnded && !expired) {
    aProgram.mExpired = false;
    return;
  }
  for (auto& [target, prefix] : aProgram.mPrefixes) {
    const bool wanted = aProgram.mEnded ? !prefix.mReleaseConfirmed : prefix.mCached;
    const bool possible = prefix.mCalls == 0 && !prefix.mInFlight && prefix.mNextTry <= aNow;
    if (!wanted || !possible || mInFlight[target] >= mRules.mMaxInFlight) {
      continue;
    }
    prefix.mInFlight = true;
    prefix.mReleaseSentAt = aNow;
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
  actions.mEvicted = std::exchange(mEvicted, {});
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
