#pragma once

#include "sycamore/testbed/log_settings.h"
#include "sycamore/testbed/log_stream.h"
#include "sycamore/testbed/rate_limit.h"
#include "sycamore/testbed/standin.h"

#include <map>
#include <string>

namespace sycamore::testbed {

// The platform's log, in memory.
class LogStandin : public Standin
{
public:
  explicit LogStandin(const LogSettings& aSettings);

  void OnRequest(const http::Request& aRequest, base::TimePoint aNow) override;
  base::Result<base::Unit> OnControl(const boost::json::object& aControl,
                                     base::TimePoint aNow) override;
  boost::json::object Stats(base::TimePoint aNow) const override;
  void ResetStats(base::TimePoint aNow) override;

private:
  void Append(const http::Request& aRequest, const std::string& aStream, base::TimePoint aNow);
  void Read(const http::Request& aRequest, const std::string& aStream, base::TimePoint aNow);

  LogSettings mSettings;
  RateLimit mLimit;
  std::map<std::string, LogStream> mStreams;
  uint64_t mAppends = 0;
  uint64_t mAppendedBytes = 0;
  uint64_t mReads = 0;
  uint64_t mReadBytes = 0;
  uint64_t mLimited = 0;
};

}
