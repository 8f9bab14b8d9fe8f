#include "crash_suspects.h"

#include "sycamore/base/log.h"

#include <algorithm>
#include <cassert>
#include <variant>

namespace sycamore::gateway {

// Crashes of different incarnations after which a request that may have begun in each is barred:
// with two, one that began by chance beside the culprit both times would be.
static constexpr size_t kMaxCrashesBegun = 3;
// The same for a request that a replica may only have accepted: many are there each time.
static constexpr size_t kMaxCrashes = 5;

// Completed requests and paths that are remembered, 16 bytes each or a little more.
static constexpr size_t kCompletedKept = 4096;

CrashSuspects::CrashSuspects(SharedFacts& aFacts)
  : mFacts(aFacts)
  , mCompleted(kCompletedKept)
{
  mFacts.OnNews([this](const Fact& aFact, SharedFacts::Origin aOrigin) {
    if (const auto* crash = std::get_if<ReplicaCrash>(&aFact.mWhat)) {
      OnCrash(*crash, aFact, aOrigin);
    } else if (const auto* completed = std::get_if<RequestCompleted>(&aFact.mWhat)) {
      OnCompleted(*completed, aFact);
    }
  });
}

bool
CrashSuspects::IsBarred(const Suspect& aSuspect)
{
  return !aSuspect.mCompleted && (aSuspect.mCrashedBegun.size() >= kMaxCrashesBegun ||
                                  aSuspect.mCrashed.size() >= kMaxCrashes);
}

bool
CrashSuspects::IsBarred(uint64_t aHash) const
{
  const auto suspect = mSuspects.find(aHash);
  return suspect != mSuspects.end() && IsBarred(suspect->second);
}

bool
CrashSuspects::IsBarred(const RequestHash& aRequest) const
{
  return IsBarred(aRequest.mRequest) || IsBarred(aRequest.mPath);
}

bool
CrashSuspects::AwaitsVerdict(const RequestHash& aRequest) const
{
  const auto probed = mProbed.find(aRequest.mRequest);
  if (probed == mProbed.end() || mCompleted.Contains(aRequest.mRequest)) {
    return false;
  }
  size_t crashed = probed->second.mBroken;
  size_t begun = probed->second.mBegun;
  if (const auto suspect = mSuspects.find(aRequest.mRequest); suspect != mSuspects.end()) {
    if (suspect->second.mCompleted) {
      return false;
    }
    crashed += suspect->second.mCrashed.size();
    begun += suspect->second.mCrashedBegun.size();
  }
  return begun >= kMaxCrashesBegun || crashed >= kMaxCrashes;
}

void
CrashSuspects::NoteProbeStarted(const RequestHash& aRequest, bool aMayHaveBegun)
{
  Probed& probed = mProbed[aRequest.mRequest];
  ++probed.mBroken;
  probed.mBegun += aMayHaveBegun ? 1 : 0;
}

void
CrashSuspects::NoteProbeEnded(const RequestHash& aRequest, bool aMayHaveBegun)
{
  const auto probed = mProbed.find(aRequest.mRequest);
  assert(probed != mProbed.end());
  probed->second.mBegun -= aMayHaveBegun ? 1 : 0;
  if (--probed->second.mBroken == 0) {
    mProbed.erase(probed);
  }
}

void
CrashSuspects::NoteCrash(const RequestHash& aRequest, const Replica& aReplica, bool aMayHaveBegun)
{
  const base::TimePoint now = base::Clock::now();
  for (const uint64_t hash : { aRequest.mRequest, aRequest.mPath }) {
    if (!mCompleted.Contains(hash)) {
      mFacts.Add(
        { ReplicaCrash{ hash, aReplica.mId, aReplica.mStartedUnixMs, aMayHaveBegun }, now },
        SharedFacts::Origin::Own);
    }
  }
}

void
CrashSuspects::NoteCompleted(const RequestHash& aRequest)
{
  NoteCompleted(aRequest.mRequest);
  NoteCompleted(aRequest.mPath);
}

void
CrashSuspects::NoteCompleted(uint64_t aHash)
{
  mCompleted.Add(aHash);
  const auto suspect = mSuspects.find(aHash);
  if (suspect != mSuspects.end() && !suspect->second.mCompleted) {
    mFacts.Add({ RequestCompleted{ aHash }, base::Clock::now() }, SharedFacts::Origin::Own);
  }
}

void
CrashSuspects::OnCrash(const ReplicaCrash& aCrash, const Fact& aFact, SharedFacts::Origin aOrigin)
{
  Suspect& suspect = mSuspects[aCrash.mRequest];
  const bool wasBarred = IsBarred(suspect);
  const Incarnation incarnation(aCrash.mReplica, aCrash.mStartedUnixMs);
  suspect.mCrashed.insert(incarnation);
  if (aCrash.mMayHaveBegun) {
    suspect.mCrashedBegun.insert(incarnation);
  }
  suspect.mExpires = std::max(suspect.mExpires, aFact.mObservedAt + LifetimeOf(aFact));
  if (aOrigin == SharedFacts::Origin::Own) {
    base::Log(base::LogEvent::CrashSuspected,
              "request={:016x} replica={} may_have_begun={} crashes={} begun={} completed={}",
              aCrash.mRequest,
              aCrash.mReplica,
              aCrash.mMayHaveBegun,
              suspect.mCrashed.size(),
              suspect.mCrashedBegun.size(),
              suspect.mCompleted);
  }
  if (!wasBarred && IsBarred(suspect)) {
    base::Log(base::LogEvent::RequestBarred,
              "request={:016x} crashes={} begun={}",
              aCrash.mRequest,
              suspect.mCrashed.size(),
              suspect.mCrashedBegun.size());
  }
  if (!suspect.mCompleted && mCompleted.Contains(aCrash.mRequest)) {
    NoteCompleted(aCrash.mRequest); // It has completed here, before another gateway suspected it.
  }
}

void
CrashSuspects::OnCompleted(const RequestCompleted& aCompleted, const Fact& aFact)
{
  Suspect& suspect = mSuspects[aCompleted.mRequest];
  suspect.mCompleted = true;
  suspect.mExpires = std::max(suspect.mExpires, aFact.mObservedAt + LifetimeOf(aFact));
}

void
CrashSuspects::Expire(base::TimePoint aNow)
{
  std::erase_if(mSuspects, [aNow](const auto& aEntry) { return aEntry.second.mExpires <= aNow; });
}

size_t
CrashSuspects::BarredCount() const
{
  return static_cast<size_t>(
    std::count_if(mSuspects.begin(), mSuspects.end(), [](const auto& aEntry) {
      return IsBarred(aEntry.second);
    }));
}

}
