#pragma once

#include "caller.h"

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

namespace sycamore::system {

// The answers that the caller of one program received.
struct ProgramRecord
{
  std::string mProgram;
  std::map<uint32_t, boost::json::value> mAnswers; // Calls answered with 200, by sequence number.
  std::map<std::string, std::string> mKeys;        // By key: "answered", "not_run" or "unknown".
  bool mEnded = false;
};

// Runs programs concurrently against a cluster. Each is a chain of model calls, repeatable tool
// calls and non-idempotent tool calls, which are sent to the entries in turn until they are
// answered.
class Load
{
public:
  // aCalls: length of each chain; every third call is non-idempotent.
  Load(std::vector<http::Endpoint> aEntries, size_t aPrograms, uint32_t aCalls);
  ~Load();
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  // Number of calls answered 200 so far.
  size_t Answered() const { return mAnswered.load(); }

  // Waits until aCount calls were answered. Returns false after aLimit.
  bool WaitAnswered(size_t aCount, base::Millis aLimit) const;

  // Waits until each chain is complete. Programs are not ended. Returns false after aLimit.
  bool Finish(base::Millis aLimit);

  // The records of all programs; only after Finish.
  const std::vector<ProgramRecord>& Records() const { return mRecords; }

  // Errors that callers received but must not receive; only after Finish.
  const std::vector<std::string>& Faults() const { return mFaults; }

private:
  void RunProgram(ProgramRecord& aRecord);
  bool RunCall(Caller& aCaller, ProgramRecord& aRecord, uint32_t aSeq);
  void AddFault(std::string aFault);

  const std::vector<http::Endpoint> mEntries;
  const uint32_t mCalls;
  std::vector<ProgramRecord> mRecords;
  std::atomic<size_t> mAnswered{ 0 };
  std::atomic<size_t> mRunning{ 0 };
  std::atomic<bool> mStop{ false };
  std::mutex mMutex;
  std::vector<std::string> mFaults; // Guarded by mMutex.
  std::vector<std::thread> mThreads;
};

}
