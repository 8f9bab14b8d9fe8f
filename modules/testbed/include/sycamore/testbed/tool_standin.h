#pragma once

#include "sycamore/testbed/standin.h"

#include <map>
#include <string>

namespace sycamore::testbed {

// A tool service: echoes the JSON body and counts how often each request ran.
class ToolStandin : public Standin
{
public:
  // aDelay is the duration of each run.
  explicit ToolStandin(base::Millis aDelay);

  void OnRequest(const http::Request& aRequest, base::TimePoint aNow) override;
  base::Result<base::Unit> OnControl(const boost::json::object& aControl,
                                     base::TimePoint aNow) override;
  std::optional<base::TimePoint> NextTimer() const override;
  void OnTimer(base::TimePoint aNow) override;
  boost::json::object Stats(base::TimePoint aNow) const override;
  void ResetStats(base::TimePoint aNow) override;

private:
  void Run(const http::Request& aRequest, const boost::json::object& aBody, base::TimePoint aNow);

  base::Millis mDelay;
  std::multimap<base::TimePoint, http::ResponsePart> mDue;
  std::map<std::string, uint64_t> mKeys;     // "<program>/<key>", or "<key>" without a program.
  std::map<std::string, uint64_t> mBodies;   // Digest of a body without key.
  std::map<std::string, uint64_t> mPrograms; // By program.
  std::map<std::string, uint64_t> mTools;    // By tool.
  uint64_t mRuns = 0;
};

}
