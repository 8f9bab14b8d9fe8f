#include "program_budgets.h"

#include "elapsed.h"
#include "sycamore/base/log.h"
#include "sycamore/base/random.h"
#include "sycamore/programs/record_age.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <cassert>
#include <fmt/format.h>
#include <random>
#include <utility>

namespace sycamore::gateway {

using base::ErrorKind;
using base::Millis;
using programs::Reservation;

// A block takes what is left of a budget divided by this: sub-agents and lines of turns that come
// in through other gateways need the rest.
static constexpr uint64_t kBlockDivisor = 3;
// An unused block is settled after this time, well above the pauses between the turns of a program.
static constexpr Millis kIdleTime{ 500 };
// Turns stop to draw from a block of this age: readers forget a program two minutes after its last
// record, and a block must not outlive that.
static constexpr base::Seconds kMaxBlockAge{ 30 };
static constexpr Millis kSweepInterval{ 50 };
// A refused reservation is repeated after this time if other reservations are outstanding, which
// may be settled for less than they reserved. Covers the idle time of a block and its settlement.
static constexpr Millis kSettlementWait{ 1300 };
// Ends of attempts that one reservation tells again: 48 KB of the 256 KB that a record may have.
static constexpr size_t kMaxRenewedEnds = 4096;
// A settlement that cannot be appended for this long is given up; the block then counts as spent
// until the program expires.
static constexpr base::Seconds kSettlementTimeout{ 20 };

void
ProgramBudgets::Draw::Settle(uint64_t aTokens)
{
  if (!mBlock) {
    return;
  }
  assert(mBlock->mTurns > 0 && mBlock->mDrawn >= mMaxTokens);
  --mBlock->mTurns;
  mBlock->mDrawn -= mMaxTokens;
  mBlock->mSent += aTokens;
  mBlock->mLastUsed = base::Clock::now();
  mBlock.reset();
}

ProgramBudgets::ProgramBudgets(const boost::asio::any_io_executor& aExecutor,
                               ProgramLogs& aLogs,
                               const std::string& aInstance,
                               std::function<bool()> aStoreReachable,
                               Millis aStoreRetention)
  : mExecutor(aExecutor)
  , mLogs(aLogs)
  , mStoreReachable(std::move(aStoreReachable))
  , mStoreRetention(aStoreRetention)
  , mIdSeed(base::MixHash(base::StableHash(aInstance), std::random_device()()))
{
}

std::shared_ptr<ProgramBudgets::Block>
ProgramBudgets::BlockWith(const Program& aProgram, uint64_t aTokens)
{
  if (aProgram.mBlocks.empty()) {
    return nullptr;
  }
  const std::shared_ptr<Block>& block = aProgram.mBlocks.back();
  const bool tooOld = base::Clock::now() - block->mGrantedAt > kMaxBlockAge;
  // A larger block is returned when its turns end, so that none may follow them.
  const bool toReturn = aProgram.mContended && block->mTokens > aTokens;
  return tooOld || toReturn || block->Available() < aTokens ? nullptr : block;
}

std::optional<ProgramBudgets::Draw>
ProgramBudgets::TryDraw(Program& aProgram, uint64_t aTokens)
{
  const std::shared_ptr<Block> block = BlockWith(aProgram, aTokens);
  if (!block) {
    return std::nullopt;
  }
  block->mDrawn += aTokens;
  ++block->mTurns;
  block->mLastUsed = base::Clock::now();
  return Draw(block, aTokens);
}

bool
ProgramBudgets::HasBlock(const BudgetRequest& aRequest) const
{
  const auto program = mPrograms.find(aRequest.mProgram);
  return program != mPrograms.end() && BlockWith(*program->second, aRequest.mMaxTokens);
}

boost::asio::awaitable<ProgramBudgets::Outcome>
ProgramBudgets::Acquire(BudgetRequest aRequest, base::TimePoint aDeadline)
{
  std::shared_ptr<Program>& entry = mPrograms[aRequest.mProgram];
  if (!entry) {
    entry = std::make_shared<Program>(mExecutor);
  }
  const std::shared_ptr<Program> program = entry;
  for (;;) {
    if (auto draw = TryDraw(*program, aRequest.mMaxTokens)) {
      co_return std::move(*draw);
    }
    if (base::Clock::now() >= aDeadline) {
      co_return base::Error{ ErrorKind::LogUnavailable,
                             "the budget was not reserved before the deadline",
                             "" };
    }
    if (program->mReserving) {
      co_await program->mChanged.WaitUntil(aDeadline);
      continue;
    }
    program->mReserving = true;
    bool refused = false;
    auto error = co_await Reserve(aRequest, *program, aDeadline, refused);
    program->mReserving = false;
    program->mChanged.NotifyAll();
    if (error) {
      co_return std::move(*error);
    }
    if (refused) {
      co_return Refused{};
    }
  }
}

uint64_t
ProgramBudgets::BlockSize(const BudgetRequest& aRequest,
                          const Program& aProgram,
                          uint64_t aReturnedTokens) const
{
  if (aProgram.mContended) {
    return aRequest.mMaxTokens;
  }
  const uint64_t reserved = mLogs.Programs().UsedTokens(aRequest.mProgram);
  const uint64_t used = reserved - std::min(reserved, aReturnedTokens);
  const uint64_t left = aRequest.mBudgetTokens - std::min(used, aRequest.mBudgetTokens);
  return std::max(aRequest.mMaxTokens, left / kBlockDivisor);
}

boost::asio::awaitable<std::optional<base::Error>>
ProgramBudgets::Reserve(BudgetRequest aRequest,
                        Program& aProgram,
                        base::TimePoint aDeadline,
                        bool& aOutRefused)
{
  const base::TimePoint begin = base::Clock::now();
  const base::TimePoint settled =
    begin + std::min(kSettlementWait, std::chrono::duration_cast<Millis>(aDeadline - begin) / 2);
  // What no turn uses any more is returned with the same append, before the new reservation.
  uint64_t returned = SettleUnused(aProgram);
  for (;;) {
    const uint64_t tokens = BlockSize(aRequest, aProgram, std::exchange(returned, 0));
    std::shared_ptr<Block> block;
    if (auto error = co_await ReserveTokens(aRequest, tokens, aDeadline, block)) {
      co_return error;
    }
    if (block) {
      aProgram.mBlocks.push_back(std::move(block));
      co_return std::nullopt;
    }
    if (tokens > aRequest.mMaxTokens && BlockSize(aRequest, aProgram, 0) < tokens) {
      continue; // The view of the budget was old; it is current now.
    }
    const uint64_t spent = mLogs.Programs().SpentTokens(aRequest.mProgram);
    const bool certain = spent + aRequest.mMaxTokens > aRequest.mBudgetTokens;
    if (certain || base::Clock::now() >= settled) {
      aOutRefused = true;
      co_return std::nullopt;
    }
    while (base::Clock::now() < settled && !mLogs.Programs().FitsBudget(aRequest.mProgram,
                                                                        aRequest.mBudgetTokens,
                                                                        aRequest.mMaxTokens)) {
      co_await mLogs.For(aRequest.mProgram).WaitForChange(settled);
    }
  }
}

boost::asio::awaitable<std::optional<base::Error>>
ProgramBudgets::ReserveTokens(const BudgetRequest& aRequest,
                              uint64_t aTokens,
                              base::TimePoint aDeadline,
                              std::shared_ptr<Block>& aOut)
{
  auto block = std::make_shared<Block>();
  // 16 hexadecimal digits are stored as a number; all gateways read every record.
  block->mId = fmt::format("{:016x}", base::MixHash(mIdSeed, mNextBlock++));
  block->mProgram = aRequest.mProgram;
  block->mTokens = aTokens;
  // One record: the reservation is granted only if what was spent before is told with it.
  std::vector<programs::ProgramEvent> events =
    mLogs.Programs().EndsToRenew(block->mProgram,
                                 base::TimeOfDay(),
                                 programs::kBudgetRetention,
                                 mStoreRetention,
                                 kMaxRenewedEnds);
  events.emplace_back(
    programs::AttemptReserved{ block->mId, block->mProgram, aRequest.mBudgetTokens, aTokens });
  ProgramLog& log = mLogs.For(block->mProgram);
  const auto appended = co_await log.Append(std::move(events), aDeadline);
  std::optional<base::Error> error;
  if (!base::IsOk(appended)) {
    error = { ErrorKind::LogUnavailable, base::ErrorOf(appended).mMessage, "" };
  } else if (!co_await log.WaitApplied(base::ValueOf(appended), aDeadline)) {
    error = { ErrorKind::LogUnavailable,
              "the reservation was not applied before the deadline",
              "" };
  }
  if (error) {
    // The record may be applied later, and nobody would use its tokens.
    SettleDeferred(*block);
    co_return error;
  }
  if (mLogs.Programs().ReservationOf(block->mProgram, block->mId) == Reservation::Granted) {
    block->mGrantedAt = base::Clock::now();
    block->mLastUsed = block->mGrantedAt;
    aOut = std::move(block);
  }
  co_return std::nullopt;
}

static programs::AttemptEnded
SettlementOf(const ProgramBudgets::Block& aBlock)
{
  return { aBlock.mId, aBlock.mProgram, aBlock.mSent };
}

boost::asio::awaitable<void>
ProgramBudgets::AppendSettlement(std::shared_ptr<Block> aBlock, base::TimePoint aDeadline)
{
  const auto appended =
    co_await mLogs.For(aBlock->mProgram).Append(SettlementOf(*aBlock), aDeadline);
  if (!base::IsOk(appended)) {
    base::Log(base::LogEvent::LogAppendFailed,
              "block={} counts as spent until the program expires: {}",
              aBlock->mId,
              base::ErrorOf(appended).mMessage);
  }
}

void
ProgramBudgets::SettleDeferred(const Block& aBlock)
{
  mLogs.For(aBlock.mProgram)
    .AppendDeferred(SettlementOf(aBlock), base::Clock::now() + kSettlementTimeout);
}

std::vector<std::shared_ptr<ProgramBudgets::Block>>
ProgramBudgets::TakeUnused(Program& aProgram)
{
  std::vector<std::shared_ptr<Block>> unused;
  std::erase_if(aProgram.mBlocks, [&](const std::shared_ptr<Block>& aBlock) {
    if (aBlock->mTurns == 0) {
      unused.push_back(aBlock);
    }
    return aBlock->mTurns == 0;
  });
  return unused;
}

uint64_t
ProgramBudgets::SettleUnused(Program& aProgram)
{
  uint64_t returned = 0;
  for (const std::shared_ptr<Block>& block : TakeUnused(aProgram)) {
    SettleDeferred(*block);
    returned += block->Available();
  }
  return returned;
}

void
ProgramBudgets::SettleContended()
{
  for (const std::string& name : mLogs.TakeRefused()) {
    if (const auto program = mPrograms.find(name); program != mPrograms.end()) {
      program->second->mContended = true;
    }
  }
  const base::TimePoint limit = base::Clock::now() + kSettlementTimeout;
  for (const auto& [name, program] : mPrograms) {
    if (!program->mContended) {
      continue;
    }
    // Not deferred: a turn waits for it.
    for (const std::shared_ptr<Block>& block : TakeUnused(*program)) {
      boost::asio::co_spawn(mExecutor, AppendSettlement(block, limit), LogFailure{});
    }
  }
}

void
ProgramBudgets::SettleIdle()
{
  const base::TimePoint now = base::Clock::now();
  for (const auto& [name, program] : mPrograms) {
    const bool idle =
      std::all_of(program->mBlocks.begin(), program->mBlocks.end(), [now](const auto& aBlock) {
        return now - aBlock->mLastUsed > kIdleTime;
      });
    if (idle && mStoreReachable()) {
      SettleUnused(*program);
    }
  }
  std::erase_if(mPrograms, [](const auto& aEntry) {
    return aEntry.second->mBlocks.empty() && aEntry.second.use_count() == 1;
  });
}

boost::asio::awaitable<void>
ProgramBudgets::Run()
{
  for (;;) {
    co_await SleepFor(kSweepInterval);
    SettleContended();
    SettleIdle();
  }
}

boost::asio::awaitable<void>
ProgramBudgets::SettleAll(base::TimePoint aDeadline)
{
  TaskGroup appends(mExecutor);
  for (const auto& [name, program] : mPrograms) {
    for (const std::shared_ptr<Block>& block : TakeUnused(*program)) {
      appends.Spawn(AppendSettlement(block, aDeadline));
    }
  }
  co_await appends.Wait();
}

}
