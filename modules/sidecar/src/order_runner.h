#pragma once

#include "sycamore/http/client.h"
#include "sycamore/sidecar/order_keeper.h"
#include "sycamore/table/table.h"

#include "core_state.h"

#include <random>

namespace sycamore::sidecar {

// Keeps each engine in the state that the table orders for its service.
class OrderRunner
{
public:
  explicit OrderRunner(CoreState& aState);

  void OnTable(const table::Table& aTable, base::TimePoint aNow);
  void OnTick(base::TimePoint aNow);
  void OnSlot(const Ticket& aTicket, bool aGranted, base::Millis aRetryAfter, base::TimePoint aNow);
  void OnDone(const Ticket& aTicket, const http::ClientResponse& aResponse, base::TimePoint aNow);
  void OnFailed(const Ticket& aTicket, base::TimePoint aNow);

  const OrderKeeper& Keeper(size_t aTarget) const;

private:
  void Act(size_t aTarget, base::TimePoint aNow);
  void Read(size_t aTarget, base::TimePoint aNow);
  void RequestSlot(size_t aTarget, base::TimePoint aNow);
  void Send(size_t aTarget, base::TimePoint aNow);
  void OnReadDone(const Ticket& aTicket,
                  const http::ClientResponse& aResponse,
                  base::TimePoint aNow);
  void OnSendDone(const Ticket& aTicket,
                  const http::ClientResponse& aResponse,
                  base::TimePoint aNow);
  double Random();

  CoreState& mState;
  std::vector<OrderKeeper> mKeepers; // By target; those of tools stay unused.
  std::minstd_rand mRandom;
};

}
