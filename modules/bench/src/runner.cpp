#include "sycamore/bench/runner.h"

#include "caller.h"
#include "event_loop.h"
#include "program_driver.h"

#include <fmt/format.h>

namespace sycamore::bench {

using base::Clock;
using base::Millis;

static constexpr base::Seconds kProgressInterval{ 10 };

// An answer may come this long after the call's deadline.
static constexpr Millis kDeadlineMargin{ 5000 };

// One run; lives while its loop runs.
class Run
{
public:
  Run(const Mix& aMix, const std::vector<PlannedProgram>& aPlan, const RunOptions& aOptions)
    : mPlan(aPlan)
    , mOptions(aOptions)
    , mCaller(mLoop,
              { aOptions.mEntries, aOptions.mCallDeadline + kDeadlineMargin, aOptions.mPatience },
              mRecord)
    , mDriver(aMix, mLoop, mCaller, mRecord, aOptions.mCallDeadline)
  {
    mRecord.mAccounts.resize(aMix.mAccounts.size());
  }

  RunRecord Perform()
  {
    const Millis last = mPlan.empty() ? Millis(0) : mPlan.back().mArrival;
    ScheduleNext();
    Report();
    mLoop.Run(mStart + last + mOptions.mDrain,
              [this] { return mNext == mPlan.size() && mDriver.Running() == 0; });
    mCaller.Stop();
    mDriver.CutOff();
    mRecord.mElapsed = std::chrono::duration_cast<Millis>(Clock::now() - mStart);
    return std::move(mRecord);
  }

private:
  void ScheduleNext()
  {
    if (mNext < mPlan.size()) {
      mLoop.At(mStart + mPlan[mNext].mArrival, [this] {
        mDriver.Begin(mPlan[mNext++]);
        ScheduleNext();
      });
    }
  }

  void Report()
  {
    if (!mOptions.mProgress) {
      return;
    }
    const auto elapsed = std::chrono::duration_cast<base::Seconds>(Clock::now() - mStart);
    mOptions.mProgress(fmt::format("{:>5} s: {} of {} programs arrived, {} running\n",
                                   elapsed.count(),
                                   mNext,
                                   mPlan.size(),
                                   mDriver.Running()));
    mLoop.At(Clock::now() + kProgressInterval, [this] { Report(); });
  }

  const std::vector<PlannedProgram>& mPlan;
  const RunOptions& mOptions;
  const base::TimePoint mStart = Clock::now();
  size_t mNext = 0;
  RunRecord mRecord;
  EventLoop mLoop;
  Caller mCaller;
  ProgramDriver mDriver;
};

RunRecord
RunPlan(const Mix& aMix, const std::vector<PlannedProgram>& aPlan, const RunOptions& aOptions)
{
  return Run(aMix, aPlan, aOptions).Perform();
}

}
