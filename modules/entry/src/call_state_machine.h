#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace sycamore::entry {

// Phases of a call at its owner.
enum class CallPhase : uint8_t
{
  Loading,    // The program's history is being read.
  Reserving,  // A Reserved record is appended and not folded.
  Ready,      // Waiting for a target.
  Intending,  // An Intent record is appended and not folded.
  Running,    // Dispatched; the outcome is awaited.
  Searching,  // Dispatched; the connection was lost, and the sidecar is asked for the call.
  Sealing,    // Found in the log after a takeover, without a definite outcome; a seal is sent.
  Committing, // A Turn or Outcome record is appended and not folded.
  Done,
};

// Inputs of CallStateMachine.
enum class CallTransition : uint8_t
{
  FinishLoading, // The history is loaded and the durable reservation suffices.
  Reserve,       // A record that raises the reservation is appended.
  Reserved,      // The reservation was folded.
  RecordIntent,  // An Intent record is appended.
  Dispatch,      // Sent to a sidecar.
  Retry,         // The call did not run, or is repeatable: it is dispatched again.
  Disconnect,    // The connection was lost.
  Locate,        // The sidecar has the call queued or running.
  Commit,        // The outcome is known and its record is appended.
  ResumeSearch,  // The recorded outcome is Unknown; a definite one may still arrive.
  Finish,        // The record was folded, or the call was given up.
};

// The state machine of one call. Spec: spec/ownership.pml (owner).
class CallStateMachine
{
public:
  // aStart is Loading for a caller's call and Sealing for one found in the log.
  explicit CallStateMachine(CallPhase aStart);
  ~CallStateMachine();
  CallStateMachine(CallStateMachine&&) noexcept;
  CallStateMachine& operator=(CallStateMachine&&) noexcept;

  CallPhase Phase() const;

  // Applies a transition. Returns false and changes nothing if the phase does not allow it.
  bool Apply(CallTransition aTransition);

private:
  class Machine;
  std::unique_ptr<Machine> mMachine;
};

std::string_view
PhaseName(CallPhase aPhase);

}
