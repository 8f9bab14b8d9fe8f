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
  std::string Run() const;  // Run state in the error, e.g. "not_run"; empty if none.
};

// A client of the HTTP interface for callers that knows several entries. Not thread-safe; each
// thread of a test has its own.
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

// Bodies of the requests that create a program, call a model and call a tool.
boost::json::object
ProgramBody(uint64_t aBudget);
boost::json::object
ModelBody(uint32_t aSeq, const std::string& aText, uint32_t aMaxTokens);
// The call is repeatable if aKey is empty. The arguments contain program and key too, by which the
// stand-in counts runs.
boost::json::object
ToolBody(uint32_t aSeq, const std::string& aProgram, const std::string& aKey);

std::string
CallsPath(const std::string& aProgram);

}
