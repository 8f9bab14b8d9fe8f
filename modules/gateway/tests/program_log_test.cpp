#include "program_log.h"

#include "fake_log_store.h"
#include "loop_fixture.h"
#include "sycamore/programs/record_codec.h"

namespace sycamore::gateway {

struct ProgramLogFixture : LoopFixture
{
  FakeLogStore mStore;
  programs::ProgramRegistry mPrograms;
  ProgramLog mLog{ mLoop.get_executor(), mStore, mPrograms };
  int mCaughtUp = 0;
  int mFailed = 0;

  ProgramLogFixture() { Spawn(mLog.Run()); }

  static programs::ProgramEvent CompletedTurn(const std::string& aAttempt)
  {
    return programs::TurnCompleted{ aAttempt, "p", "", 8, "r", base::Millis(60000), 0, 5 };
  }

  // Another process appends.
  void AppendElsewhere(const programs::ProgramEvent& aEvent)
  {
    mStore.mStreams[StreamName::Programs].push_back(
      programs::EncodeRecord({ base::Millis(1), { aEvent } }));
  }

  boost::asio::awaitable<void> CatchUp()
  {
    const auto result = co_await mLog.CatchUp(base::Clock::now() + base::Seconds(10));
    ++(base::IsOk(result) ? mCaughtUp : mFailed);
  }
};

// Guards against a false "no such turn": a turn that was recorded elsewhere before the call must be
// known after it.
BOOST_FIXTURE_TEST_CASE(ProgramLogAfterCatchUpKnowsTurnsOfOthers, ProgramLogFixture)
{
  RunUntil([&] { return mLog.Loaded(); });
  mStore.mLatency = base::Millis(30);
  AppendElsewhere(CompletedTurn("t1"));
  Spawn(CatchUp());
  RunUntil([&] { return mCaughtUp == 1; });
  BOOST_TEST(mLog.Programs().FindTurn("t1") != nullptr);
}

// Guards against a false "no such turn" when more records came than one answer of the store holds,
// as after a freeze of some seconds.
BOOST_FIXTURE_TEST_CASE(ProgramLogFarBehindCatchesUpToTheEnd, ProgramLogFixture)
{
  RunUntil([&] { return mLog.Loaded(); });
  mStore.mLatency = base::Millis(30);
  for (int i = 0; i < 35; ++i) {
    const std::string attempt = "t" + std::to_string(i);
    AppendElsewhere(CompletedTurn(attempt));
  }
  Spawn(CatchUp());
  RunUntil([&] { return mCaughtUp == 1; });
  BOOST_TEST(mLog.Programs().FindTurn("t34") != nullptr);
}

// Guards against one read of the whole history for each waiting call: after a restart of all
// processes, those reads overloaded the store for ten seconds.
BOOST_FIXTURE_TEST_CASE(ProgramLogManyCatchUpsShareFewReads, ProgramLogFixture)
{
  RunUntil([&] { return mLog.Loaded(); });
  mStore.mLatency = base::Millis(50);
  mStore.mReads = 0;
  for (int i = 0; i < 100; ++i) {
    Spawn(CatchUp());
  }
  RunUntil([&] { return mCaughtUp == 100; });
  BOOST_TEST(mStore.mReads <= 8);
}

// Guards against calls that wait while the history is loaded: they can be refused at once.
BOOST_FIXTURE_TEST_CASE(ProgramLogWhileLoadingCatchUpFailsAtOnce, ProgramLogFixture)
{
  mStore.mDown = true;
  Spawn(CatchUp());
  const base::TimePoint begin = base::Clock::now();
  RunUntil([&] { return mFailed == 1; });
  BOOST_TEST((base::Clock::now() - begin < base::Seconds(1)));
}

// A process that starts while the log has a long history.
struct ProgramLogHistoryFixture : LoopFixture
{
  FakeLogStore mStore;
  static constexpr int kReservations = 3000;

  // All attempts belong to one program whose budget fits exactly one reservation at a time.
  ProgramLogHistoryFixture()
  {
    for (int i = 0; i < kReservations; ++i) {
      const std::string attempt = "a" + std::to_string(i);
      const programs::ProgramEvent event =
        i % 2 == 0
          ? programs::ProgramEvent(programs::AttemptReserved{ attempt, "p", 10, 10 })
          : programs::ProgramEvent(programs::AttemptEnded{ "a" + std::to_string(i - 1), "p", 0 });
      mStore.mStreams[StreamName::Programs].push_back(
        programs::EncodeRecord({ base::Millis(1), { event } }));
    }
    mStore.mLatency = base::Millis(5);
  }
};

// Guards against records that are applied out of order, twice or not at all when segments of a long
// history are read concurrently: processes would then grant different reservations.
BOOST_FIXTURE_TEST_CASE(ProgramLogLongHistoryIsLoadedInOrderByConcurrentReaders,
                        ProgramLogHistoryFixture)
{
  programs::ProgramRegistry programs;
  ProgramLog log(mLoop.get_executor(), mStore, programs);
  mStore.mMaxRecordsPerPage = 50;
  Spawn(log.Run());
  const base::TimePoint begin = base::Clock::now();
  RunUntil([&] { return log.Loaded(); });
  const auto took = base::Clock::now() - begin;
  BOOST_TEST(log.NextOffset() == static_cast<uint64_t>(kReservations));
  BOOST_TEST((log.Programs().ReservationOf("p", "a2998") == programs::Reservation::Ended));
  BOOST_TEST(log.Programs().FitsBudget("p", 10, 10));
  // One page after the other takes 60 round trips of 5 ms.
  BOOST_TEST((took < base::Millis(60 * 5)));
}

// Guards against a gap in the history when the store fails in the middle of the load.
BOOST_FIXTURE_TEST_CASE(ProgramLogStoreFailsDuringTheLoadIsLoadedLater, ProgramLogHistoryFixture)
{
  programs::ProgramRegistry programs;
  ProgramLog log(mLoop.get_executor(), mStore, programs);
  Spawn(log.Run());
  RunUntil([&] { return mStore.mReads > 20; });
  mStore.mDown = true;
  const int readsBefore = mStore.mReads;
  RunUntil([&] { return mStore.mReads > readsBefore + 4; });
  BOOST_TEST(!log.Loaded());
  mStore.mDown = false;
  RunUntil([&] { return log.Loaded(); });
  BOOST_TEST(log.NextOffset() == static_cast<uint64_t>(kReservations));
  BOOST_TEST(log.Programs().FitsBudget("p", 10, 10));
}

// Guards against reservations that wait for the pause between two reads, and against a second read
// of the same records beside the one that is under way: with many gateways they took the store's
// bandwidth.
BOOST_FIXTURE_TEST_CASE(ProgramLogWaitingRecordEndsThePauseWithoutASecondRead, LoopFixture)
{
  constexpr uint32_t kPartitions = 100; // The pause is 4 s.
  FakeLogStore store;
  programs::ProgramRegistry programs;
  ProgramLog log(mLoop.get_executor(), store, programs, 0, kPartitions);
  Spawn(log.Run());
  RunUntil([&] { return log.Loaded(); });
  const auto append = [&] {
    store.mStreams[StreamName::Programs].push_back(
      programs::EncodeRecord({ base::Millis(1), { ProgramLogFixture::CompletedTurn("t") } }));
  };
  append();
  RunUntil([&] { return log.NextOffset() == 1; });
  append();
  const int reads = store.mReads;
  bool applied = false;
  const auto wait = [](ProgramLog& aLog, bool& aApplied) -> boost::asio::awaitable<void> {
    aApplied = co_await aLog.WaitApplied(1, base::Clock::now() + base::Seconds(2));
  };
  Spawn(wait(log, applied));
  RunUntil([&] { return log.NextOffset() == 2; });
  BOOST_TEST(store.mReads == reads + 1);
  RunUntil([&] { return applied; });
}

}
