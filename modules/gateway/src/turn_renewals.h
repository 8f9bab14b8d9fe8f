#pragma once

#include "async.h"
#include "program_logs.h"
#include "sycamore/base/clock.h"
#include "turn_texts.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace sycamore::gateway {

// Appends turns and their texts again before the store drops their records.
//
// A turn is kept as long as a later turn continues it, which may be longer than the store keeps a
// record. The gateway that serves the later turn therefore renews the turns before it, and
// acknowledges the later turn only if the records of all of them will last for its retention. No
// gateway owns the history: two that renew the same turn append two copies, and each reader uses
// the first one of the highest number. A turn that nothing continues is not renewed and expires.
// Lives on one event loop.
class TurnRenewals
{
public:
  // aWriter is the hash of this instance. aStoreRetention is the time for which the store keeps
  // records; 0 if it is not known: nothing is renewed then.
  TurnRenewals(const boost::asio::any_io_executor& aExecutor,
               ProgramLogs& aLogs,
               TurnTexts& aTexts,
               uint32_t aWriter,
               base::Millis aStoreRetention);

  // Renews in the background those turns of a chain whose records the store may drop within
  // aNeeded from now, or soon after. Gives up at aDeadline, which is logged.
  void Start(const std::vector<TurnTextPtr>& aTexts,
             base::Millis aNeeded,
             base::TimePoint aDeadline);

  // Waits for renewals of turns of aChain without which the store may drop their records within
  // aNeeded. False if one fails or is not appended before aDeadline.
  boost::asio::awaitable<bool> EnsureKept(const std::vector<std::string>& aChain,
                                          base::Millis aNeeded,
                                          base::TimePoint aDeadline);

private:
  struct Renewal
  {
    explicit Renewal(const boost::asio::any_io_executor& aExecutor)
      : mChanged(aExecutor)
    {
    }

    bool mAppended = false;
    bool mFailed = false;
    Signal mChanged;
  };

  boost::asio::awaitable<void> Renew(TurnTextPtr aText,
                                     std::shared_ptr<Renewal> aRenewal,
                                     base::TimePoint aDeadline);
  boost::asio::awaitable<bool> AppendCopy(const TurnTextPtr& aText,
                                          Renewal& aRenewal,
                                          base::TimePoint aDeadline);
  bool IsExpiring(const std::string& aAttempt, base::Millis aNeeded) const;

  boost::asio::any_io_executor mExecutor;
  ProgramLogs& mLogs;
  TurnTexts& mTexts;
  const uint32_t mWriter;
  const base::Millis mStoreRetention;
  // By attempt; until the copy is applied here, so that no other turn of this gateway repeats it.
  std::unordered_map<std::string, std::shared_ptr<Renewal>> mRenewals;
};

}
