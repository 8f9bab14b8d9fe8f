#include "shared_facts.h"

#include "sycamore/base/log.h"
#include "sycamore/base/random.h"

#include <algorithm>
#include <utility>

namespace sycamore::gateway {

// Limit of the facts in memory, about 200 bytes each. 800 replicas have one limit each.
static constexpr size_t kMaxFacts = 8192;

SharedFacts::SharedFacts(const boost::asio::any_io_executor& aExecutor)
  : mEpoch(base::RandomId())
  , mEntered(aExecutor)
{
}

bool
SharedFacts::Add(const Fact& aFact, Origin aOrigin)
{
  if (base::Clock::now() - aFact.mObservedAt >= LifetimeOf(aFact)) {
    return false;
  }
  std::string key = KeyOf(aFact);
  const auto known = mFacts.find(key);
  if (known != mFacts.end()) {
    if (!Supersedes(aFact, known->second.mFact)) {
      return false;
    }
    mByNumber.erase(known->second.mNumber);
  } else if (mFacts.size() >= kMaxFacts) {
    DropOldest();
  }
  mByNumber.emplace(mNext, key);
  mFacts[key] = { aFact, mNext++, aOrigin };
  mEntered.NotifyAll();
  for (const Handler& handler : mHandlers) {
    handler(aFact, aOrigin);
  }
  return true;
}

void
SharedFacts::DropOldest()
{
  const auto oldest = mByNumber.begin();
  base::Log(base::LogEvent::FactsDropped, "facts={} dropped={}", mFacts.size(), oldest->second);
  mFacts.erase(oldest->second);
  mByNumber.erase(oldest);
}

const Fact*
SharedFacts::Find(const std::string& aKey) const
{
  const auto entry = mFacts.find(aKey);
  return entry == mFacts.end() ? nullptr : &entry->second.mFact;
}

std::vector<Fact>
SharedFacts::From(uint64_t aFrom, size_t aMaxCount, bool aOwnOnly, uint64_t& aOutNext) const
{
  std::vector<Fact> facts;
  aOutNext = std::max(aFrom, mNext);
  for (auto number = mByNumber.lower_bound(aFrom); number != mByNumber.end(); ++number) {
    if (facts.size() == aMaxCount) {
      aOutNext = number->first;
      break;
    }
    const Entry& entry = mFacts.at(number->second);
    if (!aOwnOnly || entry.mOrigin == Origin::Own) {
      facts.push_back(entry.mFact);
    }
  }
  return facts;
}

boost::asio::awaitable<void>
SharedFacts::WaitFor(uint64_t aFrom, base::TimePoint aDeadline)
{
  while (mNext <= aFrom && base::Clock::now() < aDeadline) {
    co_await mEntered.WaitUntil(aDeadline);
  }
}

void
SharedFacts::Expire(base::TimePoint aNow)
{
  std::erase_if(mFacts, [&](const auto& aEntry) {
    const bool expired = aNow - aEntry.second.mFact.mObservedAt >= LifetimeOf(aEntry.second.mFact);
    if (expired) {
      mByNumber.erase(aEntry.second.mNumber);
    }
    return expired;
  });
}

}
