#pragma once

#include "sycamore/http/server.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace sycamore::client {

// An entry whose answers the test scripts.
class ScriptedEntry
{
public:
  using Script = std::function<void(http::Server&, const http::Request&, int)>;

  explicit ScriptedEntry(Script aScript)
    : mScript(std::move(aScript))
    , mServer({},
              { [this](const http::Request& aRequest) {
                 {
                   const std::lock_guard<std::mutex> lock(mMutex);
                   mRequests.push_back(aRequest);
                 }
                 mScript(mServer, aRequest, ++mCount);
                 return true;
               },
                {} })
  {
    mEndpoint = base::ValueOf(mServer.Listen({ "127.0.0.1", 0 }));
  }

  ~ScriptedEntry() { mServer.Stop(); }
  ScriptedEntry(const ScriptedEntry&) = delete;
  ScriptedEntry& operator=(const ScriptedEntry&) = delete;

  std::vector<http::Request> Requests()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mRequests;
  }

  http::Endpoint mEndpoint;

private:
  Script mScript;
  std::mutex mMutex;
  std::vector<http::Request> mRequests;
  std::atomic<int> mCount = 0;
  http::Server mServer;
};

// A complete answer.
inline http::ResponsePart
CompletePart(const http::Request& aRequest, int aStatus, std::string aBody)
{
  http::ResponsePart part;
  part.mRequest = aRequest.mId;
  part.mStatus = aStatus;
  part.mBody = std::move(aBody);
  return part;
}

}
