#pragma once

#include "caller.h"

#include "sycamore/bench/mix.h"
#include "sycamore/bench/plan.h"
#include "sycamore/bench/run_record.h"

#include <boost/json.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace sycamore::bench {

// Carries out planned programs step by step. Runs on the loop's thread.
class ProgramDriver
{
public:
  ProgramDriver(const Mix& aMix,
                EventLoop& aLoop,
                Caller& aCaller,
                RunRecord& aRecord,
                base::Millis aCallDeadline);

  // Starts a program that has arrived.
  void Begin(const PlannedProgram& aPlan);

  // Number of programs that have not finished, without sub-agents.
  size_t Running() const { return mRunning; }

  // Counts all running programs as unfinished.
  void CutOff();

private:
  struct Active
  {
    const PlannedProgram* mPlan = nullptr;
    Active* mParent = nullptr; // Of a sub-agent.
    std::string mId;
    size_t mNext = 0; // Index of the next step.
    uint64_t mSeq = 1;
    std::optional<base::TimePoint> mFirstCall;
    base::Millis mPaused{ 0 };
    size_t mChildren = 0; // Sub-agents that the current step waits for.
  };

  void BeginActive(const PlannedProgram& aPlan, Active* aParent);
  void OnCreated(Active& aActive, const OperationResult& aResult);
  void Advance(Active& aActive);
  void Run(Active& aActive, const PlannedModel& aStep);
  void Run(Active& aActive, const PlannedTool& aStep);
  void Run(Active& aActive, const PlannedPause& aStep);
  void Run(Active& aActive, const PlannedSubAgents& aStep);
  void SendCall(Active& aActive, boost::json::object aBody, bool aStream);
  void OnCallDone(Active& aActive, const OperationResult& aResult);
  void Complete(Active& aActive, bool aByLimit);
  void Fail(Active& aActive, const std::string& aCode);
  void End(Active& aActive);
  void Remove(Active& aActive);
  AccountRecord& RecordOf(const Active& aActive);
  const Template& TemplateOf(const Active& aActive) const;

  const Mix& mMix;
  EventLoop& mLoop;
  Caller& mCaller;
  RunRecord& mRecord;
  base::Millis mCallDeadline;
  base::TimePoint mStart;
  size_t mRunning = 0;
  std::map<Active*, std::unique_ptr<Active>> mActive;
};

}
