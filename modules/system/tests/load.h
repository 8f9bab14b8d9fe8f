#pragma once

#include "caller.h"

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

namespace sycamore::system {

// What the caller of one program was told.
struct ProgramRecord
{
  std::string mProgram;
  std::map<uint32_t, boost::json::value> mAnswers; // By sequence number, calls answered 200.
  std::map<std::string, std::string> mKeys;        // Key to "answered", "not_run" or "unknown".
  bool mEnded = false;
};

// Programs that run concurrently against a cluster: each is a chain of model, repeatable and
// non-idempotent tool calls, sent to the entries in turn and sent again until answered.
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

  // The records; only after Finish.
  const std::vector<ProgramRecord>& Records() const { return mRecords; }

  // Errors that no caller should see; only after Finish.
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
