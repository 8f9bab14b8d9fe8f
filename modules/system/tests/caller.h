#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/http/client.h"
#include "sycamore/http/endpoint.h"

#include <boost/json.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sycamore::system {

// A complete answer of an entry.
struct CallAnswer
{
  int mStatus = 0;
  boost::json::object mBody;

  bool Ok() const { return mStatus >= 200 && mStatus < 300; }
  std::string Code() const; // Error code, empty if none.
  std::string Run() const;  // What the error says of the execution.
};

// A client of the callers' interface that knows several entries. Not thread-safe; each thread of a
// test has its own.
class Caller
{
public:
  explicit Caller(std::vector<http::Endpoint> aEntries);

  // Sends one request to the entry with index aEntry; empty if there was no complete answer.
  std::optional<CallAnswer> Send(size_t aEntry,
                                 const std::string& aMethod,
                                 const std::string& aPath,
                                 const boost::json::object& aBody = {},
                                 base::Millis aTimeout = base::Millis(30000));

  // Sends the same request to the entries in turn until it has a final answer: not a lost
  // connection and not an error that is marked retryable. Empty after aLimit.
  std::optional<CallAnswer> Complete(const std::string& aMethod,
                                     const std::string& aPath,
                                     const boost::json::object& aBody,
                                     base::Millis aLimit);

  size_t Entries() const { return mEntries.size(); }

private:
  std::vector<http::Endpoint> mEntries;
  size_t mNext = 0;
};

// Bodies of requests.
boost::json::object
ProgramBody(uint64_t aBudget);
boost::json::object
ModelBody(uint32_t aSeq, const std::string& aText, uint32_t aMaxTokens);
// aKey empty: repeatable. Program and key are sent in the arguments too, where the stand-in counts
// them.
boost::json::object
ToolBody(uint32_t aSeq, const std::string& aProgram, const std::string& aKey);

std::string
CallsPath(const std::string& aProgram);

}
