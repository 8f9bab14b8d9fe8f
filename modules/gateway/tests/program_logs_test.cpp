#include "program_logs.h"

#include "fake_log_store.h"
#include "loop_fixture.h"
#include "sycamore/programs/record_codec.h"

#include <set>
#include <string>

namespace sycamore::gateway {

struct ProgramLogsFixture : LoopFixture
{
  static constexpr uint32_t kPartitions = 4;
  static constexpr uint64_t kFirst = 2;

  FakeLogStore mStore;
  ProgramLogs mLogs{ mLoop.get_executor(), mStore, kPartitions, kFirst };

  // The id of a program in aPartition.
  std::string ProgramIn(uint32_t aPartition)
  {
    for (int i = 0;; ++i) {
      std::string program = "p" + std::to_string(i);
      if (mLogs.For(program).Partition() == aPartition) {
        return program;
      }
    }
  }

  // A gateway that has read all records appended a turn at aWrittenAt.
  void AppendTurn(uint32_t aPartition,
                  const std::string& aAttempt,
                  const std::string& aPrevious,
                  base::Millis aWrittenAt = base::TimeOfDay())
  {
    const programs::TurnCompleted turn{ aAttempt, ProgramIn(aPartition), aPrevious, 0,
                                        "r",      base::Millis(60000),   0,         5 };
    mStore.mStreams[{ StreamName::Programs, aPartition }].push_back(
      programs::EncodeRecord({ aWrittenAt, { turn } }));
  }
};

// Guards against programs that no gateway serves until all have read everything, after a loss of
// all gateways: each loads one partition after the other, and starts with its own.
BOOST_FIXTURE_TEST_CASE(ProgramLogsServeAPartitionBeforeTheOthersAreLoaded, ProgramLogsFixture)
{
  constexpr int kTurns = 35; // More than three answers of the store hold.
  for (uint32_t partition = 0; partition < kPartitions; ++partition) {
    for (int i = 0; i < kTurns; ++i) {
      AppendTurn(partition, std::to_string(partition) + "-" + std::to_string(i), "");
    }
  }
  mStore.mLatency = base::Millis(10);
  Spawn(mLogs.Run());
  RunUntil([&] { return mLogs.For(ProgramIn(kFirst)).Loaded(); });
  for (const uint32_t other : { 0U, 1U, 3U }) {
    BOOST_TEST(mLogs.For(ProgramIn(other)).NextOffset() == 0U, other);
  }
  BOOST_TEST(!mLogs.Loaded());
  RunUntil([&] { return mLogs.Loaded(); });
  BOOST_TEST(mLogs.AppliedRecords() == uint64_t{ kPartitions * kTurns });
}

// Guards against a false "no such turn" for a program that continues a turn of another one, whose
// records are in another partition.
BOOST_FIXTURE_TEST_CASE(ProgramLogsCatchUpFindsAChainOverPartitions, ProgramLogsFixture)
{
  Spawn(mLogs.Run());
  RunUntil([&] { return mLogs.Loaded(); });
  mStore.mLatency = base::Millis(30);
  AppendTurn(0, "t1", "");
  AppendTurn(1, "t2", "t1");
  bool found = false;
  const auto catchUp =
    [](ProgramLogs& aLogs, std::string aProgram, bool& aFound) -> boost::asio::awaitable<void> {
    co_await aLogs.CatchUpWith(aProgram, "t2", base::Clock::now() + base::Seconds(5));
    const auto chain = aLogs.Programs().Chain("t2");
    aFound = chain && chain->size() == 2;
  };
  Spawn(catchUp(mLogs, ProgramIn(3), found));
  RunUntil([&] { return found; });
}

// Guards against 404 for a turn that is kept, after a freeze or an outage of the store: a turn must
// not expire while records that may continue it have not been read.
BOOST_FIXTURE_TEST_CASE(ProgramLogsTurnDoesNotExpireBeforeLaterRecordsAreRead, ProgramLogsFixture)
{
  // The turn expires within a second, and turns are looked for every five seconds.
  AppendTurn(0, "t1", "", base::TimeOfDay() - base::Seconds(89));
  AppendTurn(0, "lonely", "", base::TimeOfDay() - base::Seconds(89));
  Spawn(mLogs.Run());
  RunUntil([&] { return mLogs.Loaded(); });
  mStore.mDown = true;
  AppendTurn(1, "t2", "t1");
  const base::TimePoint expired = base::Clock::now() + base::Seconds(7);
  RunUntil([&] { return base::Clock::now() > expired; });
  mStore.mDown = false;
  RunUntil([&] { return mLogs.Programs().FindTurn("t2") != nullptr; });
  BOOST_TEST(mLogs.Programs().Chain("t2").has_value());
  RunUntil([&] { return mLogs.Programs().FindTurn("lonely") == nullptr; });
  BOOST_TEST(mLogs.Programs().Chain("t2").has_value());
}

}
