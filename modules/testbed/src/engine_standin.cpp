#include "sycamore/testbed/engine_standin.h"

#include "sycamore/testbed/json.h"
#include "sycamore/testbed/query.h"
#include "sycamore/testbed/reply.h"
#include "sycamore/testbed/tokens.h"

#include <fmt/format.h>
#include <string>
#include <string_view>
#include <utility>

namespace sycamore::testbed {

namespace json = boost::json;

static constexpr int kOk = 200;
static constexpr int kBadRequest = 400;
static constexpr int kNotFound = 404;
static constexpr int kConflict = 409;
static constexpr int kUnavailable = 503;

EngineStandin::EngineStandin(const EngineSettings& aSettings)
  : mSettings(aSettings)
  , mOrigin(base::Clock::now())
  , mModel(aSettings)
  , mEvents(aSettings.mEventDelay, aSettings.mEventGap, aSettings.mSeed)
  , mOrders(aSettings.mChecksFence)
{
}

base::TimePoint
EngineStandin::Simulated(base::TimePoint aReal) const
{
  const auto elapsed = std::chrono::duration<double>(aReal - mOrigin) * mSettings.mSpeedUp;
  // Rounded to the nearest, so that Simulated(Real(time)) never lies before time.
  return mOrigin + std::chrono::round<base::Clock::duration>(elapsed);
}

base::TimePoint
EngineStandin::Real(base::TimePoint aSimulated) const
{
  const auto elapsed = std::chrono::duration<double>(aSimulated - mOrigin) / mSettings.mSpeedUp;
  return mOrigin + std::chrono::ceil<base::Micros>(elapsed);
}

void
EngineStandin::OnRequest(const http::Request& aRequest, base::TimePoint aNow)
{
  const base::TimePoint now = Simulated(aNow);
  const std::string& path = aRequest.mPath;
  if (path == "/v1/chat/completions") {
    Complete(aRequest, now);
  } else if (path == "/v1/load") {
    Load(aRequest, now);
  } else if (path == "/v1/cache") {
    CachedPrograms(aRequest);
  } else if (path == "/v1/cache/release") {
    ReleaseProgram(aRequest, now);
  } else if (path == "/v1/cache/events") {
    const uint64_t from = QueryUint(aRequest.mQuery, "from", 0);
    Send(JsonReply(aRequest.mId, kOk, mEvents.Read(from, now)));
  } else if (path == "/v1/orders") {
    Orders(aRequest, now);
  } else {
    Send(ErrorReply(aRequest.mId, kNotFound, "unknown_route", "no such route"));
  }
}

void
EngineStandin::Complete(const http::Request& aRequest, base::TimePoint aNow)
{
  auto parsed = ParseChatRequest(aRequest.mBody, mSettings.mAnswerTokens);
  if (!base::IsOk(parsed)) {
    const base::Error& error = base::ErrorOf(parsed);
    Send(ErrorReply(aRequest.mId, kBadRequest, "invalid_request", error.mMessage + error.mField));
    return;
  }
  ChatRequest request = base::TakeValue(std::move(parsed));
  request.mCall.mId = aRequest.mId;
  if (request.mFence && mOrders.Rejects(*request.mFence)) {
    Send(ErrorReply(aRequest.mId, kConflict, "stale_fence", "the fencing token is too old"));
    return;
  }
  if (!mModel.Fits(request.mCall)) {
    Send(ErrorReply(
      aRequest.mId, kBadRequest, "context_length_exceeded", "the engine's memory is too small"));
    return;
  }
  const EngineCall call = request.mCall;
  mCalls.emplace(aRequest.mId, OpenCall{ std::move(request) });
  if (!mModel.Submit(call, aNow)) {
    mCalls.erase(aRequest.mId);
    Send(ErrorReply(aRequest.mId, kUnavailable, "overloaded", "the queue is full"));
  }
  CollectChanges(aNow);
}

void
EngineStandin::OnClosed(uint64_t aRequest, base::TimePoint aNow)
{
  const base::TimePoint now = Simulated(aNow);
  mModel.Cancel(aRequest, now);
  mCalls.erase(aRequest);
  CollectChanges(now);
}

void
EngineStandin::TakeLoad(base::TimePoint aNow)
{
  mLoadTaken = aNow;
  mLoad = json::object{ { "running", mModel.Running() },
                        { "queued", mModel.Queued() },
                        { "queued_tokens", mModel.QueuedTokens() },
                        { "cache_used_tokens", mModel.Cache().UsedTokens() },
                        { "cache_capacity_tokens", mModel.Cache().CapacityTokens() } };
}

void
EngineStandin::Load(const http::Request& aRequest, base::TimePoint aNow)
{
  if (mLoad.empty() || (!mLoadFrozen && aNow - mLoadTaken >= mSettings.mLoadInterval)) {
    TakeLoad(aNow);
  }
  json::object load = mLoad;
  const auto age = std::chrono::duration_cast<base::Millis>(Real(aNow) - Real(mLoadTaken));
  load["age_ms"] = age.count();
  Send(JsonReply(aRequest.mId, kOk, load));
}

void
EngineStandin::CachedPrograms(const http::Request& aRequest)
{
  json::array programs;
  for (const auto& [program, tokens] : mModel.Cache().Programs()) {
    // Memory of a call without program belongs to that call alone.
    if (!program.starts_with('#')) {
      programs.push_back(json::object{ { "program", program }, { "tokens", tokens } });
    }
  }
  Send(JsonReply(aRequest.mId, kOk, json::object{ { "programs", std::move(programs) } }));
}

void
EngineStandin::ReleaseProgram(const http::Request& aRequest, base::TimePoint aNow)
{
  const auto body = ParseObject(aRequest.mBody);
  const std::string program =
    base::IsOk(body) ? TextField(base::ValueOf(body), "program") : std::string();
  if (aRequest.mMethod != "POST" || program.empty()) {
    Send(ErrorReply(aRequest.mId, kBadRequest, "invalid_request", "program is missing"));
    return;
  }
  const uint64_t released = mModel.Cache().Release(program, aNow);
  CollectChanges(aNow);
  Send(JsonReply(aRequest.mId, kOk, json::object{ { "released_tokens", released } }));
}

void
EngineStandin::Orders(const http::Request& aRequest, base::TimePoint aNow)
{
  if (aRequest.mMethod != "POST") {
    Send(JsonReply(aRequest.mId, kOk, mOrders.State()));
    return;
  }
  const auto body = ParseObject(aRequest.mBody);
  if (!base::IsOk(body) || !base::ValueOf(body).contains("version")) {
    Send(ErrorReply(aRequest.mId, kBadRequest, "invalid_request", "version is missing"));
    return;
  }
  const json::object& order = base::ValueOf(body);
  if (mOrders.Rejects(UintField(order, "version"))) {
    mOrders.CountRefused();
    Send(JsonReply(aRequest.mId, kConflict, mOrders.State()));
    return;
  }
  if (mOrders.Apply(order)) {
    mModel.Pause(aNow + mSettings.mModelLoadTime);
  }
  Send(JsonReply(aRequest.mId, kOk, mOrders.State()));
}

base::Result<base::Unit>
EngineStandin::OnControl(const json::object& aControl, base::TimePoint /*aNow*/)
{
  EngineSettings settings = mSettings;
  bool frozen = mLoadFrozen;
  for (const auto& field : aControl) {
    const std::string_view key = field.key();
    if (key == "decode_tokens_per_second") {
      settings.mDecodeTokensPerSecond = DoubleField(aControl, key, 1);
    } else if (key == "prefill_tokens_per_second") {
      settings.mPrefillTokensPerSecond = DoubleField(aControl, key, 1);
    } else if (key == "answer_tokens") {
      settings.mAnswerTokens = UintField(aControl, key);
    } else if (key == "max_batch") {
      settings.mMaxBatch = static_cast<uint32_t>(UintField(aControl, key, 1));
    } else if (key == "checks_fence") {
      settings.mChecksFence = BoolField(aControl, key);
    } else if (key == "load_interval_ms") {
      settings.mLoadInterval = base::Millis(IntField(aControl, key));
    } else if (key == "cache_event_gap") {
      settings.mEventGap = DoubleField(aControl, key);
    } else if (key == "cache_event_delay_ms") {
      settings.mEventDelay = base::Millis(IntField(aControl, key));
    } else if (key == "freeze_load") {
      frozen = BoolField(aControl, key);
    } else {
      return base::Error{ base::ErrorKind::InvalidField, "unknown control key", std::string(key) };
    }
  }
  mSettings = settings;
  mLoadFrozen = frozen;
  mModel.SetSettings(settings);
  mOrders.SetChecksFence(settings.mChecksFence);
  mEvents.SetGap(settings.mEventGap);
  mEvents.SetDelay(settings.mEventDelay);
  return base::Unit{};
}

std::optional<base::TimePoint>
EngineStandin::NextTimer() const
{
  const auto next = mModel.NextStep();
  return next ? std::optional<base::TimePoint>(Real(*next)) : std::nullopt;
}

void
EngineStandin::OnTimer(base::TimePoint aNow)
{
  const base::TimePoint now = Simulated(aNow);
  for (const EngineProgress& progress : mModel.RunDue(now)) {
    Report(progress);
  }
  CollectChanges(now);
}

static json::object
UsageObject(const ChatRequest& aRequest, uint64_t aCachedTokens)
{
  const EngineCall& call = aRequest.mCall;
  return json::object{ { "prompt_tokens", call.mPromptTokens },
                       { "completion_tokens", call.mAnswerTokens },
                       { "total_tokens", call.mPromptTokens + call.mAnswerTokens },
                       { "prompt_tokens_details",
                         json::object{ { "cached_tokens", aCachedTokens } } } };
}

static std::string_view
FinishReason(const ChatRequest& aRequest)
{
  return aRequest.mCall.mAnswerTokens == aRequest.mMaxTokens ? "length" : "stop";
}

static json::object
CompletionObject(const ChatRequest& aRequest, std::string_view aKind, json::array aChoices)
{
  return json::object{ { "id", fmt::format("chatcmpl-{}", aRequest.mCall.mId) },
                       { "object", aKind },
                       { "model", aRequest.mModel },
                       { "choices", std::move(aChoices) } };
}

static json::object
WholeAnswer(const ChatRequest& aRequest, uint64_t aCachedTokens)
{
  const json::object message{ { "role", "assistant" }, { "content", aRequest.mAnswer } };
  const json::object choice{ { "index", 0 },
                             { "message", message },
                             { "finish_reason", FinishReason(aRequest) } };
  json::object answer = CompletionObject(aRequest, "chat.completion", json::array{ choice });
  answer["usage"] = UsageObject(aRequest, aCachedTokens);
  return answer;
}

// One "data:" event with the given choices.
static std::string
ChunkEvent(const json::object& aChunk)
{
  return "data: " + json::serialize(aChunk) + "\n\n";
}

static std::string
TokenEvent(const ChatRequest& aRequest, const EngineProgress& aProgress)
{
  const size_t start = aProgress.mFromToken * kBytesPerToken;
  const size_t length = (aProgress.mToToken - aProgress.mFromToken) * kBytesPerToken;
  const json::object choice{
    { "index", 0 },
    { "delta", json::object{ { "content", aRequest.mAnswer.substr(start, length) } } },
    { "finish_reason", nullptr }
  };
  return ChunkEvent(CompletionObject(aRequest, "chat.completion.chunk", json::array{ choice }));
}

// The events after the last token: finish reason, usage, end mark.
static std::string
FinalEvents(const ChatRequest& aRequest, uint64_t aCachedTokens)
{
  const json::object choice{ { "index", 0 },
                             { "delta", json::object{} },
                             { "finish_reason", FinishReason(aRequest) } };
  json::object usage = CompletionObject(aRequest, "chat.completion.chunk", json::array{});
  usage["usage"] = UsageObject(aRequest, aCachedTokens);
  return ChunkEvent(CompletionObject(aRequest, "chat.completion.chunk", json::array{ choice })) +
         ChunkEvent(usage) + "data: [DONE]\n\n";
}

void
EngineStandin::Report(const EngineProgress& aProgress)
{
  const auto call = mCalls.find(aProgress.mId);
  if (call == mCalls.end()) {
    return;
  }
  const ChatRequest& request = call->second.mRequest;
  if (request.mStream) {
    SendTokens(call->second, aProgress);
  } else if (aProgress.mDone) {
    Send(JsonReply(aProgress.mId, kOk, WholeAnswer(request, aProgress.mCachedTokens)));
  }
  if (aProgress.mDone) {
    mCalls.erase(call);
  }
}

void
EngineStandin::SendTokens(OpenCall& aCall, const EngineProgress& aProgress)
{
  http::ResponsePart part;
  part.mRequest = aProgress.mId;
  part.mContentType = "text/event-stream";
  part.mFirst = !aCall.mStarted;
  part.mLast = false;
  part.mBody = TokenEvent(aCall.mRequest, aProgress);
  aCall.mStarted = true;
  Send(part);
  if (!aProgress.mDone) {
    return;
  }
  part.mFirst = false;
  part.mLast = true;
  part.mBody = FinalEvents(aCall.mRequest, aProgress.mCachedTokens);
  Send(std::move(part));
}

void
EngineStandin::CollectChanges(base::TimePoint aNow)
{
  for (const CacheChange& change : mModel.Cache().TakeChanges()) {
    mEvents.Add(change, aNow);
  }
}

// Adds up the values of all programs.
static void
AddTotals(json::object& aTotals, const json::object& aProgram)
{
  for (const auto& field : aProgram) {
    if (field.value().is_double()) {
      aTotals[field.key()] = DoubleField(aTotals, field.key()) + field.value().get_double();
    } else {
      aTotals[field.key()] = UintField(aTotals, field.key()) + UintField(aProgram, field.key());
    }
  }
}

static void
AddWork(json::object& aProgram, const EngineProgramStats& aStats)
{
  aProgram["runs"] = aStats.mRuns;
  aProgram["finished"] = aStats.mFinished;
  aProgram["cancelled"] = aStats.mCancelled;
  aProgram["prompt_tokens"] = aStats.mPromptTokens;
  aProgram["cached_tokens"] = aStats.mCachedTokens;
  aProgram["generated_tokens"] = aStats.mGeneratedTokens;
  aProgram["recomputed_tokens"] = aStats.mRecomputedTokens;
}

static void
AddUse(json::object& aProgram, const CacheUse& aUse)
{
  aProgram["running_token_seconds"] = aUse.mRunningTokenSeconds;
  aProgram["idle_token_seconds"] = aUse.mIdleTokenSeconds;
  aProgram["wasted_token_seconds"] = aUse.mWastedTokenSeconds;
  aProgram["evicted_tokens"] = aUse.mEvictedTokens;
  aProgram["released_tokens"] = aUse.mReleasedTokens;
}

json::object
EngineStandin::Stats(base::TimePoint aNow) const
{
  const base::TimePoint now = Simulated(aNow);
  const PrefixCache& cache = mModel.Cache();
  std::map<std::string, json::object> programs;
  for (const auto& [program, stats] : mModel.Programs()) {
    AddWork(programs[program], stats);
  }
  for (const auto& [program, use] : cache.Uses()) {
    AddUse(programs[program], use);
  }
  for (const auto& [program, tokens] : cache.Programs()) {
    if (!program.starts_with('#')) {
      programs[program]["held_tokens"] = tokens;
      programs[program]["pending_token_seconds"] = cache.PendingTokenSeconds(program, now);
    }
  }
  json::object totals;
  json::object byProgram;
  for (const auto& [program, object] : programs) {
    AddTotals(totals, object);
    byProgram[program] = object;
  }
  json::object stats{ { "running", mModel.Running() },
                      { "queued", mModel.Queued() },
                      { "cache_used_tokens", cache.UsedTokens() },
                      { "cache_capacity_tokens", cache.CapacityTokens() },
                      { "orders", mOrders.State() },
                      { "orders_refused", mOrders.Refused() },
                      { "orders_applied", json::value_from(mOrders.Applied()) } };
  stats["totals"] = std::move(totals);
  stats["programs"] = std::move(byProgram);
  return stats;
}

void
EngineStandin::ResetStats(base::TimePoint aNow)
{
  mModel.ResetStats();
  mModel.Cache().ResetUses(Simulated(aNow));
}

}
