#pragma once

#include "sycamore/testbed/cache_event_feed.h"
#include "sycamore/testbed/chat_request.h"
#include "sycamore/testbed/engine_model.h"
#include "sycamore/testbed/engine_orders.h"
#include "sycamore/testbed/engine_settings.h"
#include "sycamore/testbed/standin.h"

#include <map>

namespace sycamore::testbed {

// An inference engine. Time passed in is real time; the model runs in simulated time.
class EngineStandin : public Standin
{
public:
  explicit EngineStandin(const EngineSettings& aSettings);

  void OnRequest(const http::Request& aRequest, base::TimePoint aNow) override;
  void OnClosed(uint64_t aRequest, base::TimePoint aNow) override;
  base::Result<base::Unit> OnControl(const boost::json::object& aControl,
                                     base::TimePoint aNow) override;
  std::optional<base::TimePoint> NextTimer() const override;
  void OnTimer(base::TimePoint aNow) override;
  boost::json::object Stats(base::TimePoint aNow) const override;
  void ResetStats(base::TimePoint aNow) override;

private:
  struct OpenCall
  {
    ChatRequest mRequest;
    bool mStarted = false; // The first part was sent.
  };

  base::TimePoint Simulated(base::TimePoint aReal) const;
  base::TimePoint Real(base::TimePoint aSimulated) const;
  void Complete(const http::Request& aRequest, base::TimePoint aNow);
  void Load(const http::Request& aRequest, base::TimePoint aNow);
  void CachedPrograms(const http::Request& aRequest);
  void ReleaseProgram(const http::Request& aRequest, base::TimePoint aNow);
  void Orders(const http::Request& aRequest, base::TimePoint aNow);
  void Report(const EngineProgress& aProgress);
  void SendTokens(OpenCall& aCall, const EngineProgress& aProgress);
  void CollectChanges(base::TimePoint aNow);
  void TakeLoad(base::TimePoint aNow);

  EngineSettings mSettings;
  base::TimePoint mOrigin; // Where simulated and real time are the same.
  EngineModel mModel;
  CacheEventFeed mEvents;
  EngineOrders mOrders;
  std::map<uint64_t, OpenCall> mCalls;
  boost::json::object mLoad; // The last load report.
  base::TimePoint mLoadTaken{};
  bool mLoadFrozen = false;
};

}
