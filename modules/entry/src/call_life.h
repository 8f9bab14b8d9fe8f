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
  Searching,  // Dispatched; the connection was lost and the call is looked up.
  Sealing,    // Found in the log without a final outcome after a takeover.
  Committing, // A Turn or Outcome record is appended and not folded.
  Done,
};

enum class CallStep : uint8_t
{
  Load,     // History is complete and the reservation is durable.
  Reserve,  // History is complete; a reservation is appended.
  Reserved, // The reservation was folded.
  Intend,   // An intent is appended.
  Dispatch, // Sent to a sidecar.
  Retry,    // Known as not run, or repeatable: to be sent again.
  Lose,     // The connection was lost.
  Find,     // The sidecar still has the call.
  Decide,   // The outcome is known and its record is appended.
  Refine,   // The recorded outcome is unknown; a better one may still come.
  Finish,   // The record was folded, or the call was given up.
};

// The life of one call. Spec: spec/ownership.pml (owner).
class CallLife
{
public:
  // aStart is Loading for a caller's call and Sealing for one found in the log.
  explicit CallLife(CallPhase aStart);
  ~CallLife();
  CallLife(CallLife&&) noexcept;
  CallLife& operator=(CallLife&&) noexcept;

  CallPhase Phase() const;

  // Takes a step. Returns false and changes nothing if the phase does not allow it.
  bool Take(CallStep aStep);

private:
  class Machine;
  std::unique_ptr<Machine> mMachine;
};

std::string_view
PhaseName(CallPhase aPhase);

}
