#include "sycamore/testbed/engine_model.h"

#include "sycamore/testbed/tokens.h"

#include <algorithm>
#include <chrono>
#include <fmt/format.h>

namespace sycamore::testbed {

EngineModel::EngineModel(const EngineSettings& aSettings)
  : mSettings(aSettings)
  , mCache(aSettings.mCacheTokens)
{
}

bool
EngineModel::Fits(const EngineCall& aCall) const
{
  return aCall.mPromptTokens + aCall.mAnswerTokens <= mCache.CapacityTokens();
}

bool
EngineModel::Submit(EngineCall aCall, base::TimePoint aNow)
{
  if (mQueue.size() >= mSettings.mMaxQueued) {
    return false;
  }
  const auto place = std::make_pair(aCall.mPriority, ++mArrivals);
  mQueue.emplace(place, std::move(aCall));
  if (!mStepEnd) {
    StartStep(aNow);
  }
  return true;
}

void
EngineModel::Cancel(uint64_t aId, base::TimePoint aNow)
{
  std::erase_if(mQueue, [aId](const auto& aItem) { return aItem.second.mId == aId; });
  const auto running = std::find_if(
    mRunning.begin(), mRunning.end(), [aId](const auto& aItem) { return aItem.mCall.mId == aId; });
  if (running != mRunning.end()) {
    Abandon(*running, aNow);
    mRunning.erase(running);
  }
}

void
EngineModel::Pause(base::TimePoint aUntil)
{
  mPausedUntil = aUntil;
}

std::optional<base::TimePoint>
EngineModel::NextStep() const
{
  if (mStepEnd) {
    return mStepEnd;
  }
  // Nothing runs; a queued call waits for the end of the pause.
  return mQueue.empty() ? std::nullopt : std::optional<base::TimePoint>(mPausedUntil);
}

std::vector<EngineProgress>
EngineModel::RunDue(base::TimePoint aNow)
{
  std::map<uint64_t, EngineProgress> progress;
  while (mStepEnd && *mStepEnd <= aNow) {
    const base::TimePoint end = *mStepEnd;
    EndStep(progress);
    StartStep(end);
  }
  if (!mStepEnd && !mQueue.empty()) {
    StartStep(aNow);
  }
  std::vector<EngineProgress> reports;
  for (const auto& [id, report] : progress) {
    reports.push_back(report);
  }
  return reports;
}

uint64_t
EngineModel::QueuedTokens() const
{
  uint64_t tokens = 0;
  for (const auto& [place, call] : mQueue) {
    tokens += call.mPromptTokens;
  }
  for (const RunningCall& running : mRunning) {
    tokens += running.mPrefillLeft;
  }
  return tokens;
}

void
EngineModel::StartStep(base::TimePoint aNow)
{
  Admit(aNow);
  mStepEnd.reset();
  if (!mRunning.empty()) {
    mStepEnd = aNow + PlanStep();
  }
}

void
EngineModel::Admit(base::TimePoint aNow)
{
  while (aNow >= mPausedUntil && !mQueue.empty() && mRunning.size() < mSettings.mMaxBatch) {
    if (!TryRun(mQueue.begin()->second, aNow)) {
      return;
    }
    mQueue.erase(mQueue.begin());
  }
}

bool
EngineModel::TryRun(const EngineCall& aCall, base::TimePoint aNow)
{
  RunningCall running;
  running.mCall = aCall;
  const bool shares = !aCall.mProgram.empty() && !mCache.Pinned(aCall.mProgram);
  // A call without program, or beside another call of its program, gets memory of its own that is
  // dropped at its end. '#' occurs in no program id.
  running.mTag = shares ? aCall.mProgram : fmt::format("#{}", aCall.mId);
  const uint64_t matched = mCache.Match(aCall.mProgram, aCall.mChain);
  // The last prompt token is always computed, since its result is the first answer token.
  running.mCachedTokens = std::min(matched, aCall.mPromptTokens - 1);
  running.mPrefillLeft = aCall.mPromptTokens - running.mCachedTokens;
  if (!mCache.Pin(running.mTag, matched, aCall.mPromptTokens + aCall.mAnswerTokens, aNow)) {
    return false;
  }
  EngineProgramStats& stats = mPrograms[aCall.mProgram];
  ++stats.mRuns;
  stats.mPromptTokens += aCall.mPromptTokens;
  stats.mCachedTokens += running.mCachedTokens;
  stats.mRecomputedTokens +=
    aCall.mPriorTokens - std::min(aCall.mPriorTokens, running.mCachedTokens);
  mRunning.push_back(std::move(running));
  return true;
}

base::Clock::duration
EngineModel::PlanStep()
{
  uint64_t chunkLeft = std::max<uint64_t>(1, mSettings.mPrefillChunkTokens);
  uint64_t prefill = 0;
  uint64_t decoding = 0;
  for (RunningCall& running : mRunning) {
    running.mPrefillInStep = std::min(running.mPrefillLeft, chunkLeft);
    running.mDecodesInStep = running.mPrefillLeft == 0;
    chunkLeft -= running.mPrefillInStep;
    prefill += running.mPrefillInStep;
    decoding += running.mDecodesInStep ? 1 : 0;
  }
  double seconds = static_cast<double>(prefill) / mSettings.mPrefillTokensPerSecond;
  if (decoding > 0) {
    const double slowdown = 1 + mSettings.mBatchSlowdown * static_cast<double>(decoding - 1);
    seconds += slowdown / mSettings.mDecodeTokensPerSecond;
  }
  return std::chrono::ceil<base::Micros>(std::chrono::duration<double>(seconds));
}

void
EngineModel::EndStep(std::map<uint64_t, EngineProgress>& aProgress)
{
  const base::TimePoint now = *mStepEnd;
  for (RunningCall& running : mRunning) {
    Advance(running, aProgress);
    if (running.mGenerated == running.mCall.mAnswerTokens) {
      Finish(running, now);
    }
  }
  std::erase_if(mRunning, [](const RunningCall& aRunning) {
    return aRunning.mGenerated == aRunning.mCall.mAnswerTokens;
  });
}

void
EngineModel::Advance(RunningCall& aRunning, std::map<uint64_t, EngineProgress>& aProgress)
{
  aRunning.mPrefillLeft -= aRunning.mPrefillInStep;
  // The end of the prefill gives the first token.
  const bool firstToken = aRunning.mPrefillInStep > 0 && aRunning.mPrefillLeft == 0;
  if (!firstToken && !aRunning.mDecodesInStep) {
    return;
  }
  const EngineProgress fresh{
    aRunning.mCall.mId, aRunning.mGenerated, aRunning.mGenerated, aRunning.mCachedTokens, false
  };
  EngineProgress& progress = aProgress.try_emplace(aRunning.mCall.mId, fresh).first->second;
  ++aRunning.mGenerated;
  progress.mToToken = aRunning.mGenerated;
  progress.mDone = aRunning.mGenerated == aRunning.mCall.mAnswerTokens;
  ++mPrograms[aRunning.mCall.mProgram].mGeneratedTokens;
}

void
EngineModel::Finish(const RunningCall& aRunning, base::TimePoint aNow)
{
  ++mPrograms[aRunning.mCall.mProgram].mFinished;
  if (aRunning.mTag != aRunning.mCall.mProgram) {
    mCache.Drop(aRunning.mTag, aNow);
    return;
  }
  PrefixChain chain = aRunning.mCall.mChain;
  chain.push_back(aRunning.mCall.mAnswerLink);
  mCache.Unpin(aRunning.mTag, std::move(chain), aNow);
}

void
EngineModel::Abandon(const RunningCall& aRunning, base::TimePoint aNow)
{
  ++mPrograms[aRunning.mCall.mProgram].mCancelled;
  PrefixChain chain = aRunning.mCall.mChain;
  const uint64_t computed = aRunning.mCall.mPromptTokens - aRunning.mPrefillLeft;
  while (!chain.empty() && TokensInBytes(chain.back().mBytes) > computed) {
    chain.pop_back();
  }
  if (aRunning.mTag != aRunning.mCall.mProgram) {
    chain.clear();
  }
  mCache.Unpin(aRunning.mTag, std::move(chain), aNow);
}

}
