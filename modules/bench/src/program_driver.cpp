#include "program_driver.h"

#include "sycamore/base/random.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace sycamore::bench {

using base::Clock;
using base::Millis;

ProgramDriver::ProgramDriver(const Mix& aMix,
                             EventLoop& aLoop,
                             Caller& aCaller,
                             RunRecord& aRecord,
                             Millis aCallDeadline)
  : mMix(aMix)
  , mLoop(aLoop)
  , mCaller(aCaller)
  , mRecord(aRecord)
  , mCallDeadline(aCallDeadline)
  , mStart(Clock::now())
{
}

AccountRecord&
ProgramDriver::RecordOf(const Active& aActive)
{
  return mRecord.mAccounts[aActive.mPlan->mAccount];
}

const Template&
ProgramDriver::TemplateOf(const Active& aActive) const
{
  return mMix.mTemplates[aActive.mPlan->mTemplate];
}

static double
SecondsSince(base::TimePoint aStart)
{
  return std::chrono::duration<double>(Clock::now() - aStart).count();
}

void
ProgramDriver::Begin(const PlannedProgram& aPlan)
{
  ++mRunning;
  ++mRecord.mAccounts[aPlan.mAccount].mStarted;
  mRecord.mArrivals.push_back(SecondsSince(mStart));
  BeginActive(aPlan, nullptr);
}

void
ProgramDriver::BeginActive(const PlannedProgram& aPlan, Active* aParent)
{
  auto owned = std::make_unique<Active>();
  Active& active = *owned;
  mActive.emplace(&active, std::move(owned));
  active.mPlan = &aPlan;
  active.mParent = aParent;
  const Template& kind = TemplateOf(active);
  boost::json::object body{ { "account", mMix.mAccounts[aPlan.mAccount].mName },
                            { "region", aPlan.mRegion },
                            { "budget_tokens", kind.mBudgetTokens } };
  if (aParent != nullptr) {
    body = { { "parent", aParent->mId } };
    ++RecordOf(active).mSubAgents;
  }
  if (kind.mMaxTurns != 0) {
    body.emplace("max_turns", kind.mMaxTurns);
  }
  if (kind.mIdleLimit.count() != 0) {
    body.emplace("idle_limit_ms", kind.mIdleLimit.count());
  }
  mCaller.Start({ "/v1/programs", boost::json::serialize(body), "", aPlan.mAccount },
                [this, &active](const OperationResult& aResult) { OnCreated(active, aResult); });
}

void
ProgramDriver::OnCreated(Active& aActive, const OperationResult& aResult)
{
  if (aResult.mFailure) {
    Fail(aActive, "create:" + aResult.mFailure->mCode);
    return;
  }
  boost::json::error_code error;
  const auto root = boost::json::parse(aResult.mBody, error);
  const auto* object = root.if_object();
  const auto* id = object == nullptr ? nullptr : object->if_contains("program");
  if (id == nullptr || !id->is_string()) {
    Fail(aActive, "create:no_id");
    return;
  }
  aActive.mId = std::string(id->get_string());
  Advance(aActive);
}

void
ProgramDriver::Advance(Active& aActive)
{
  if (aActive.mNext == aActive.mPlan->mSteps.size()) {
    Complete(aActive, false);
    return;
  }
  const PlannedStep& step = aActive.mPlan->mSteps[aActive.mNext++];
  std::visit([&](const auto& aKind) { Run(aActive, aKind); }, step);
}

void
ProgramDriver::Run(Active& aActive, const PlannedModel& aStep)
{
  const uint64_t seed = base::MixHash(aActive.mPlan->mTextSeed, aActive.mSeq);
  boost::json::object message{ { "role", "user" },
                               { "content", TextOf(seed, aStep.mPromptTokens) } };
  boost::json::object body{ { "kind", "model" },
                            { "service", aStep.mService },
                            { "messages", boost::json::array{ std::move(message) } },
                            { "max_tokens", aStep.mAnswerTokens } };
  if (aStep.mStream) {
    body.emplace("stream", true);
  }
  SendCall(aActive, std::move(body), aStep.mStream);
}

void
ProgramDriver::Run(Active& aActive, const PlannedTool& aStep)
{
  const uint64_t seed = base::MixHash(aActive.mPlan->mTextSeed, aActive.mSeq);
  boost::json::object arguments{ { "program", aActive.mId },
                                 { "text", TextOf(seed, aStep.mArgumentBytes / 4) } };
  boost::json::object body{ { "kind", "tool" },
                            { "service", aStep.mService },
                            { "tool", aStep.mTool },
                            { "repeatable", aStep.mRepeatable } };
  if (!aStep.mRepeatable) {
    // The tool stand-in counts runs by this key, which shows calls that ran twice.
    const auto key = fmt::format("key-{}", aActive.mSeq);
    arguments.emplace("key", key);
    body.emplace("key", key);
  }
  body.emplace("arguments", std::move(arguments));
  SendCall(aActive, std::move(body), false);
}

void
ProgramDriver::Run(Active& aActive, const PlannedPause& aStep)
{
  aActive.mPaused += aStep.mDuration;
  mLoop.At(Clock::now() + aStep.mDuration, [this, &aActive] { Advance(aActive); });
}

void
ProgramDriver::Run(Active& aActive, const PlannedSubAgents& aStep)
{
  aActive.mChildren = aStep.mPrograms.size();
  for (const PlannedProgram& program : aStep.mPrograms) {
    BeginActive(program, &aActive);
  }
}

void
ProgramDriver::SendCall(Active& aActive, boost::json::object aBody, bool aStream)
{
  if (!aActive.mFirstCall) {
    aActive.mFirstCall = Clock::now();
  }
  ++RecordOf(aActive).mCalls;
  const uint64_t seq = aActive.mSeq++;
  aBody.emplace("seq", seq);
  aBody.emplace("deadline_ms", mCallDeadline.count());
  Operation operation;
  operation.mTarget = fmt::format("/v1/programs/{}/calls", aActive.mId);
  operation.mBody = boost::json::serialize(aBody);
  operation.mAccount = aActive.mPlan->mAccount;
  if (aStream) {
    operation.mEventsTarget = fmt::format("/v1/programs/{}/calls/{}/events", aActive.mId, seq);
  }
  mCaller.Start(std::move(operation),
                [this, &aActive](const OperationResult& aResult) { OnCallDone(aActive, aResult); });
}

// Whether the system ended the program by one of its limits.
static bool
IsLimit(const std::string& aCode)
{
  return aCode == "turn_limit" || aCode == "program_ended" || aCode == "budget_exceeded";
}

void
ProgramDriver::OnCallDone(Active& aActive, const OperationResult& aResult)
{
  if (aResult.mFirstToken) {
    RecordOf(aActive).mFirstToken.push_back(static_cast<double>(aResult.mFirstToken->count()));
  }
  if (!aResult.mFailure) {
    Advance(aActive);
  } else if (TemplateOf(aActive).mEndsByLimit && IsLimit(aResult.mFailure->mCode)) {
    Complete(aActive, true);
  } else {
    Fail(aActive, aResult.mFailure->mCode);
  }
}

void
ProgramDriver::Complete(Active& aActive, bool aByLimit)
{
  AccountRecord& record = RecordOf(aActive);
  if (aActive.mParent == nullptr) {
    ++record.mDone;
    record.mEndedByLimit += aByLimit ? 1 : 0;
    mRecord.mFinishes.push_back(SecondsSince(mStart));
  }
  if (aActive.mParent == nullptr && aActive.mFirstCall && !aByLimit) {
    const auto latency =
      std::chrono::duration<double, std::milli>(Clock::now() - *aActive.mFirstCall);
    record.mLatency.push_back(latency.count());
    record.mWaiting.push_back(latency.count() - static_cast<double>(aActive.mPaused.count()));
  }
  mRecord.mFinished.insert(aActive.mId);
  if (TemplateOf(aActive).mEnds && !aByLimit) {
    End(aActive);
  } else {
    Remove(aActive);
  }
}

void
ProgramDriver::Fail(Active& aActive, const std::string& aCode)
{
  AccountRecord& record = RecordOf(aActive);
  ++record.mErrors[aCode];
  if (aActive.mParent == nullptr) {
    ++record.mFailed;
    mRecord.mFinishes.push_back(SecondsSince(mStart));
  } else {
    ++record.mSubAgentsFailed;
  }
  if (aActive.mId.empty()) {
    Remove(aActive);
    return;
  }
  mRecord.mFinished.insert(aActive.mId);
  End(aActive);
}

void
ProgramDriver::End(Active& aActive)
{
  mCaller.Start(
    { fmt::format("/v1/programs/{}/end", aActive.mId), "{}", "", aActive.mPlan->mAccount },
    [this, &aActive](const OperationResult& aResult) {
      if (aResult.mFailure) {
        ++RecordOf(aActive).mErrors["end:" + aResult.mFailure->mCode];
      }
      Remove(aActive);
    });
}

void
ProgramDriver::Remove(Active& aActive)
{
  Active* parent = aActive.mParent;
  mRunning -= parent == nullptr ? 1 : 0;
  mActive.erase(&aActive);
  if (parent != nullptr && --parent->mChildren == 0) {
    Advance(*parent);
  }
}

void
ProgramDriver::CutOff()
{
  for (const auto& [pointer, active] : mActive) {
    // A program whose end request is open has finished already.
    const bool finished = mRecord.mFinished.contains(active->mId);
    if (active->mParent == nullptr && !finished) {
      ++RecordOf(*active).mUnfinished;
    }
  }
}

}
