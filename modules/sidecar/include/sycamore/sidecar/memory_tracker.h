#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/base/program_id.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace sycamore::sidecar {

struct MemoryRules
{
  base::Millis mLease{ 60000 };        // After a call, or after adoption from an engine's list.
  base::Millis mMaxLease{ 600000 };    // Longer leases are shortened to this.
  base::Millis mRetryInterval{ 1000 }; // Delay before a failed release is retried.
  size_t mMaxPrograms = 65536;
  size_t mMaxEnded = 16384;  // Ended programs remembered after their release.
  uint32_t mMaxInFlight = 8; // Concurrent releases per engine.
};

// A program that an engine lists as cached.
struct CachedProgram
{
  base::ProgramId mProgram;
  uint64_t mTokens = 0;
};

// Actions that the caller of Poll must carry out.
struct MemoryActions
{
  struct Release
  {
    size_t mTarget = 0;
    base::ProgramId mProgram;
  };
  struct Ack
  {
    base::ProgramId mProgram;
    uint64_t mPeer = 0; // Incarnation of the entry that requested the release.
  };
  std::vector<Release> mReleases; // Report each by Released or ReleaseFailed.
  std::vector<Ack> mAcks;         // All engines have confirmed the release.
  std::vector<Release> mEvicted;  // Prefixes that an engine dropped without a release.
};

// Tracks which programs have a prefix in the cache of which engine, and until when they are held.
// Releases programs that have ended or whose lease has expired, and retries until the engine
// confirms. Deterministic: reads no clock and does no I/O.
class MemoryTracker
{
public:
  // aEngines are the indices of the targets that are engines.
  MemoryTracker(std::vector<size_t> aEngines, const MemoryRules& aRules);

  // The owner renews its lease on a program: it now ends aLease from aNow. Ignored if the program
  // is not tracked or has ended.
  void Held(const base::ProgramId& aProgram, base::Millis aLease, base::TimePoint aNow);

  // The program has ended and is to be released on all engines; aPeer then receives an ack.
  // Idempotent.
  void Ended(const base::ProgramId& aProgram, uint64_t aPeer, base::TimePoint aNow);

  // Start and end of a call of the program on one engine. While a call runs, the program is not
  // released on that engine.
  void CallStarted(size_t aTarget, const base::ProgramId& aProgram, base::TimePoint aNow);
  void CallFinished(size_t aTarget,
                    const base::ProgramId& aProgram,
                    uint64_t aTokens,
                    base::TimePoint aNow);

  // An engine answered with the complete list of its cached programs, requested at aRequestedAt.
  void Listed(size_t aTarget,
              std::span<const CachedProgram> aPrograms,
              base::TimePoint aRequestedAt,
              base::TimePoint aNow);

  void Released(size_t aTarget, const base::ProgramId& aProgram, base::TimePoint aNow);
  void ReleaseFailed(size_t aTarget, const base::ProgramId& aProgram, base::TimePoint aNow);

  MemoryActions Poll(base::TimePoint aNow);

  bool HasPrefix(size_t aTarget, const base::ProgramId& aProgram) const;
  size_t Programs() const;
  uint64_t Expired() const; // Total of programs released because their lease expired.
  uint64_t Adopted() const; // Total of programs first seen in an engine's list.

private:
  // The cached prefix of a program on one engine.
  struct PrefixState
  {
    bool mCached = false;
    bool mReleaseConfirmed = false; // For ended programs: the engine has confirmed the release.
    bool mInFlight = false;         // A release was sent and not reported.
    uint32_t mCalls = 0;
    uint64_t mTokens = 0;
    base::TimePoint mUsedAt;
    base::TimePoint mReleaseSentAt;
    base::TimePoint mReleasedAt;
    base::TimePoint mNextTry;
  };

  struct Program
  {
    std::map<size_t, PrefixState> mPrefixes; // One for each engine.
    base::TimePoint mHeldUntil;
    bool mEnded = false;
    bool mExpired = false; // Already counted in mExpiredCount.
    std::set<uint64_t> mAckTo;
  };

  Program* FindOrAdd(const base::ProgramId& aProgram, base::TimePoint aHeldUntil);
  void Adopt(size_t aTarget, const CachedProgram& aCached, base::TimePoint aNow);
  void MarkEvicted(size_t aTarget,
                   const std::set<base::ProgramId>& aListed,
                   base::TimePoint aRequestedAt);
  void PollProgram(const base::ProgramId& aId,
                   Program& aProgram,
                   MemoryActions& aActions,
                   base::TimePoint aNow);
  bool Settled(const Program& aProgram) const;
  void RememberEnded(const base::ProgramId& aProgram);

  std::vector<size_t> mEngines;
  MemoryRules mRules;
  std::map<base::ProgramId, Program> mPrograms;
  std::map<size_t, uint32_t> mInFlight; // By engine.
  std::set<base::ProgramId> mEnded;
  std::deque<base::ProgramId> mEndedOrder;
  std::vector<MemoryActions::Ack> mReadyAcks;
  std::vector<MemoryActions::Release> mEvicted;
  uint64_t mExpiredCount = 0;
  uint64_t mAdoptedCount = 0;
};

}
