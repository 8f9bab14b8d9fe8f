#pragma once

#include <cstdint>
#include <memory>

namespace sycamore::sidecar {

enum class CallPhase : uint8_t
{
  Queued,
  Running,
  Cancelling, // The connection to the target is being closed; its report is outstanding.
  Finished,
};

enum class CallStep : uint8_t
{
  Start,
  Cancel, // A queued call finishes at once, a running one when the target's report arrives.
  Finish,
};

// The life of one call on this sidecar.
class CallStateMachine
{
public:
  CallStateMachine();
  ~CallStateMachine();
  CallStateMachine(CallStateMachine&&) noexcept;
  CallStateMachine& operator=(CallStateMachine&&) noexcept;

  CallPhase Phase() const;

  // Returns false if aStep is not possible in the present phase, which then stays.
  bool Apply(CallStep aStep);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

}
