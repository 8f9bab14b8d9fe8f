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
  base::Millis mLease{ 60000 };        // Of programs that no owner has held yet.
  base::Millis mMaxLease{ 600000 };    // A longer lease counts as this.
  base::Millis mRetryInterval{ 1000 }; // Between tries of one release.
  size_t mMaxPrograms = 65536;
  size_t mMaxEnded = 16384;  // Ended programs remembered after their release.
  uint32_t mMaxInFlight = 8; // Releases sent to one engine at the same time.
};

// A program that an engine lists as cached.
struct CachedProgram
{
  base::ProgramId mProgram;
  uint64_t mTokens = 0;
};

// What a poll wants done.
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
    uint64_t mPeer = 0; // Incarnation of the entry that asked.
  };
  std::vector<Release> mReleases; // Answer each by Released or ReleaseFailed.
  std::vector<Ack> mAcks;         // All engines have released the program.
  std::vector<Release> mEvicted; // The engine no longer has the prefix, though nobody asked for it.
};

// Which programs occupy memory of which engines, and until when. Releases what has ended or is not
// held, and retries until the engine confirms. Pure: no clock, no I/O.
class MemoryTracker
{
public:
  // aEngines are the indices of the targets that are engines.
  MemoryTracker(std::vector<size_t> aEngines, const MemoryRules& aRules);

  // The owner holds a program for aLease from now. Programs that are not cached here are ignored.
  void Held(const base::ProgramId& aProgram, base::Millis aLease, base::TimePoint aNow);

  // The program has ended; released on all engines. aPeer receives the ack. Idempotent.
  void Ended(const base::ProgramId& aProgram, uint64_t aPeer, base::TimePoint aNow);

  // Calls of the program on one engine. While one runs nothing of the program is released there.
  void CallStarted(size_t aTarget, const base::ProgramId& aProgram, base::TimePoint aNow);
  void CallFinished(size_t aTarget,
                    const base::ProgramId& aProgram,
                    uint64_t aTokens,
                    base::TimePoint aNow);

  // The complete list of an engine's cached programs, requested at aRequestedAt.
  void Listed(size_t aTarget,
              std::span<const CachedProgram> aPrograms,
              base::TimePoint aRequestedAt,
              base::TimePoint aNow);

  void Released(size_t aTarget, const base::ProgramId& aProgram, base::TimePoint aNow);
  void ReleaseFailed(size_t aTarget, const base::ProgramId& aProgram, base::TimePoint aNow);

  MemoryActions Poll(base::TimePoint aNow);

  bool HasPrefix(size_t aTarget, const base::ProgramId& aProgram) const;
  size_t Programs() const;
  uint64_t Expired() const; // Programs released because nobody held them, so far.
  uint64_t Adopted() const; // Programs first seen in an engine's list, so far.

private:
  // The program on one engine.
  struct PrefixState
  {
    bool mCached = false;
    bool mReleaseConfirmed = false; // Of an ended program: the engine has released it.
    bool mInFlight = false;
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
    bool mExpired = false; // Counted as expired.
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
