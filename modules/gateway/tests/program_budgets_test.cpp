#include "program_budgets.h"

#include "fake_log_store.h"
#include "loop_fixture.h"
#include "sycamore/base/random.h"
#include "sycamore/programs/record_codec.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sycamore::gateway {

static constexpr uint64_t kTurnTokens = 100;
static constexpr base::Seconds kStoreRetention{ 300 };

// Gateways that share a log, and programs whose turns come in through any of them.
struct ProgramBudgetsFixture : LoopFixture
{
  struct Process
  {
    Process(ProgramBudgetsFixture& aFixture, const std::string& aInstance)
      : mLogs(aFixture.mLoop.get_executor(), aFixture.mStore, 3)
      , mBudgets(
          aFixture.mLoop.get_executor(),
          mLogs,
          aInstance,
          [&aFixture] { return !aFixture.mStore.mDown; },
          kStoreRetention)
    {
      aFixture.Spawn(mLogs.Run());
      aFixture.Spawn(mBudgets.Run());
    }

    ProgramLogs mLogs;
    ProgramBudgets mBudgets;
  };

  FakeLogStore mStore;
  std::vector<std::unique_ptr<Process>> mProcesses;
  int mGranted = 0;
  int mRefused = 0;
  int mFailed = 0;
  int mTurns = 0;
  std::map<std::string, uint64_t> mTokensSent; // By program.

  void AddProcesses(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      mProcesses.push_back(std::make_unique<Process>(*this, "g" + std::to_string(i)));
    }
    RunUntil([&] {
      return std::all_of(mProcesses.begin(), mProcesses.end(), [](const auto& aProcess) {
        return aProcess->mLogs.Loaded();
      });
    });
  }

  boost::asio::awaitable<void> Turn(ProgramBudgets& aBudgets,
                                    uint64_t aBudget,
                                    uint64_t aTokens,
                                    base::Millis aDuration,
                                    std::string aProgram = "p")
  {
    const BudgetRequest request{ aProgram, aBudget, kTurnTokens };
    ++mTurns;
    auto outcome = co_await aBudgets.Acquire(request, base::Clock::now() + base::Seconds(4));
    if (auto* draw = std::get_if<ProgramBudgets::Draw>(&outcome)) {
      co_await SleepFor(aDuration);
      mTokensSent[aProgram] += aTokens;
      draw->Settle(aTokens);
      ++mGranted;
    } else {
      ++(std::holds_alternative<base::Error>(outcome) ? mFailed : mRefused);
    }
  }

  int Ended() const { return mGranted + mRefused + mFailed; }

  void RunTurn(size_t aProcess, uint64_t aBudget, uint64_t aTokens)
  {
    const int before = Ended();
    Spawn(Turn(mProcesses[aProcess]->mBudgets, aBudget, aTokens, base::Millis(1)));
    RunUntil([&] { return Ended() > before; });
  }
};

// Guards against a call of the store for each turn: the turns of a program draw from a block.
BOOST_FIXTURE_TEST_CASE(ProgramBudgetsTurnsOfABlockNeedNoAppend, ProgramBudgetsFixture)
{
  AddProcesses(1);
  RunTurn(0, 1000, 40);
  const int appends = mStore.mAppends;
  for (int i = 0; i < 4; ++i) {
    RunTurn(0, 1000, 40);
  }
  BOOST_TEST(mGranted == 5);
  BOOST_TEST(mStore.mAppends == appends);
}

// Guards against a program whose next turns are refused because the store is away: its block was
// reserved before.
BOOST_FIXTURE_TEST_CASE(ProgramBudgetsWithoutStoreGrantFromTheBlock, ProgramBudgetsFixture)
{
  AddProcesses(1);
  RunTurn(0, 1000, 100);
  mStore.mDown = true;
  RunTurn(0, 1000, 100);
  BOOST_TEST(mGranted == 2);
}

// Guards against a budget that stays blocked: the rest of an idle block is returned, so that the
// next turns can use it at another gateway.
BOOST_FIXTURE_TEST_CASE(ProgramBudgetsIdleBlockIsReturned, ProgramBudgetsFixture)
{
  AddProcesses(2);
  RunTurn(0, 300, 10);
  RunTurn(0, 300, 10);
  RunTurn(0, 300, 10);
  // 270 of 300 are left, but a block may hold them.
  RunTurn(1, 300, 10);
  RunTurn(1, 300, 10);
  BOOST_TEST(mGranted == 5);
  BOOST_TEST(mRefused == 0);
}

// Guards against a refusal of a turn for which the budget has room: another gateway, whose turns go
// on, holds more of it than they use.
BOOST_FIXTURE_TEST_CASE(ProgramBudgetsBlockInUseIsReturnedWhenAnotherTurnNeedsIt,
                        ProgramBudgetsFixture)
{
  AddProcesses(4);
  for (int i = 0; i < 6; ++i) {
    for (size_t process = 0; process < mProcesses.size(); ++process) {
      RunTurn(process, 800, 20);
    }
  }
  BOOST_TEST(mRefused == 0);
  BOOST_TEST(mTokensSent["p"] == 480U);
}

// Load pattern: sub-agents of a program overlap at one gateway, so that its block is never unused.
// Guards against a turn at another gateway that is refused although the block holds more than those
// turns use.
BOOST_FIXTURE_TEST_CASE(ProgramBudgetsBlockOfOverlappingTurnsIsReturnedWhenAnotherTurnNeedsIt,
                        ProgramBudgetsFixture)
{
  constexpr uint64_t kBudget = 900;
  AddProcesses(2);
  const auto overlap = [](ProgramBudgetsFixture& aFixture) -> boost::asio::awaitable<void> {
    for (int i = 0; i < 30; ++i) {
      aFixture.Spawn(
        aFixture.Turn(aFixture.mProcesses[0]->mBudgets, kBudget, 0, base::Millis(150)));
      co_await SleepFor(base::Millis(100));
    }
  };
  Spawn(overlap(*this));
  RunUntil([&] { return mGranted > 0; });
  // Takes the rest at another gateway, until less than one turn is left.
  ProgramLogs& logs = mProcesses[1]->mLogs;
  int held = 0;
  while (logs.Programs().FitsBudget("p", kBudget, kTurnTokens)) {
    Spawn(Turn(mProcesses[1]->mBudgets, kBudget, 0, base::Seconds(4)));
    const base::TimePoint next = base::Clock::now() + base::Millis(60);
    RunUntil([&] { return base::Clock::now() >= next; });
    ++held;
  }
  const int refused = mRefused;
  bool granted = false;
  const auto turn = [](ProgramBudgets& aBudgets, bool& aGranted) -> boost::asio::awaitable<void> {
    const BudgetRequest request{ "p", kBudget, kTurnTokens };
    auto outcome = co_await aBudgets.Acquire(request, base::Clock::now() + base::Seconds(3));
    if (auto* draw = std::get_if<ProgramBudgets::Draw>(&outcome)) {
      draw->Settle(0);
      aGranted = true;
    }
  };
  // More turns than the blocks of the second gateway have left.
  Spawn(turn(mProcesses[1]->mBudgets, granted));
  RunUntil([&] { return granted || Ended() == mTurns; });
  BOOST_TEST(granted);
  BOOST_TEST(held > 0);
  BOOST_TEST(mRefused == refused);
}

// Guards against a refusal that is not certain, and against one that comes late: nothing is left,
// and no other turn may return anything.
BOOST_FIXTURE_TEST_CASE(ProgramBudgetsSpentBudgetIsRefusedAtOnce, ProgramBudgetsFixture)
{
  AddProcesses(1);
  RunTurn(0, 150, 100);
  RunUntil([&] { return mProcesses[0]->mLogs.Programs().SpentTokens("p") == 100; });
  const base::TimePoint begin = base::Clock::now();
  RunTurn(0, 150, 100);
  BOOST_TEST(mRefused == 1);
  BOOST_TEST((base::Clock::now() - begin < base::Millis(500)));
}

// Guards against a planned stop that keeps the rest of a budget.
BOOST_FIXTURE_TEST_CASE(ProgramBudgetsStoppingReturnsTheBlocks, ProgramBudgetsFixture)
{
  AddProcesses(2);
  RunTurn(0, 1000, 10);
  bool settled = false;
  const auto stop = [](ProgramBudgets& aBudgets, bool& aSettled) -> boost::asio::awaitable<void> {
    co_await aBudgets.SettleAll(base::Clock::now() + base::Seconds(1));
    aSettled = true;
  };
  Spawn(stop(mProcesses[0]->mBudgets, settled));
  RunUntil([&] { return settled; });
  RunUntil([&] { return mProcesses[1]->mLogs.Programs().UsedTokens("p") == 10; });
  BOOST_TEST(mProcesses[0]->mBudgets.ProgramCount() <= 1U);
}

// Guards against a program that exceeds its budget, whichever gateways its turns come in through,
// while appends lose their answers and gateways crash with blocks that they have not settled. A
// crashed gateway is one that gets no more turns and whose blocks stay.
BOOST_FIXTURE_TEST_CASE(ProgramBudgetsNeverExceedTheBudget, ProgramBudgetsFixture)
{
  constexpr uint64_t kSeed = 20261205;
  constexpr size_t kPrograms = 16;
  constexpr int kSteps = 24;
  AddProcesses(3);
  std::vector<uint64_t> budgets;
  for (size_t i = 0; i < kPrograms; ++i) {
    budgets.push_back(100 + base::MixHash(kSeed, i) % 1400);
  }
  for (int step = 0; step < kSteps; ++step) {
    for (size_t i = 0; i < kPrograms; ++i) {
      const uint64_t draw = base::MixHash(kSeed, kPrograms * static_cast<uint64_t>(step + 1) + i);
      auto& process = *mProcesses[mProcesses.size() - 1 - draw / 17 % 3];
      Spawn(Turn(process.mBudgets,
                 budgets[i],
                 draw / 100 % (kTurnTokens + 1),
                 base::Millis(draw / 7 % 20),
                 "p" + std::to_string(i)));
      mStore.mLostAnswers += draw % 11 == 0 ? 1 : 0;
    }
    mLoop.run_for(base::Millis(base::MixHash(kSeed, step) % 60));
    mLoop.restart();
    if (step % 8 == 7) {
      mProcesses.push_back(std::make_unique<Process>(*this, "n" + std::to_string(step)));
      RunUntil([&] { return mProcesses.back()->mLogs.Loaded(); });
    }
  }
  RunUntil([&] { return Ended() == mTurns; });
  for (size_t i = 0; i < kPrograms; ++i) {
    BOOST_TEST(mTokensSent["p" + std::to_string(i)] <= budgets[i]);
  }
  BOOST_TEST(mGranted > 0);
  BOOST_TEST(mRefused > 0);
}

// Guards against turns that are refused during an outage of the store although their budget was
// reserved before: an idle block must not be given up while nothing can be reserved in its place.
BOOST_FIXTURE_TEST_CASE(ProgramBudgetsIdleBlockServesTurnsWhileTheStoreIsAway,
                        ProgramBudgetsFixture)
{
  AddProcesses(1);
  ProgramBudgets& budgets = mProcesses[0]->mBudgets;
  RunTurn(0, 30 * kTurnTokens, 10);
  mStore.mDown = true;
  const base::TimePoint idle = base::Clock::now() + base::Millis(1500);
  RunUntil([&] { return base::Clock::now() > idle; });
  BOOST_TEST(budgets.HasBlock({ "p", 30 * kTurnTokens, kTurnTokens }));
  RunTurn(0, 30 * kTurnTokens, 10);
  BOOST_TEST(mGranted == 2);
  mStore.mDown = false;
  // Others find the rest again once the store is back.
  RunUntil([&] { return budgets.ProgramCount() == 0; });
}

// Guards against a program that gets its budget again: a gateway that starts finds only the records
// that the store still has, which lack the first turns of a program older than these.
BOOST_FIXTURE_TEST_CASE(ProgramBudgetsOfALongProgramAreKnownAfterTheStoreDroppedItsFirstRecords,
                        ProgramBudgetsFixture)
{
  constexpr uint64_t kBudget = 1000;
  const auto program = [&] {
    return ProgramLogs(mLoop.get_executor(), mStore, 3).For("p").Partition();
  };
  const StreamId stream(StreamName::Programs, program());
  const auto store = [&](programs::ProgramEvent aEvent, base::Seconds aAge) {
    mStore.mStreams[stream].push_back(
      programs::EncodeRecord({ base::TimeOfDay() - aAge, { std::move(aEvent) } }));
  };
  store(programs::AttemptEnded{ "a1", "p", 500 }, base::Seconds(250));
  store(programs::AttemptReserved{ "a2", "p", kBudget, 200 }, base::Seconds(240));
  store(programs::AttemptEnded{ "a3", "p", 60 }, base::Seconds(30));
  AddProcesses(1);
  RunTurn(0, kBudget, 100);
  BOOST_TEST(mGranted == 1);
  RunUntil([&] { return mProcesses[0]->mBudgets.ProgramCount() == 0; });
  mStore.mFirstKept[stream] = 2; // Those of a3 and of the turn are left.
  AddProcesses(1);
  RunUntil([&] { return mProcesses[1]->mLogs.Programs().UsedTokens("p") == 860; });
  RunTurn(1, kBudget, 100);
  RunTurn(1, kBudget, 100);
  BOOST_TEST(mGranted == 2);
  BOOST_TEST(mRefused == 1);
}

}
