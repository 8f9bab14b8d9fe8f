#include "memory_runner.h"

#include "sycamore/base/log.h"
#include "sycamore/sidecar/call_key.h"
#include "sycamore/wire/codec.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace sycamore::sidecar {

namespace json = boost::json;
using base::Log;
using base::LogEvent;
using base::Millis;
using base::Seconds;
using base::TimePoint;
using transport::LinkId;

static constexpr Millis kPollPeriod{ 500 };

// The whole list is polled because the engines' cache events can have gaps. A list of 1,000
// programs takes about 60 KB.
static constexpr Millis kListPeriod{ 5000 };
static constexpr Millis kListDeadline{ 3000 };
static constexpr Millis kReleaseDeadline{ 3000 };

static std::vector<size_t>
EnginesOf(const CoreState& aState)
{
  std::vector<size_t> engines;
  for (size_t i = 0; i < aState.mTargets.size(); ++i) {
    if (aState.mTargets[i].IsEngine()) {
      engines.push_back(i);
    }
  }
  return engines;
}

static MemoryRules
RulesOf(const settings::Settings& aSettings)
{
  MemoryRules rules;
  rules.mLease = aSettings.mHoldLease;
  return rules;
}

MemoryRunner::MemoryRunner(CoreState& aState)
  : mState(aState)
  , mTracker(EnginesOf(aState), RulesOf(aState.mSettings))
  , mNextList(aState.mTargets.size())
{
}

MemoryTracker&
MemoryRunner::Tracker()
{
  return mTracker;
}

const MemoryTracker&
MemoryRunner::Tracker() const
{
  return mTracker;
}

void
MemoryRunner::OnHold(const wire::HoldT& aHold, TimePoint aNow)
{
  const Millis lease(static_cast<int64_t>(std::min<uint64_t>(aHold.lease_ms, 86400000)));
  for (const auto& program : aHold.programs) {
    mTracker.Held(FromWire(*program), lease, aNow);
  }
}

void
MemoryRunner::OnRelease(LinkId aLink, const wire::ReleaseT& aRelease, TimePoint aNow)
{
  if (aRelease.program) {
    mTracker.Ended(FromWire(*aRelease.program), mState.mPeers.PeerOf(aLink), aNow);
    mNextPoll = aNow;
  }
}

void
MemoryRunner::OnTick(TimePoint aNow)
{
  RequestLists(aNow);
  if (mNextPoll > aNow) {
    return;
  }
  mNextPoll = aNow + kPollPeriod;
  const MemoryActions actions = mTracker.Poll(aNow);
  for (const auto& release : actions.mReleases) {
    SendRelease(release, aNow);
  }
  for (const auto& ack : actions.mAcks) {
    wire::ReleaseAckT frame;
    frame.program = ToWire(ack.mProgram);
    mState.SendTo(ack.mPeer, wire::MakeFrame(std::move(frame)));
  }
  for (const auto& evicted : actions.mEvicted) {
    SendEviction(evicted);
  }
}

void
MemoryRunner::RequestLists(TimePoint aNow)
{
  for (size_t i = 0; i < mState.mTargets.size(); ++i) {
    if (!mState.mTargets[i].IsEngine() || mNextList[i] > aNow) {
      continue;
    }
    mNextList[i] = TimePoint::max();
    TargetRequest request;
    request.mMethod = "GET";
    request.mPath = "/v1/cache";
    request.mDeadline = kListDeadline;
    mState.Start({ RequestPurpose::CacheList, i, 0, {}, aNow }, std::move(request));
  }
}

void
MemoryRunner::SendRelease(const MemoryActions::Release& aRelease, TimePoint aNow)
{
  TargetRequest request;
  request.mMethod = "POST";
  request.mPath = "/v1/cache/release";
  request.mBody = fmt::format(R"({{"program":"{}"}})", base::ToString(aRelease.mProgram));
  request.mDeadline = kReleaseDeadline;
  mState.Start({ RequestPurpose::MemoryRelease, aRelease.mTarget, 0, aRelease.mProgram, aNow },
               std::move(request));
}

// Notifies the owner of the program's partition, if it is known, that an engine evicted the prefix.
void
MemoryRunner::SendEviction(const MemoryActions::Release& aEvicted)
{
  wire::CacheHintT hint;
  hint.target = mState.mTargets.at(aEvicted.mTarget).mSettings.mTarget.mName;
  hint.program = ToWire(aEvicted.mProgram);
  hint.tokens = 0;
  const uint64_t owner = mState.mPeers.OwnerOf(aEvicted.mProgram.mPartition);
  mState.SendTo(owner, wire::MakeFrame(std::move(hint)));
}

// Parses the answer to GET /v1/cache; returns nothing if it is malformed. Entries whose ids are not
// program ids of this system are skipped.
static std::optional<std::vector<CachedProgram>>
ParseList(const std::string& aBody)
{
  boost::system::error_code error;
  const json::value parsed = json::parse(aBody, error);
  const json::object* object = error ? nullptr : parsed.if_object();
  const json::value* programs = object == nullptr ? nullptr : object->if_contains("programs");
  if (programs == nullptr || !programs->is_array()) {
    return std::nullopt;
  }
  std::vector<CachedProgram> list;
  for (const auto& entry : programs->get_array()) {
    const json::object* row = entry.if_object();
    const json::value* name = row == nullptr ? nullptr : row->if_contains("program");
    if (name == nullptr || !name->is_string()) {
      continue;
    }
    const auto id = base::ParseProgramId(std::string_view(name->get_string()));
    if (!IsOk(id)) {
      continue;
    }
    const json::value* tokens = row->if_contains("tokens");
    const uint64_t count = tokens == nullptr ? 0 : tokens->to_number<uint64_t>(error);
    list.push_back({ ValueOf(id), count });
  }
  return list;
}

void
MemoryRunner::OnDone(const PendingRequest& aPending,
                     const http::ClientResponse& aResponse,
                     TimePoint aNow)
{
  if (aPending.mPurpose == RequestPurpose::MemoryRelease) {
    // 404: the engine does not know the program, so there is nothing to release.
    if (aResponse.mStatus != 200 && aResponse.mStatus != 404) {
      OnFailed(aPending, aNow);
      return;
    }
    mTracker.Released(aPending.mTarget, aPending.mProgram, aNow);
    ++mState.mCounters.mMemoryReleases;
    mNextPoll = aNow;
    Log(LogEvent::MemoryReleased, "{}", base::ToString(aPending.mProgram));
    return;
  }
  const auto list = ParseList(aResponse.mBody);
  if (aResponse.mStatus != 200 || !list) {
    OnFailed(aPending, aNow);
    return;
  }
  mNextList[aPending.mTarget] = aNow + kListPeriod;
  const uint64_t before = mTracker.Adopted();
  mTracker.Listed(aPending.mTarget, *list, aPending.mRequestedAt, aNow);
  if (mTracker.Adopted() != before) {
    Log(LogEvent::MemoryAdopted, "adopted {} cached programs", mTracker.Adopted() - before);
  }
}

void
MemoryRunner::OnFailed(const PendingRequest& aPending, TimePoint aNow)
{
  if (aPending.mPurpose == RequestPurpose::MemoryRelease) {
    mTracker.ReleaseFailed(aPending.mTarget, aPending.mProgram, aNow);
  } else {
    mNextList[aPending.mTarget] = aNow + kPollPeriod;
  }
}

}
