#pragma once

#include "sycamore/base/clock.h"

#include <boost/json.hpp>
#include <cstdint>
#include <vector>

namespace sycamore::testbed {

// What an engine was last commanded to load and to be.
class EngineOrders
{
public:
  explicit EngineOrders(bool aChecksFence);

  // Whether a fencing token below the current version is rejected.
  bool Rejects(uint64_t aVersion) const;

  // Applies an order that Rejects lets pass. Returns whether a model, adapter or version has to be
  // loaded.
  bool Apply(const boost::json::object& aOrder);

  // Counts a rejected order.
  void CountRefused() { ++mRefused; }

  // The current state, as answered by /v1/orders.
  boost::json::object State() const { return mState; }

  void SetChecksFence(bool aChecksFence) { mChecksFence = aChecksFence; }

  // Versions applied, in order of application; the last 1,000.
  const std::vector<uint64_t>& Applied() const { return mApplied; }
  uint64_t Refused() const { return mRefused; }

private:
  bool mChecksFence;
  boost::json::object mState;
  std::vector<uint64_t> mApplied;
  uint64_t mRefused = 0;
};

}
