#pragma once

#include <cstdint>
#include <memory>

namespace sycamore::sidecar {

enum class CallPhase : uint8_t
{
  Queued,
  Running,
  Cancelling, // The request was cancelled; its result has not been reported yet.
  Finished,
};

enum class CallStep : uint8_t
{
  Start,
  Cancel, // A queued call is finished at once, a running one when its request is reported.
  Finish,
};

// State machine of one call on this sidecar.
class CallStateMachine
{
public:
  CallStateMachine();
  ~CallStateMachine();
  CallStateMachine(CallStateMachine&&) noexcept;
  CallStateMachine& operator=(CallStateMachine&&) noexcept;

  CallPhase Phase() const;

  // Returns false and keeps the phase if aStep is not valid in the current phase.
  bool Apply(CallStep aStep);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

}
