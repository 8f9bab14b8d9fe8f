#pragma once

#include "async.h"
#include "program_logs.h"
#include "sycamore/base/clock.h"
#include "sycamore/base/error.h"

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace sycamore::gateway {

// What a turn takes from the budget of its program.
struct BudgetRequest
{
  std::string mProgram;
  uint64_t mBudgetTokens = 0; // Of the whole program.
  uint64_t mMaxTokens = 0;    // Maximum that the turn can generate.
};

// Reserves the budgets of programs in the log, in blocks.
//
// A block is a reservation for several turns that run at this gateway: a share of what is left, so
// that other gateways find the rest. If one is refused all the same, all gateways see that in the
// log and return what they do not use. A turn draws its maximum from the block of its program and
// needs no call to the store while the block lasts. Until the block is settled all readers of the
// log count it as spent, so that a program never exceeds its budget, whichever gateways crash. An
// idle block is settled soon, since another gateway may need the rest.
//
// A program may outlive the records of its first turns in the store. Each reservation therefore
// tells again, in its own record, what the program has spent according to records that the store
// drops soon. Lives on one event loop.
class ProgramBudgets
{
public:
  // A reservation of this gateway.
  struct Block
  {
    std::string mId;
    std::string mProgram;
    uint64_t mTokens = 0; // Reserved.
    uint64_t mDrawn = 0;  // Maximum of the turns in progress.
    uint64_t mSent = 0;   // Tokens of the turns that ended.
    uint32_t mTurns = 0;  // In progress.
    base::TimePoint mGrantedAt;
    base::TimePoint mLastUsed;

    // 0 also if a replica has generated more than it was asked for, so that mSent exceeds mTokens.
    uint64_t Available() const { return mTokens - std::min(mTokens, mDrawn + mSent); }
  };

  // The share of a block that one turn has drawn.
  class Draw
  {
  public:
    Draw(Draw&&) noexcept = default;
    Draw& operator=(Draw&&) noexcept = default;

    // Returns what the turn did not use. aTokens were sent to the caller.
    void Settle(uint64_t aTokens);

  private:
    friend class ProgramBudgets;

    Draw(std::shared_ptr<Block> aBlock, uint64_t aMaxTokens)
      : mBlock(std::move(aBlock))
      , mMaxTokens(aMaxTokens)
    {
    }

    std::shared_ptr<Block> mBlock; // Null once it was settled.
    uint64_t mMaxTokens;
  };

  // Granted; refused, because the budget is spent; or neither, because the log cannot be read or
  // written.
  struct Refused
  {};
  using Outcome = std::variant<Draw, Refused, base::Error>;

  // The ids of blocks are hashes of aInstance, a random number and a counter. Idle blocks are kept
  // while aStoreReachable is false: a settlement could not be appended, and no block reserved.
  // aStoreRetention is the time for which the store keeps records; 0 if it is not known.
  ProgramBudgets(const boost::asio::any_io_executor& aExecutor,
                 ProgramLogs& aLogs,
                 const std::string& aInstance,
                 std::function<bool()> aStoreReachable,
                 base::Millis aStoreRetention = base::Millis(0));

  // Settles idle blocks until the event loop ends.
  boost::asio::awaitable<void> Run();

  // Draws the maximum of a turn. Waits for the log, until aDeadline at most, if no block has
  // enough.
  boost::asio::awaitable<Outcome> Acquire(BudgetRequest aRequest, base::TimePoint aDeadline);

  // Whether a block has enough for a turn, so that Acquire returns at once.
  bool HasBlock(const BudgetRequest& aRequest) const;

  // Settles all blocks without turns in progress; returns when the log has them, or at aDeadline.
  boost::asio::awaitable<void> SettleAll(base::TimePoint aDeadline);

  // Programs with a block at this gateway.
  size_t ProgramCount() const { return mPrograms.size(); }

private:
  struct Program
  {
    explicit Program(const boost::asio::any_io_executor& aExecutor)
      : mChanged(aExecutor)
    {
    }

    std::vector<std::shared_ptr<Block>> mBlocks; // The newest one last; turns draw from it.
    bool mReserving = false;                     // One reservation at a time for each program.
    // Another turn of the program was refused: blocks are for one turn and returned at its end.
    bool mContended = false;
    Signal mChanged;
  };

  // Reserves a block; nothing is left of it if the result is not granted.
  boost::asio::awaitable<std::optional<base::Error>> Reserve(BudgetRequest aRequest,
                                                             Program& aProgram,
                                                             base::TimePoint aDeadline,
                                                             bool& aOutRefused);
  boost::asio::awaitable<std::optional<base::Error>> ReserveTokens(const BudgetRequest& aRequest,
                                                                   uint64_t aTokens,
                                                                   base::TimePoint aDeadline,
                                                                   std::shared_ptr<Block>& aOut);
  // aReturnedTokens are about to be returned to the budget.
  uint64_t BlockSize(const BudgetRequest& aRequest,
                     const Program& aProgram,
                     uint64_t aReturnedTokens) const;
  // The block that aTokens can be drawn from; null if there is none.
  static std::shared_ptr<Block> BlockWith(const Program& aProgram, uint64_t aTokens);
  static std::optional<Draw> TryDraw(Program& aProgram, uint64_t aTokens);
  // Removes the blocks without turns in progress.
  static std::vector<std::shared_ptr<Block>> TakeUnused(Program& aProgram);
  boost::asio::awaitable<void> AppendSettlement(std::shared_ptr<Block> aBlock,
                                                base::TimePoint aDeadline);
  // Appends the settlement with the next batch, or a moment later.
  void SettleDeferred(const Block& aBlock);
  // Settles the blocks without turns in progress; returns the tokens that were not used.
  uint64_t SettleUnused(Program& aProgram);
  // Returns unused blocks of programs whose turns are refused elsewhere.
  void SettleContended();
  void SettleIdle();

  boost::asio::any_io_executor mExecutor;
  ProgramLogs& mLogs;
  std::function<bool()> mStoreReachable;
  base::Millis mStoreRetention;
  uint64_t mIdSeed; // Differs between gateways, and between the starts of one.
  uint64_t mNextBlock = 0;
  std::map<std::string, std::shared_ptr<Program>> mPrograms;
};

}
