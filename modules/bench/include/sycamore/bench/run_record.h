#pragma once

#include "sycamore/base/clock.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sycamore::bench {

// What was seen of one account's programs.
struct AccountRecord
{
  // Programs, without sub-agents.
  uint64_t mStarted = 0;
  uint64_t mDone = 0;
  uint64_t mEndedByLimit = 0; // Looping programs that a limit ended; part of mDone.
  uint64_t mFailed = 0;
  uint64_t mUnfinished = 0; // Still running when the run was cut off.
  uint64_t mSubAgents = 0;
  uint64_t mSubAgentsFailed = 0;

  uint64_t mCalls = 0;                     // Model and tool calls, sub-agents included.
  uint64_t mRefused = 0;                   // Answers that say "not run" with a retry allowed.
  uint64_t mRetried = 0;                   // Requests sent again, reconnects included.
  uint64_t mReconnected = 0;               // Broken event streams continued.
  uint64_t mUnknown = 0;                   // Non-idempotent calls with unknown outcome.
  std::map<std::string, uint64_t> mErrors; // Final failures by code.

  // Of programs done, except those ended by a limit. Milliseconds.
  std::vector<double> mLatency;    // From the creation of the first call to the last response.
  std::vector<double> mWaiting;    // Latency without the program's own pauses.
  std::vector<double> mFirstToken; // Of streamed model calls, from the first attempt on.
};

// What was seen in one run.
struct RunRecord
{
  std::vector<AccountRecord> mAccounts; // As in Mix::mAccounts.
  std::vector<double> mArrivals;        // Seconds after the start.
  std::vector<double> mFinishes;        // Seconds after the start.
  std::set<std::string> mFinished;      // Ids of programs that will not call again.
  base::Millis mElapsed{ 0 };
};

}
