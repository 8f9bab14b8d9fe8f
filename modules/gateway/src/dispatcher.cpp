#include "dispatcher.h"

#include "account_access.h"
#include "async.h"
#include "crash_probe.h"
#include "elapsed.h"
#include "object_affinity.h"
#include "prompt_affinity.h"
#include "sycamore/base/log.h"
#include "sycamore/gateway/replica_choice.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>
#include <vector>

namespace sycamore::gateway {

namespace http = boost::beast::http;
using base::ErrorKind;
using base::Millis;

// Failed connects do not count as sends but take time, so they have a limit of their own.
static constexpr uint32_t kMaxConnectFailures = 4;
// Sends of one call after failures. A stream that breaks this often is more likely to break again
// than to end.
static constexpr uint32_t kMaxContinuations = 3;
// Longest wait for a replica that limits its requests; a call whose turn would come later goes to
// another replica, or is refused at once.
static constexpr Millis kMaxQuotaDelay{ 500 };
// The wait is at most the time that the call has left divided by this.
static constexpr int kQuotaDelayDivisor = 3;

namespace {

struct ChosenReplica
{
  ReplicaStatePtr mState; // Null if no replica is left to try.
  double mAssumedLoad = 0;
  uint64_t mKeptTokens = 0; // Of the prompt, as assumed.
  Millis mQuotaDelay{ 0 };  // Until its request limit allows the call.
  size_t mLimited = 0;      // Other replicas whose request limits do not allow the call in time.
};

}

// Time until the request limit of aReplica allows aCall; nothing if that is too late.
static std::optional<Millis>
QuotaDelay(Context& aContext, const Call& aCall, const Replica& aReplica, base::TimePoint aNow)
{
  const auto delay = aContext.mLimits.DelayOf(aReplica, aNow);
  const auto limit = std::min(kMaxQuotaDelay, Until(aCall.mDeadline) / kQuotaDelayDivisor);
  return delay && *delay <= std::max(limit, Millis(0)) ? delay : std::nullopt;
}

static ChosenReplica
Choose(Context& aContext,
       const Call& aCall,
       const DispatchHint& aHint,
       const std::set<std::string>& aTried)
{
  const base::TimePoint now = base::Clock::now();
  const std::vector<PromptPart>& prompt = aCall.mHead.mPrompt;
  std::vector<ReplicaStatePtr> states;
  std::vector<ReplicaView> views;
  size_t limited = 0;
  for (const Replica* replica : aContext.mReplicas.Usable(aCall.mServiceName, now)) {
    if (aTried.contains(replica->mId)) {
      continue;
    }
    const auto quotaDelay = QuotaDelay(aContext, aCall, *replica, now);
    if (!quotaDelay) {
      ++limited;
      continue;
    }
    states.push_back(aContext.mPool.StateOf(*replica));
    ReplicaView view = ViewOf(*states.back(), now);
    view.mRegion = aContext.RegionOf(replica->mDomain);
    view.mSameRegion = view.mRegion == aContext.mRegion;
    view.mQuotaDelay = *quotaDelay;
    view.mKeptTokens = replica->mId == aHint.mPrefixReplica
                         ? aHint.mPromptTokens
                         : states.back()->mPrompts.KeptTokens(prompt);
    views.push_back(view);
  }
  if (prompt.empty() && aCall.mRoute->mSticky && !aCall.mHead.mObject.empty()) {
    MarkHome(aCall.mHead.mObject, views);
  }
  if (!prompt.empty()) {
    aContext.mSharedPrompts.Note(prompt.front(), now);
    const bool replicaKnown = !aHint.mPrefixReplica.empty();
    const PromptAffinity affinity{ prompt,
                                   replicaKnown ? std::string_view() : aCall.mHead.mSession,
                                   aContext.mSharedPrompts.KeptShare(aCall.CacheTokens()) };
    AssumeKeptTokens(affinity, views);
  }
  const auto choice = ChooseReplica(views, aHint.mPromptTokens, aContext.mTieBreak++);
  if (!choice) {
    return { nullptr, 0, 0, Millis(0), limited };
  }
  const ReplicaView& view = views[choice->mIndex];
  return {
    states[choice->mIndex], choice->mAssumedLoad, view.mKeptTokens, view.mQuotaDelay, limited
  };
}

// The request to aReplica, without hop-by-hop headers.
static CallerRequest
RequestFor(const Context& aContext,
           const Call& aCall,
           const std::string& aBody,
           const Replica& aReplica,
           const std::optional<ResumePoint>& aResume)
{
  CallerRequest request;
  request.base() = aCall.mRequest.base();
  for (const auto field : { http::field::connection,
                            http::field::keep_alive,
                            http::field::proxy_connection,
                            http::field::te,
                            http::field::trailer,
                            http::field::transfer_encoding,
                            http::field::upgrade,
                            http::field::expect,
                            http::field::content_length }) {
    request.erase(field);
  }
  request.version(11);
  request.body() = aBody;
  if (!aBody.empty() || aCall.mRequest.has_content_length() || aCall.mRequest.chunked()) {
    request.content_length(aBody.size());
  }
  const auto left = Until(aCall.mDeadline);
  aContext.mHeaderCodec.PrepareForReplica(
    request,
    { aReplica.mId,
      std::max(left, Millis(1)),
      std::nullopt,
      aResume,
      aCall.mAccount != nullptr ? std::string_view(aCall.mAccount->mName) : std::string_view() });
  return request;
}

namespace {

// Which replica, if any, a call goes to after an exchange.
enum class NextStep : uint8_t
{
  Stop,
  AnotherReplica,
  SameReplica, // A stream goes on, and no further replica may receive it.
};

// The sends of one call.
struct Sends
{
  std::set<std::string> mTried;  // Replicas that are not chosen again.
  std::set<std::string> mCounts; // Replicas that count against Route::mAttempts.
  uint32_t mConnectFailures = 0;
  uint32_t mContinuations = 0; // Sends after a failure of a call that may run again.
  uint32_t mBreaks = 0;        // Replicas that ended the connection of the call.
};

}

// Whether a failed call may go on: it has sent no event to the caller, or it can be continued after
// the last one.
static bool
MayGoOn(const Call& aCall, const StreamSink* aSink)
{
  if (!MayRunAgain(*aCall.mRoute)) {
    return false;
  }
  const StreamProgress progress = aSink != nullptr ? aSink->Progress() : StreamProgress{};
  return !progress.mHasEvents || progress.mResume;
}

static NextStep
StepAfter(const Call& aCall,
          const ExchangeResult& aResult,
          const std::string& aReplica,
          const StreamSink* aSink,
          Sends& aSends)
{
  const bool sendsLeft = aSends.mCounts.size() < std::max(aCall.mRoute->mAttempts, 1U);
  if (aResult.mStatus == ExchangeStatus::NotRun && !aResult.mSent) {
    // A replica that does not accept connections has ended or is cut off, also if it had received
    // the call before: another one may take its place.
    aSends.mCounts.erase(aReplica);
    ++aSends.mConnectFailures;
    return aSends.mConnectFailures < kMaxConnectFailures ? NextStep::AnotherReplica
                                                         : NextStep::Stop;
  }
  if (aResult.mStatus == ExchangeStatus::NotRun) {
    return sendsLeft ? NextStep::AnotherReplica : NextStep::Stop;
  }
  const bool goesOn = aResult.mStatus == ExchangeStatus::Failed && MayGoOn(aCall, aSink) &&
                      aSends.mContinuations++ < kMaxContinuations;
  if (!goesOn) {
    return NextStep::Stop;
  }
  if (sendsLeft) {
    return NextStep::AnotherReplica;
  }
  return aSink != nullptr ? NextStep::SameReplica : NextStep::Stop;
}

static ReplicaTrace
TraceOf(const ChosenReplica& aChosen, const DispatchHint& aHint)
{
  const Replica& replica = aChosen.mState->mReplica;
  return { replica.mId,
           replica.mDomain,
           aChosen.mAssumedLoad,
           replica.mSlots,
           std::min(aChosen.mKeptTokens, aHint.mPromptTokens),
           aHint.mPromptTokens,
           {} };
}

// Takes the call's turn under the request limit of its replica and waits for it. False if the
// caller has gone meanwhile.
static boost::asio::awaitable<bool>
AwaitQuota(Context& aContext, CallerLink& aLink, const ChosenReplica& aChosen)
{
  aContext.mLimits.Take(aChosen.mState->mReplica, base::Clock::now());
  if (aChosen.mQuotaDelay > Millis(0)) {
    co_await SleepFor(aChosen.mQuotaDelay);
  }
  co_return !aLink.Gone();
}

// Records what the replica of aChosen has read of the prompt.
static void
NotePrompt(const Call& aCall, const ChosenReplica& aChosen, ExchangeStatus aStatus)
{
  if (aStatus != ExchangeStatus::Streamed || aCall.mHead.mPrompt.empty()) {
    return;
  }
  aChosen.mState->mPrompts.Note(aCall.mHead.mPrompt, aCall.CacheTokens());
}

// Records what the exchange tells of a call that may crash its replica.
static void
NoteSuspicion(Context& aContext,
              const Call& aCall,
              const ChosenReplica& aChosen,
              const ExchangeResult& aResult,
              bool aStreams)
{
  const bool completed =
    aResult.mStatus == ExchangeStatus::Streamed || aResult.mStatus == ExchangeStatus::Whole;
  if (completed) {
    aContext.mSuspects.NoteCompleted(aCall.mHash);
    return;
  }
  // A stream that has sent events has not ended its replica when it began. One without a header
  // was probably waiting there; the header of a whole answer comes at its end.
  const bool ranOn = aStreams && aResult.mBreak == BreakStage::InBody;
  if (aResult.mBreak != BreakStage::NotBroken && !ranOn) {
    const bool mayHaveBegun = !aStreams || aResult.mBreak != BreakStage::NoHeader;
    NoteBrokenCall(aContext, aChosen.mState, aCall.mHash, mayHaveBegun);
  }
}

boost::asio::awaitable<DispatchResult>
Dispatch(Context& aContext,
         CallerLink& aLink,
         Call& aCall,
         std::string aBody,
         const DispatchHint& aHint,
         StreamSink* aSink)
{
  const base::TimePoint begin = base::Clock::now();
  DispatchResult result;
  result.mExchange.mStatus = ExchangeStatus::NotRun;
  result.mExchange.mDetail = "no usable replica";
  Sends sends;
  ChosenReplica chosen = Choose(aContext, aCall, aHint, sends.mTried);
  while (chosen.mState && base::Clock::now() < aCall.mDeadline) {
    co_await AwaitVerdict(aContext, aCall.mHash, aCall.mDeadline);
    if (aContext.mSuspects.IsBarred(aCall.mHash)) {
      result.mBarred = true;
      break;
    }
    if (IsRevoked(aContext, aCall)) {
      result.mRevoked = true;
      break;
    }
    const Replica replica = chosen.mState->mReplica;
    const uint32_t failures = chosen.mState->mRecentFailures;
    const auto resume = aSink != nullptr ? aSink->Progress().mResume : std::nullopt;
    result.mReplica = replica.mId;
    aCall.mTrace.mLastReplica = TraceOf(chosen, aHint);
    sends.mTried.insert(replica.mId);
    const bool wanted = co_await AwaitQuota(aContext, aLink, chosen);
    if (!wanted) {
      result.mExchange = { ExchangeStatus::CallerGone, false, {}, "the caller disconnected" };
      break;
    }
    result.mExchange = co_await RunExchange(aContext,
                                            aLink,
                                            chosen.mState,
                                            RequestFor(aContext, aCall, aBody, replica, resume),
                                            aCall.mHead.mAttempt,
                                            aCall.mDeadline,
                                            aSink);
    aCall.mTrace.mLastReplica->mReported = result.mExchange.mLoad;
    NotePrompt(aCall, chosen, result.mExchange.mStatus);
    NoteSuspicion(aContext, aCall, chosen, result.mExchange, aSink != nullptr);
    if (result.mExchange.mSent) {
      ++result.mSends;
      sends.mCounts.insert(replica.mId);
    } else {
      aContext.mLimits.Return(replica, base::Clock::now());
    }
    result.mMayHaveRun = result.mMayHaveRun || result.mExchange.mStatus == ExchangeStatus::Failed;
    aCall.mMayHaveRun = aCall.mMayHaveRun || (result.mExchange.mSent &&
                                              result.mExchange.mStatus != ExchangeStatus::NotRun);
    aContext.mMetrics.NoteReplicaTry(StatusName(result.mExchange.mStatus));
    if (!result.mExchange.mDetail.empty() || resume) {
      base::Log(
        base::LogEvent::ReplicaTry,
        "attempt={} request={:016x} replica={} domain={} load={:.1f}/{} failures={} sends={} "
        "resumed_after={} outcome={} detail=\"{}\"",
        aCall.mHead.mAttempt,
        aCall.mHash.mRequest,
        replica.mId,
        replica.mDomain,
        chosen.mAssumedLoad,
        replica.mSlots,
        failures,
        result.mSends,
        resume ? std::to_string(resume->mLastEvent) : "-",
        StatusName(result.mExchange.mStatus),
        result.mExchange.mDetail);
    }
    const NextStep next = StepAfter(aCall, result.mExchange, replica.mId, aSink, sends);
    if (next == NextStep::Stop) {
      break;
    }
    sends.mBreaks += result.mExchange.mBreak != BreakStage::NotBroken ? 1 : 0;
    if (sends.mBreaks > 1) {
      // The next replica may be ended too. The probe takes 0.3 s at most.
      co_await AwaitCrashProbe(chosen.mState);
    }
    if (next == NextStep::AnotherReplica) {
      chosen = Choose(aContext, aCall, aHint, sends.mTried);
      continue;
    }
    const auto delay = QuotaDelay(aContext, aCall, replica, base::Clock::now());
    if (!delay) {
      break;
    }
    chosen.mQuotaDelay = *delay;
  }
  if (!chosen.mState && chosen.mLimited > 0 && result.mSends == 0) {
    result.mExchange.mDetail =
      fmt::format("{} replicas are at their request limits", chosen.mLimited);
    result.mAtLimit = true;
  }
  aCall.mSlot.reset();
  aCall.mTrace.mReplica = Since(begin);
  co_return result;
}

base::Error
BarredError()
{
  return { ErrorKind::CrashesTargets, "the request has crashed the replicas that began it", "" };
}

base::Error
ErrorFor(const DispatchResult& aResult)
{
  if (aResult.mBarred && !aResult.mMayHaveRun) {
    return BarredError();
  }
  if (aResult.mRevoked && !aResult.mMayHaveRun) {
    return UnknownKeyError();
  }
  switch (aResult.mMayHaveRun ? ExchangeStatus::Failed : aResult.mExchange.mStatus) {
    case ExchangeStatus::NotRun:
      return { aResult.mSends == 0 && !aResult.mAtLimit ? ErrorKind::NoTarget
                                                        : ErrorKind::Overloaded,
               "no replica ran the call: " + aResult.mExchange.mDetail,
               "" };
    case ExchangeStatus::Expired:
      return { ErrorKind::DeadlineExceeded, "the call was not answered in time", "" };
    default:
      return { ErrorKind::OutcomeUnknown,
               "the call may have run: " + aResult.mExchange.mDetail,
               "" };
  }
}

}
