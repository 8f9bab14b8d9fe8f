#include "turn_renewals.h"

#include "sycamore/base/log.h"
#include "sycamore/programs/record_age.h"

#include <boost/asio/co_spawn.hpp>
#include <utility>

namespace sycamore::gateway {

using base::Millis;
using programs::RecordAge;

TurnRenewals::TurnRenewals(const boost::asio::any_io_executor& aExecutor,
                           ProgramLogs& aLogs,
                           TurnTexts& aTexts,
                           uint32_t aWriter,
                           Millis aStoreRetention)
  : mExecutor(aExecutor)
  , mLogs(aLogs)
  , mTexts(aTexts)
  , mWriter(aWriter)
  , mStoreRetention(aStoreRetention)
{
}

void
TurnRenewals::Start(const std::vector<TurnTextPtr>& aTexts,
                    Millis aNeeded,
                    base::TimePoint aDeadline)
{
  const Millis now = base::TimeOfDay();
  size_t started = 0;
  for (const TurnTextPtr& text : aTexts) {
    const programs::Turn* turn = mLogs.Programs().FindTurn(text->mAttempt);
    const bool fresh =
      turn == nullptr ||
      programs::AgeOfRecord(turn->mWrittenAt, now, aNeeded, mStoreRetention) == RecordAge::Fresh;
    if (fresh || mRenewals.contains(text->mAttempt)) {
      continue;
    }
    auto renewal = std::make_shared<Renewal>(mExecutor);
    mRenewals.emplace(text->mAttempt, renewal);
    boost::asio::co_spawn(mExecutor, Renew(text, std::move(renewal), aDeadline), LogFailure{});
    ++started;
  }
  if (started > 0) {
    base::Log(base::LogEvent::HistoryRewritten,
              "turns={} of={} last={} needed_ms={} store_keeps_ms={}",
              started,
              aTexts.size(),
              aTexts.back()->mAttempt,
              aNeeded.count(),
              mStoreRetention.count());
  }
}

boost::asio::awaitable<void>
TurnRenewals::Renew(TurnTextPtr aText, std::shared_ptr<Renewal> aRenewal, base::TimePoint aDeadline)
{
  const bool applied = co_await AppendCopy(aText, *aRenewal, aDeadline);
  if (!applied && !aRenewal->mAppended) {
    aRenewal->mFailed = true;
    base::Log(base::LogEvent::LogAppendFailed,
              "turn {} was not renewed before the deadline",
              aText->mAttempt);
  }
  mRenewals.erase(aText->mAttempt);
  aRenewal->mChanged.NotifyAll();
}

boost::asio::awaitable<bool>
TurnRenewals::AppendCopy(const TurnTextPtr& aText, Renewal& aRenewal, base::TimePoint aDeadline)
{
  // The texts come first, since the record of the turn names their offset.
  programs::TurnText text = *aText;
  const auto offset = co_await mTexts.Append(std::move(text), aDeadline);
  const programs::Turn* turn = mLogs.Programs().FindTurn(aText->mAttempt);
  if (!base::IsOk(offset) || turn == nullptr) {
    co_return false;
  }
  programs::TurnCompleted copy;
  copy.mAttempt = aText->mAttempt;
  copy.mProgram = turn->mProgram;
  copy.mPrevious = turn->mPrevious;
  copy.mReplica = turn->mReplica;
  copy.mRetention = turn->mRetention;
  copy.mTextSearchStart = base::ValueOf(offset);
  copy.mTextBytes = static_cast<uint32_t>(aText->Bytes());
  copy.mTextPartition = mTexts.Partition();
  copy.mWriter = mWriter;
  copy.mCopy = turn->mCopy + 1;
  copy.mAccount = turn->mAccount;
  ProgramLog& log = mLogs.For(copy.mProgram);
  const auto appended = co_await log.Append(std::move(copy), aDeadline);
  if (!base::IsOk(appended)) {
    co_return false;
  }
  aRenewal.mAppended = true;
  aRenewal.mChanged.NotifyAll();
  co_return co_await log.WaitApplied(base::ValueOf(appended), aDeadline);
}

bool
TurnRenewals::IsExpiring(const std::string& aAttempt, Millis aNeeded) const
{
  const programs::Turn* turn = mLogs.Programs().FindTurn(aAttempt);
  return turn == nullptr ||
         programs::AgeOfRecord(turn->mWrittenAt, base::TimeOfDay(), aNeeded, mStoreRetention) ==
           RecordAge::Expiring;
}

boost::asio::awaitable<bool>
TurnRenewals::EnsureKept(const std::vector<std::string>& aChain,
                         Millis aNeeded,
                         base::TimePoint aDeadline)
{
  for (const std::string& attempt : aChain) {
    if (!IsExpiring(attempt, aNeeded)) {
      continue;
    }
    const auto entry = mRenewals.find(attempt);
    if (entry == mRenewals.end()) {
      co_return false;
    }
    const std::shared_ptr<Renewal> renewal = entry->second;
    while (!renewal->mAppended && !renewal->mFailed && base::Clock::now() < aDeadline) {
      co_await renewal->mChanged.WaitUntil(aDeadline);
    }
    if (!renewal->mAppended) {
      co_return false;
    }
  }
  co_return true;
}

}
