#pragma once

#include "sycamore/platform/log_client.h"

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace sycamore::ledger::testing {

// What happens to one append.
enum class AppendFault
{
  None,
  Refused,        // No effect, and the client knows.
  LostNoEffect,   // No effect; the answer is lost.
  LostEffect,     // Takes effect; the answer is lost.
  LostEffectLate, // Takes effect only at DeliverLate; the answer is lost.
};

// An in-process log that injects faults. Thread-safe; shared by its clients.
class FakeLog
{
public:
  // Sets the faults of the next appends, in order. Later appends have none.
  void PlanAppends(std::vector<AppendFault> aFaults);

  // Makes reads fail, or work again.
  void SetReadsFail(bool aFail);

  // Makes all appends fail as refused, or work again.
  void SetAppendsFail(bool aFail);

  // Appends the records that LostEffectLate held back.
  void DeliverLate();

  // Appends raw data as another process would.
  uint64_t AppendForeign(const std::string& aStream, const std::string& aData);

  // Drops all records below aFirst.
  void Truncate(const std::string& aStream, uint64_t aFirst);

  // All records of aStream, retained or not.
  std::vector<std::string> Records(const std::string& aStream) const;
  uint64_t Reads() const;

  std::unique_ptr<platform::LogClient> MakeClient();

private:
  friend class FakeLogClient;

  struct Stream
  {
    uint64_t mFirst = 0;
    std::vector<std::string> mRecords;
  };

  base::Result<uint64_t> Append(const std::string& aStream, std::string_view aData);
  base::Result<platform::LogPage> Read(const std::string& aStream,
                                       uint64_t aFrom,
                                       size_t aMaxRecords,
                                       bool aLast);
  uint64_t Store(const std::string& aStream, std::string aData);

  mutable std::mutex mMutex;
  std::map<std::string, Stream> mStreams;
  std::deque<AppendFault> mFaults;
  std::vector<std::pair<std::string, std::string>> mLate;
  bool mReadsFail = false;
  bool mAppendsFail = false;
  uint64_t mReads = 0;
};

}
