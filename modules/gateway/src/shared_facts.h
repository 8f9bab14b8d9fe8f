#pragma once

#include "async.h"
#include "fact.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace sycamore::gateway {

// The facts that this gateway knows, its own and those of others. Soft state: it is lost with the
// process, and read again from another gateway at the next start. Lives on one event loop.
class SharedFacts
{
public:
  // Where a fact came from.
  enum class Origin : uint8_t
  {
    Own,
    OtherGateway,
  };

  using Handler = std::function<void(const Fact&, Origin)>;

  explicit SharedFacts(const boost::asio::any_io_executor& aExecutor);

  // Identifies this process and therefore the numbering of its facts.
  uint64_t Epoch() const { return mEpoch; }

  // Enters aFact and runs the handlers, unless it tells nothing new or has expired. Whether it was
  // entered.
  bool Add(const Fact& aFact, Origin aOrigin);

  // Adds a function that runs after a fact was entered.
  void OnNews(Handler aHandler) { mHandlers.push_back(std::move(aHandler)); }

  // The fact with aKey; null if none is known.
  const Fact* Find(const std::string& aKey) const;

  // Facts are numbered in the order in which they were entered. The number that the next one gets.
  uint64_t Next() const { return mNext; }

  // At most aMaxCount facts from number aFrom on, the oldest first, and in aOutNext the number to
  // go on from. With aOwnOnly, those alone that were observed here.
  std::vector<Fact> From(uint64_t aFrom, size_t aMaxCount, bool aOwnOnly, uint64_t& aOutNext) const;

  // Waits until a fact with number aFrom or above is entered, or until aDeadline.
  boost::asio::awaitable<void> WaitFor(uint64_t aFrom, base::TimePoint aDeadline);

  // Drops the facts that have expired at aNow.
  void Expire(base::TimePoint aNow);

  size_t Size() const { return mFacts.size(); }

private:
  struct Entry
  {
    Fact mFact;
    uint64_t mNumber = 0;
    Origin mOrigin = Origin::Own;
  };

  void DropOldest();

  const uint64_t mEpoch;
  std::map<std::string, Entry> mFacts;       // By key.
  std::map<uint64_t, std::string> mByNumber; // Keys of mFacts.
  uint64_t mNext = 0;
  std::vector<Handler> mHandlers;
  Signal mEntered;
};

}
