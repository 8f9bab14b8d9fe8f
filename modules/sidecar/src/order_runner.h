#pragma once

#include "sycamore/http/client.h"
#include "sycamore/sidecar/order_reconciler.h"
#include "sycamore/table/table.h"

#include "core_state.h"

#include <random>

namespace sycamore::sidecar {

// Runs one OrderReconciler per engine: carries out its actions and reports their results to it.
class OrderRunner
{
public:
  explicit OrderRunner(CoreState& aState);

  void OnTable(const table::Table& aTable, base::TimePoint aNow);
  void OnTick(base::TimePoint aNow);
  void OnSlot(const PendingRequest& aPending,
              bool aGranted,
              base::Millis aRetryAfter,
              base::TimePoint aNow);
  void OnDone(const PendingRequest& aPending,
              const http::ClientResponse& aResponse,
              base::TimePoint aNow);
  void OnFailed(const PendingRequest& aPending, base::TimePoint aNow);

  // An engine rejected the fencing token of a call, so it has a newer order than this process.
  void OnFenced(size_t aTarget);

  const OrderReconciler& Reconciler(size_t aTarget) const;

private:
  void RunNextAction(size_t aTarget, base::TimePoint aNow);
  void Read(size_t aTarget, base::TimePoint aNow);
  void RequestSlot(size_t aTarget, base::TimePoint aNow);
  void Send(size_t aTarget, base::TimePoint aNow);
  void OnReadDone(const PendingRequest& aPending,
                  const http::ClientResponse& aResponse,
                  base::TimePoint aNow);
  void OnSendDone(const PendingRequest& aPending,
                  const http::ClientResponse& aResponse,
                  base::TimePoint aNow);
  double Random();

  CoreState& mState;
  std::vector<OrderReconciler> mReconcilers; // By target; unused for tools.
  std::minstd_rand mRandom;
};

}
