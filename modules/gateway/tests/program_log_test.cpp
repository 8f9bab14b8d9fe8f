#include "program_log.h"

#include "fake_log_store.h"
#include "loop_fixture.h"
#include "sycamore/programs/record_codec.h"

namespace sycamore::gateway {

struct ProgramLogFixture : LoopFixture
{
  FakeLogStore mStore;
  ProgramLog mLog{ mLoop.get_executor(), mStore };
  int mCaughtUp = 0;
  int mFailed = 0;

  ProgramLogFixture() { Spawn(mLog.Run()); }

  // Another process appends.
  void AppendElsewhere(const programs::ProgramEvent& aEvent)
  {
    mStore.mStreams[StreamName::Programs].push_back(
      programs::EncodeRecord({ base::Millis(1), aEvent }));
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
  AppendElsewhere(
    programs::TurnCompleted{ "t1", "p", "", "in", "out\n", 8, "r", base::Millis(60000) });
  Spawn(CatchUp());
  RunUntil([&] { return mCaughtUp == 1; });
  BOOST_TEST(mLog.Book().FindTurn("t1") != nullptr);
}

// Guards against a false "no such turn" when more records came than one answer of the store holds,
// as after a freeze of some seconds.
BOOST_FIXTURE_TEST_CASE(ProgramLogFarBehindCatchesUpToTheEnd, ProgramLogFixture)
{
  RunUntil([&] { return mLog.Loaded(); });
  mStore.mLatency = base::Millis(30);
  for (int i = 0; i < 35; ++i) {
    const std::string attempt = "t" + std::to_string(i);
    AppendElsewhere(
      programs::TurnCompleted{ attempt, "p", "", "in", "out\n", 8, "r", base::Millis(60000) });
  }
  Spawn(CatchUp());
  RunUntil([&] { return mCaughtUp == 1; });
  BOOST_TEST(mLog.Book().FindTurn("t34") != nullptr);
}

// Guards against one read of the whole history for each waiting call: after a restart of all
// processes that kept the store busy for ten seconds.
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

}
