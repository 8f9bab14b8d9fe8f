#pragma once

#include "call_runner.h"
#include "incoming.h"
#include "program_memory.h"

#include <functional>

namespace sycamore::entry {

// Accepts requests for calls: checks sequence numbers, keys and limits, attaches a repeated request
// to the call in progress, and answers a repeated request for a committed call from the history.
class CallIntake
{
public:
  // While this entry drains, aOnDraining gets the requests for new calls, to be forwarded to the
  // next owner of the partition.
  CallIntake(const CallDependencies& aDeps,
             CallRunner& aRunner,
             Answers& aAnswers,
             ProgramMemory& aMemory,
             std::function<void(const Incoming&, uint32_t)> aOnDraining);

  // POST of a call. The program's partition is owned here.
  void Submit(const Incoming& aIncoming, const base::ProgramId& aId, const CallRequest& aRequest);

  // GET of a call.
  void Get(const Incoming& aIncoming, const base::ProgramId& aId, uint32_t aSeq);

  // GET of a call's events.
  void Events(const Incoming& aIncoming, const base::ProgramId& aId, uint32_t aSeq);

private:
  struct Request
  {
    const Incoming& mIncoming;
    const base::ProgramId& mId;
    const ledger::ProgramState& mProgram;
    const CallRequest& mCall;
  };

  // Each returns true if it answered the request.
  bool AnswerFromKey(const Request& aRequest);
  bool AnswerFromSeq(const Request& aRequest);

  std::optional<base::Error> CheckProgram(const Request& aRequest);
  std::optional<base::Error> CheckService(const Request& aRequest);
  bool Admit(const Request& aRequest, Call& aCall);
  void Start(const Request& aRequest);
  void OnHistory(const base::ProgramId& aId,
                 uint32_t aSeq,
                 const base::Result<std::vector<History::TextPtr>>& aTexts);
  void Attach(Call& aCall, const Incoming& aIncoming, const CallRequest& aRequest);
  void Replay(const Incoming& aIncoming,
              const base::ProgramId& aId,
              const ledger::ProgramState& aProgram,
              uint32_t aSeq,
              bool aStream);
  void AnswerOutcome(const Incoming& aIncoming,
                     const base::ProgramId& aId,
                     const ledger::ProgramState& aProgram,
                     const std::string& aKey);
  base::TimePoint DeadlineOf(const Incoming& aIncoming, const CallRequest& aRequest) const;

  CallDependencies mDeps;
  CallRunner& mRunner;
  Answers& mAnswers;
  ProgramMemory& mMemory;
  std::function<void(const Incoming&, uint32_t)> mOnDraining;
};

// Finds a program; UnknownProgram or ProgramExpired if it is not in the state.
base::Result<const ledger::ProgramState*>
FindProgram(const ledger::PartitionState& aState, const base::ProgramId& aId);

}
