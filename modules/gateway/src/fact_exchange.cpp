#include "fact_exchange.h"

#include "aggregator_choice.h"
#include "async.h"
#include "fact_codec.h"
#include "sycamore/base/log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sycamore::gateway {

using base::Millis;

// Candidates for the hub of a failure domain: two machines may be lost at once.
static constexpr size_t kCandidates = 3;
// The hub and the first to replace it, which follow the other failure domains.
static constexpr size_t kPreparedCandidates = 2;
// How long a hub waits for news before it answers.
static constexpr Millis kWait{ 1000 };
// How long an answer may take beyond that; the farthest hub answers in 65 ms. A frozen hub is
// replaced after both.
static constexpr Millis kAnswerTimeout{ 300 };
// Facts are told at once, but those that are observed together share a call.
static constexpr Millis kTellDelay{ 10 };
// Delay of the next attempt after a failure, doubled with each further one up to the maximum.
static constexpr Millis kInitialBackoff{ 500 };
static constexpr uint32_t kMaxDoublings = 4;
// Pause where there is no hub to follow or to tell.
static constexpr Millis kIdleInterval{ 200 };
// A gateway that others follow follows the other failure domains for this time.
static constexpr base::Seconds kHubLease{ 5 };
static constexpr base::Seconds kExpireInterval{ 5 };
// Facts in one message; the rest follows in the next one.
static constexpr size_t kMaxFactsPerMessage = 256;
// Longest wait that another gateway may ask for.
static constexpr uint32_t kMaxWaitMs = 5000;

// The hub of a failure domain is chosen as the aggregator of this stream would be.
static constexpr StreamId
HubStream()
{
  return { StreamName::Members, 0 };
}

FactExchange::FactExchange(const boost::asio::any_io_executor& aExecutor,
                           SharedFacts& aFacts,
                           Member aOwn,
                           std::function<bool()> aStopping)
  : mExecutor(aExecutor)
  , mFacts(aFacts)
  , mOwn(std::move(aOwn))
  , mStopping(std::move(aStopping))
  , mMembers{ mOwn }
{
}

void
FactExchange::SetMembers(const std::vector<Member>& aMembers)
{
  mMembers = { mOwn };
  mRanked.clear();
  std::set<std::string> instances;
  for (const Member& member : aMembers) {
    if (member.mInstance == mOwn.mInstance) {
      continue;
    }
    mMembers.push_back(member);
    instances.insert(member.mInstance);
    auto& peer = mPeers[member.mInstance];
    if (!peer || peer->mEndpoint != member.mPeer) {
      peer = std::make_shared<Peer>();
      peer->mEndpoint = member.mPeer;
      peer->mClient = std::make_shared<RelayClient>(mExecutor, member.mPeer);
    }
  }
  std::erase_if(mPeers, [&](const auto& aEntry) { return !instances.contains(aEntry.first); });
}

const std::vector<std::string>&
FactExchange::Ranked(const std::string& aDomain)
{
  const auto [entry, added] = mRanked.try_emplace(aDomain);
  if (added) {
    entry->second = RankAggregators(mMembers, aDomain, HubStream(), kCandidates);
  }
  return entry->second;
}

std::string
FactExchange::HubOf(const std::string& aDomain)
{
  const base::TimePoint now = base::Clock::now();
  for (const std::string& instance : Ranked(aDomain)) {
    if (instance == mOwn.mInstance) {
      return "";
    }
    const Peer& peer = *mPeers.at(instance);
    if (peer.mFailures == 0 || now >= peer.mNextAttempt) {
      return instance;
    }
  }
  return "";
}

bool
FactExchange::IsCandidate()
{
  const std::vector<std::string>& ranked = Ranked(mOwn.mDomain);
  const auto end = ranked.begin() + std::min(ranked.size(), kPreparedCandidates);
  return std::find(ranked.begin(), end, mOwn.mInstance) != end ||
         base::Clock::now() - mLastServed < kHubLease;
}

boost::asio::awaitable<void>
FactExchange::Run()
{
  boost::asio::co_spawn(mExecutor, FollowOwnDomain(), LogFailure{});
  boost::asio::co_spawn(mExecutor, FollowOtherDomains(), LogFailure{});
  boost::asio::co_spawn(mExecutor, TellHub(), LogFailure{});
  for (;;) {
    co_await SleepFor(kExpireInterval);
    mFacts.Expire(base::Clock::now());
  }
}

boost::asio::awaitable<void>
FactExchange::FollowOwnDomain()
{
  for (;;) {
    const std::string hub = HubOf(mOwn.mDomain);
    bool answered = false;
    if (!hub.empty()) {
      answered = co_await Follow(hub, mPeers.at(hub));
    }
    if (!answered) {
      co_await SleepFor(kIdleInterval);
    }
  }
}

boost::asio::awaitable<void>
FactExchange::FollowOtherDomains()
{
  for (;;) {
    for (const Member& member : mMembers) {
      if (member.mDomain != mOwn.mDomain && !std::exchange(mFollowed[member.mDomain], true)) {
        boost::asio::co_spawn(mExecutor, FollowDomain(member.mDomain), LogFailure{});
      }
    }
    co_await SleepFor(kIdleInterval);
  }
}

boost::asio::awaitable<void>
FactExchange::FollowDomain(std::string aDomain)
{
  for (;;) {
    const std::string hub = IsCandidate() ? HubOf(aDomain) : "";
    bool answered = false;
    if (!hub.empty()) {
      answered = co_await Follow(hub, mPeers.at(hub));
    }
    if (!answered) {
      co_await SleepFor(kIdleInterval);
    }
  }
}

boost::asio::awaitable<void>
FactExchange::TellHub()
{
  for (;;) {
    const std::string hub = HubOf(mOwn.mDomain);
    if (hub.empty()) {
      co_await SleepFor(kIdleInterval);
      continue;
    }
    const std::shared_ptr<Peer> peer = mPeers.at(hub);
    // The pause also ends when the hub has restarted or another one has taken its place.
    co_await mFacts.WaitFor(peer->mTold, base::Clock::now() + kIdleInterval);
    if (mFacts.Next() <= peer->mTold) {
      continue;
    }
    co_await SleepFor(kTellDelay);
    const bool told = co_await Tell(hub, peer);
    if (!told) {
      co_await SleepFor(kIdleInterval);
    }
  }
}

boost::asio::awaitable<bool>
FactExchange::Tell(std::string aInstance, std::shared_ptr<Peer> aPeer)
{
  uint64_t next = 0;
  const std::vector<Fact> facts =
    mFacts.From(aPeer->mTold, kMaxFactsPerMessage, !aPeer->mTellAll, next);
  if (!facts.empty()) {
    RelayClient::FactsRequest request;
    const base::TimePoint now = base::Clock::now();
    for (const Fact& fact : facts) {
      request.mRecords.push_back(EncodeFact(fact, now));
    }
    const auto answer = co_await aPeer->mClient->Facts(std::move(request), kAnswerTimeout);
    NoteResult(aInstance, *aPeer, base::IsOk(answer));
    if (!base::IsOk(answer)) {
      co_return false;
    }
  }
  aPeer->mTold = next;
  aPeer->mTellAll = aPeer->mTellAll && next < mFacts.Next();
  co_return true;
}

boost::asio::awaitable<bool>
FactExchange::Follow(std::string aInstance, std::shared_ptr<Peer> aPeer)
{
  const bool known = aPeer->mEpoch != 0 && aPeer->mFailures == 0;
  RelayClient::FactsRequest request;
  request.mEpoch = aPeer->mEpoch;
  request.mFrom = aPeer->mNext;
  request.mWait = known ? kWait : Millis(0);
  const Millis timeout = request.mWait + kAnswerTimeout;
  const auto answer = co_await aPeer->mClient->Facts(std::move(request), timeout);
  NoteResult(aInstance, *aPeer, base::IsOk(answer));
  if (!base::IsOk(answer)) {
    co_return false;
  }
  const RelayClient::FactsAnswer& facts = base::ValueOf(answer);
  if (facts.mEpoch != aPeer->mEpoch) {
    aPeer->mEpoch = facts.mEpoch;
    aPeer->mTold = 0;
    aPeer->mTellAll = true;
  }
  aPeer->mNext = facts.mNext;
  Enter(facts.mRecords);
  co_return true;
}

void
FactExchange::NoteResult(const std::string& aInstance, Peer& aPeer, bool aAnswered)
{
  if (aAnswered) {
    if (std::exchange(aPeer.mFailures, 0) > 0) {
      base::Log(base::LogEvent::FactHubRecovered, "hub={}", aInstance);
    }
    return;
  }
  if (aPeer.mFailures == 0) {
    base::Log(base::LogEvent::FactHubLost, "hub={}", aInstance);
  }
  const uint32_t doublings = std::min(aPeer.mFailures, kMaxDoublings);
  ++aPeer.mFailures;
  aPeer.mNextAttempt = base::Clock::now() + kInitialBackoff * (1U << doublings);
}

void
FactExchange::Enter(const std::vector<std::string>& aRecords)
{
  const base::TimePoint now = base::Clock::now();
  size_t malformed = 0;
  for (const std::string& record : aRecords) {
    if (const auto fact = DecodeFact(record, now)) {
      mFacts.Add(*fact, SharedFacts::Origin::OtherGateway);
    } else {
      ++malformed;
    }
  }
  if (malformed > 0) {
    base::Log(base::LogEvent::PeerProtocolError, "{} facts that cannot be read", malformed);
  }
}

boost::asio::awaitable<wire::RelayResponseT>
FactExchange::Serve(const wire::RelayRequestT& aRequest)
{
  std::vector<std::string> records;
  for (const auto& record : aRequest.records) {
    records.emplace_back(record->bytes.begin(), record->bytes.end());
  }
  Enter(records);
  wire::RelayResponseT response;
  if (mStopping()) {
    response.failure = "the gateway is stopping";
    co_return response;
  }
  response.epoch = mFacts.Epoch();
  if (aRequest.wait_ms == 0 && !aRequest.records.empty()) {
    response.next = aRequest.from; // It only tells facts.
    co_return response;
  }
  mLastServed = base::Clock::now();
  const uint64_t from = aRequest.epoch == mFacts.Epoch() ? aRequest.from : 0;
  const Millis wait(std::min(aRequest.wait_ms, kMaxWaitMs));
  co_await mFacts.WaitFor(from, base::Clock::now() + wait);
  std::vector<Fact> facts = mFacts.From(from, kMaxFactsPerMessage, false, response.next);
  const base::TimePoint now = base::Clock::now();
  for (const Fact& fact : facts) {
    auto record = std::make_unique<wire::RelayRecordT>();
    record->value = std::make_unique<wire::RelayBytesT>();
    const std::string bytes = EncodeFact(fact, now);
    record->value->bytes.assign(bytes.begin(), bytes.end());
    response.records.push_back(std::move(record));
  }
  co_return response;
}

}
