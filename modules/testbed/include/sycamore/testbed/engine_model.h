#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/testbed/engine_call.h"
#include "sycamore/testbed/engine_program_stats.h"
#include "sycamore/testbed/engine_progress.h"
#include "sycamore/testbed/engine_settings.h"
#include "sycamore/testbed/prefix_cache.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sycamore::testbed {

// Continuous batching with chunked prefill, in simulated time. In each step every decoding call
// gets one token, and at most one chunk of prompt tokens is computed; the step takes as long as
// both together. Calls enter and leave the batch between steps only.
class EngineModel
{
public:
  explicit EngineModel(const EngineSettings& aSettings);

  // Whether a call of this size could ever run.
  bool Fits(const EngineCall& aCall) const;

  // Queues a call; returns false if the queue is full.
  bool Submit(EngineCall aCall, base::TimePoint aNow);

  // Removes a call from the queue or the batch. The computed prefix is kept.
  void Cancel(uint64_t aId, base::TimePoint aNow);

  // Lets no call enter the batch before aUntil.
  void Pause(base::TimePoint aUntil);

  // When RunDue has work to do.
  std::optional<base::TimePoint> NextStep() const;

  // Ends all steps that are due by aNow and starts the next one. One element per call at most.
  std::vector<EngineProgress> RunDue(base::TimePoint aNow);

  // Replaces the speeds and limits; the cache keeps its size.
  void SetSettings(const EngineSettings& aSettings) { mSettings = aSettings; }

  size_t Running() const { return mRunning.size(); }
  size_t Queued() const { return mQueue.size(); }
  uint64_t QueuedTokens() const;

  PrefixCache& Cache() { return mCache; }
  const PrefixCache& Cache() const { return mCache; }
  const std::map<std::string, EngineProgramStats>& Programs() const { return mPrograms; }
  void ResetStats() { mPrograms.clear(); }

private:
  struct RunningCall
  {
    EngineCall mCall;
    std::string mTag; // Of its cache entry.
    uint64_t mCachedTokens = 0;
    uint64_t mPrefillLeft = 0;
    uint64_t mPrefillInStep = 0;
    uint64_t mGenerated = 0;
    bool mDecodesInStep = false;
  };

  void StartStep(base::TimePoint aNow);
  void Admit(base::TimePoint aNow);
  bool TryRun(const EngineCall& aCall, base::TimePoint aNow);
  base::Clock::duration PlanStep();
  void EndStep(std::map<uint64_t, EngineProgress>& aProgress);
  void Advance(RunningCall& aRunning, std::map<uint64_t, EngineProgress>& aProgress);
  void Finish(const RunningCall& aRunning, base::TimePoint aNow);
  void Abandon(const RunningCall& aRunning, base::TimePoint aNow);

  EngineSettings mSettings;
  PrefixCache mCache;
  std::map<std::pair<int64_t, uint64_t>, EngineCall> mQueue; // By priority, then arrival.
  uint64_t mArrivals = 0;
  std::vector<RunningCall> mRunning;
  std::optional<base::TimePoint> mStepEnd; // Nothing if no step is in progress.
  base::TimePoint mPausedUntil{};
  std::map<std::string, EngineProgramStats> mPrograms;
};

}
