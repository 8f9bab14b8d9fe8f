#include "aggregator_paths.h"

#include "aggregator_choice.h"
#include "async.h"
#include "sycamore/base/log.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace sycamore::gateway {

using base::LogEvent;
using base::Millis;

// Gateways that a partition's calls go to, one after the other as they fail, before they go to the
// store: two machines of a failure domain may be lost at once.
static constexpr size_t kCandidates = 3;
// The aggregator and the first to replace it.
static constexpr size_t kPreparedCandidates = 2;
// Delay of a probe, doubled with each further failure up to the maximum.
static constexpr Millis kInitialProbeDelay{ 500 };
static constexpr uint32_t kMaxProbeDoublings = 4;
static constexpr Millis kProbeCheckInterval{ 100 };
// A live gateway of the same failure domain answers a probe within some milliseconds.
static constexpr Millis kProbeTimeout{ 200 };

AggregatorPaths::AggregatorPaths(const boost::asio::any_io_executor& aExecutor, Member aOwn)
  : mExecutor(aExecutor)
  , mOwn(std::move(aOwn))
{
  SetMembers({});
}

void
AggregatorPaths::SetMembers(const std::vector<Member>& aMembers)
{
  mMembers = { mOwn };
  for (const Member& member : aMembers) {
    if (member.mDomain == mOwn.mDomain && member.mInstance != mOwn.mInstance) {
      mMembers.push_back(member);
    }
  }
  mRanked.clear();
  std::erase_if(mPaths, [this](const auto& aEntry) {
    return std::none_of(mMembers.begin(), mMembers.end(), [&](const Member& aMember) {
      return aMember.mInstance == aEntry.first && aMember.mPeer == aEntry.second->mPeer;
    });
  });
  for (const Member& member : mMembers) {
    auto& path = mPaths[member.mInstance];
    if (!path) {
      path = std::make_shared<Path>();
      path->mInstance = member.mInstance;
      path->mPeer = member.mPeer;
      if (member.mInstance != mOwn.mInstance) {
        path->mRemote =
          std::make_unique<RelayClient>(mExecutor, member.mPeer, RelayClient::Mode::Aggregate);
      }
    }
  }
}

void
AggregatorPaths::SetLocal(LogStore& aLocal)
{
  mPaths[mOwn.mInstance]->mLocal = &aLocal;
}

const std::vector<std::string>&
AggregatorPaths::Ranked(StreamId aStream)
{
  const auto [entry, added] = mRanked.try_emplace(aStream);
  if (added) {
    entry->second = RankAggregators(mMembers, mOwn.mDomain, aStream, kCandidates);
  }
  return entry->second;
}

std::shared_ptr<AggregatorPaths::Path>
AggregatorPaths::For(StreamId aStream)
{
  for (const std::string& instance : Ranked(aStream)) {
    const std::shared_ptr<Path>& path = mPaths[instance];
    if (instance == mOwn.mInstance) {
      return path->mLocal != nullptr ? path : nullptr;
    }
    if (path->mFailures == 0) {
      return path;
    }
  }
  return nullptr;
}

bool
AggregatorPaths::IsCandidate(StreamId aStream)
{
  const std::vector<std::string>& ranked = Ranked(aStream);
  const auto end = ranked.begin() + std::min(ranked.size(), kPreparedCandidates);
  return std::find(ranked.begin(), end, mOwn.mInstance) != end;
}

void
AggregatorPaths::NoteSuccess(Path& aPath)
{
  if (std::exchange(aPath.mFailures, 0) > 0) {
    base::Log(LogEvent::AggregatorRecovered, "aggregator={}", aPath.mInstance);
  }
}

void
AggregatorPaths::NoteFailure(Path& aPath, bool aSilent)
{
  if (aPath.mLocal != nullptr) {
    return; // It has used the paths of this gateway itself.
  }
  if (aPath.mFailures == 0) {
    base::Log(LogEvent::AggregatorLost, "aggregator={} silent={}", aPath.mInstance, aSilent);
  }
  const uint32_t doublings = std::min(aPath.mFailures, kMaxProbeDoublings);
  ++aPath.mFailures;
  aPath.mNextProbe = base::Clock::now() + kInitialProbeDelay * (1U << doublings);
  if (aSilent) {
    aPath.mRemote->Abort();
  }
}

boost::asio::awaitable<void>
AggregatorPaths::Run()
{
  // An offset that no partition reaches: the answer is empty and immediate.
  static constexpr uint64_t kBeyondEnd = std::numeric_limits<uint64_t>::max();
  for (;;) {
    co_await SleepFor(kProbeCheckInterval);
    const base::TimePoint now = base::Clock::now();
    const auto due = std::find_if(mPaths.begin(), mPaths.end(), [now](const auto& aEntry) {
      return aEntry.second->mFailures > 0 && aEntry.second->mNextProbe <= now;
    });
    if (due == mPaths.end()) {
      continue;
    }
    const std::shared_ptr<Path> path = due->second;
    const ReadRange range{ kBeyondEnd, Millis(0) };
    const auto answer = co_await path->Store().Read(StreamName::Programs, range, kProbeTimeout);
    if (base::IsOk(answer)) {
      NoteSuccess(*path);
    } else {
      NoteFailure(*path, true);
    }
  }
}

}
