#include "program_logs.h"

#include "sycamore/base/random.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <cassert>
#include <utility>

namespace sycamore::gateway {

// How often expired turns are looked for.
static constexpr base::Seconds kExpiryInterval{ 5 };

ProgramLogs::ProgramLogs(const boost::asio::any_io_executor& aExecutor,
                         LogStore& aStore,
                         uint32_t aPartitions,
                         uint64_t aFirstLoaded)
  : mExecutor(aExecutor)
  , mFirstLoaded(aFirstLoaded)
{
  assert(aPartitions > 0);
  for (uint32_t partition = 0; partition < aPartitions; ++partition) {
    mLogs.push_back(
      std::make_unique<ProgramLog>(aExecutor, aStore, mPrograms, partition, aPartitions));
  }
}

boost::asio::awaitable<void>
ProgramLogs::Run(std::set<uint32_t> aAtOnce)
{
  for (const uint32_t partition : aAtOnce) {
    boost::asio::co_spawn(mExecutor, mLogs[partition]->Run(), LogFailure{});
  }
  for (size_t i = 0; i < mLogs.size(); ++i) {
    ProgramLog& log = *mLogs[(mFirstLoaded + i) % mLogs.size()];
    if (aAtOnce.contains(log.Partition())) {
      continue;
    }
    boost::asio::co_spawn(mExecutor, log.Run(), LogFailure{});
    while (!log.Loaded()) {
      co_await log.WaitForChange(base::TimePoint::max());
    }
  }
  co_await Expire();
}

boost::asio::awaitable<void>
ProgramLogs::Expire()
{
  for (;;) {
    co_await SleepFor(kExpiryInterval);
    mPrograms.Expire(std::min(base::TimeOfDay(), CurrentAt()));
  }
}

ProgramLog&
ProgramLogs::For(const std::string& aProgram)
{
  return *mLogs[base::StableHash(aProgram) % mLogs.size()];
}

bool
ProgramLogs::Loaded() const
{
  return std::all_of(mLogs.begin(), mLogs.end(), [](const auto& aLog) { return aLog->Loaded(); });
}

bool
ProgramLogs::Failing() const
{
  return std::any_of(mLogs.begin(), mLogs.end(), [](const auto& aLog) { return aLog->Failing(); });
}

base::Millis
ProgramLogs::CurrentAt() const
{
  base::Millis oldest = base::Millis::max();
  for (const auto& log : mLogs) {
    oldest = std::min(oldest, log->CurrentAt());
  }
  return oldest;
}

uint64_t
ProgramLogs::AppliedRecords() const
{
  uint64_t records = 0;
  for (const auto& log : mLogs) {
    records += log->NextOffset();
  }
  return records;
}

boost::asio::awaitable<void>
ProgramLogs::CatchUpOne(ProgramLog& aLog,
                        base::TimePoint aDeadline,
                        std::optional<base::Error>& aOutError)
{
  const auto caughtUp = co_await aLog.CatchUp(aDeadline);
  if (!base::IsOk(caughtUp)) {
    aOutError = base::ErrorOf(caughtUp);
  }
}

boost::asio::awaitable<base::Result<base::Unit>>
ProgramLogs::CatchUpWith(std::string aProgram, std::string aLast, base::TimePoint aDeadline)
{
  ProgramLog& own = For(aProgram);
  std::optional<base::Error> error;
  co_await CatchUpOne(own, aDeadline, error);
  if (!error && !mPrograms.Chain(aLast)) {
    TaskGroup reads(mExecutor);
    for (const auto& log : mLogs) {
      if (log.get() != &own) {
        reads.Spawn(CatchUpOne(*log, aDeadline, error));
      }
    }
    co_await reads.Wait();
  }
  if (error) {
    co_return std::move(*error);
  }
  co_return base::Unit{};
}

}
