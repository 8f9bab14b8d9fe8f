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
  base::Millis mReadPeriod{ 10000 }; // Detects engines that lost their state in a restart.
};

enum class OrderAction : uint8_t
{
  None,
  Read,        // Read the engine's state; report by StateRead or ReadFailed.
  RequestSlot, // Request a weight store slot for Desired(); report by SlotAnswered.
  Send,        // Send Desired() to the engine; report by Applied, Refused or SendFailed.
};

// Reconciles one engine with the order of its service. Never sends a version lower than the highest
// one received from an entry or read from the engine. Deterministic: reads no clock and does no
// I/O; random numbers in [0, 1) are passed in.
class OrderReconciler
{
public:
  explicit OrderReconciler(const OrderRules& aRules);

  // Sets the order of the engine's service in the current table. Ignored if its version is lower
  // than HighestVersion().
  void SetDesired(const table::Order& aOrder);

  // The engine's state may have changed; it is read at the next poll.
  void Invalidate();

  // Returns the next action. Returns None until the result of the previous one was reported.
  OrderAction Poll(base::TimePoint aNow);

  void StateRead(const table::Order& aState, base::TimePoint aNow);
  void ReadFailed(double aRandom, base::TimePoint aNow);
  void SlotAnswered(bool aGranted, base::Millis aRetryAfter, double aRandom, base::TimePoint aNow);
  void Applied(base::TimePoint aNow);
  void Refused(double aRandom, base::TimePoint aNow);
  void SendFailed(double aRandom, base::TimePoint aNow);

  const std::optional<table::Order>& Desired() const;
  uint64_t HighestVersion() const;
  // Whether the engine is known to be in the desired state.
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
  std::optional<table::Order> mState; // Of the engine; empty if not known.
  std::optional<table::Order> mSent;  // The order of the slot request or send in progress.
  uint64_t mHighest = 0;
  uint64_t mSlotVersion = 0; // Version of the order that a slot was granted for; 0 if none.
  uint32_t mFailures = 0;
  base::TimePoint mNextTry;
  base::TimePoint mNextRead;
};

// Delay after aFailures earlier failures: exponential backoff from aRules.mBackoffMin to
// mBackoffMax, of which the upper half is jitter. Raised to aAtLeast, then clamped to the two
// limits.
base::Millis
BackoffDelay(const OrderRules& aRules, uint32_t aFailures, base::Millis aAtLeast, double aRandom);

}
