#pragma once

#include "sycamore/testbed/log_stream.h"
#include "sycamore/testbed/standin.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sycamore::testbed {

// A test double of the platform's store, as its published protocol describes it: appends, reads
// that wait, and the newest record of each key. One partition a topic.
//
// Control keys: "down" (503 to every call), "mute" (calls are executed and not answered),
// "drop_before" with "topic" (older records are gone).
class StoreStandin : public Standin
{
public:
  void OnRequest(const http::Request& aRequest, base::TimePoint aNow) override;
  void OnClosed(uint64_t aRequest, base::TimePoint aNow) override;
  base::Result<base::Unit> OnControl(const boost::json::object& aControl,
                                     base::TimePoint aNow) override;
  std::optional<base::TimePoint> NextTimer() const override;
  void OnTimer(base::TimePoint aNow) override;
  boost::json::object Stats(base::TimePoint aNow) const override;
  void ResetStats(base::TimePoint aNow) override;

private:
  // A read that waits for a record.
  struct Waiting
  {
    uint64_t mRequest = 0;
    std::string mTopic;
    uint64_t mFrom = 0;
    base::TimePoint mUntil;
  };

  void Append(const http::Request& aRequest, const std::string& aTopic, base::TimePoint aNow);
  void Read(const http::Request& aRequest, const std::string& aTopic, base::TimePoint aNow);
  void Newest(const http::Request& aRequest, const std::string& aTopic);
  void AnswerRead(uint64_t aRequest, const std::string& aTopic, uint64_t aFrom);
  void Answer(http::ResponsePart aPart);
  void WakeReaders(base::TimePoint aNow);

  std::map<std::string, LogStream> mTopics;
  std::vector<Waiting> mWaiting;
  bool mDown = false;
  bool mMute = false;
  uint64_t mAppends = 0; // Calls, not records.
  uint64_t mReads = 0;
  uint64_t mRefused = 0;
};

}
