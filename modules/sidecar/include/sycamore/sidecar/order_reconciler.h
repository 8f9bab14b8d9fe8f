#pragma once

#include "sycamore/base/clock.h"
#include "sycamore/table/order.h"

#include <cstdint>
#include <optional>

namespace sycamore::sidecar {

struct OrderRules
{
  base::Millis mBackoffMin{ 500 };
  base::Millis mBackoffMax{ 30000 };
  base::Millis mReadPeriod{ 10000 }; // Finds engines that restarted without their state.
};

enum class OrderAction : uint8_t
{
  None,
  Read,        // Read the engine's state; answer by StateRead or ReadFailed.
  RequestSlot, // Ask the weight store for a slot for Desired(); answer by SlotAnswered.
  Send,        // Send Desired() to the engine; answer by Applied, Refused or SendFailed.
};

// Brings one engine to the wanted state. Never sends a version lower than the highest one received
// from an entry or read from the engine. Pure; random numbers are passed in, in [0, 1).
class OrderReconciler
{
public:
  explicit OrderReconciler(const OrderRules& aRules);

  // The order of the engine's service in the present table. A lower version than seen is ignored.
  void SetDesired(const table::Order& aOrder);

  // The engine's state may have changed; it is read at the next poll.
  void Invalidate();

  // The next action; each is reported once, and no other follows until it is answered.
  OrderAction Poll(base::TimePoint aNow);

  void StateRead(const table::Order& aState, base::TimePoint aNow);
  void ReadFailed(double aRandom, base::TimePoint aNow);
  void SlotAnswered(bool aGranted, base::Millis aRetryAfter, double aRandom, base::TimePoint aNow);
  void Applied(base::TimePoint aNow);
  void Refused(double aRandom, base::TimePoint aNow);
  void SendFailed(double aRandom, base::TimePoint aNow);

  const std::optional<table::Order>& Desired() const;
  uint64_t HighestVersion() const;
  // Whether the engine is known to be in the wanted state.
  bool InEffect() const;

private:
  enum class Phase : uint8_t
  {
    Idle,
    Reading,
    WaitingForSlot,
    Sending,
  };

  void BackOff(base::Millis aAtLeast, double aRandom, base::TimePoint aNow);

  OrderRules mRules;
  Phase mPhase = Phase::Idle;
  std::optional<table::Order> mDesired;
  std::optional<table::Order> mState; // Of the engine; empty until it was read.
  std::optional<table::Order> mSent;  // The order under way.
  uint64_t mHighest = 0;
  uint64_t mSlotVersion = 0; // The order that the granted slot is for; 0 without a slot.
  uint32_t mFailures = 0;
  base::TimePoint mNextTry;
  base::TimePoint mNextRead;
};

// Delay before try aFailures + 1: doubles from aRules.mBackoffMin to mBackoffMax, with jitter over
// its upper half, at least aAtLeast, never outside the two limits.
base::Millis
BackoffDelay(const OrderRules& aRules, uint32_t aFailures, base::Millis aAtLeast, double aRandom);

}
