#include "sycamore/sidecar/memory_tracker.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <rapidcheck.h>
#include <vector>

namespace sycamore::sidecar {

using base::Millis;
using base::ProgramId;
using base::Seconds;
using base::TimePoint;

static constexpr Millis kLease{ 60000 };
static constexpr Millis kPoll{ 500 };

static ProgramId
Program(uint64_t aNumber)
{
  return { 1, 0, aNumber };
}

// Simulates two engines and their caches, managed by a tracker that is polled every kPoll.
class MemoryModel
{
public:
  // Extends the time until which the program may stay cached to at least aFor from now.
  void Allow(uint64_t aProgram, Millis aFor)
  {
    const TimePoint until = mEnded.contains(aProgram) ? mNow : mNow + aFor;
    mAllowed[aProgram] = std::max(mAllowed[aProgram], until);
  }

  void Call(size_t aTarget, uint64_t aProgram)
  {
    mTracker.CallStarted(aTarget, Program(aProgram), mNow);
    mCaches[aTarget].insert(aProgram);
    mTracker.CallFinished(aTarget, Program(aProgram), 100, mNow);
    Allow(aProgram, kLease);
  }

  void Hold(uint64_t aProgram, Millis aLease)
  {
    mTracker.Held(Program(aProgram), aLease, mNow);
    if (!mEnded.contains(aProgram)) {
      mAllowed[aProgram] = mNow + aLease;
    }
  }

  void End(uint64_t aProgram)
  {
    mTracker.Ended(Program(aProgram), 7, mNow);
    mEnded.insert(aProgram);
    mAllowed[aProgram] = mNow;
  }

  void List(size_t aTarget)
  {
    std::vector<CachedProgram> list;
    for (const uint64_t program : mCaches[aTarget]) {
      list.push_back({ Program(program), 100 });
    }
    mTracker.Listed(aTarget, list, mNow, mNow);
  }

  // One poll; engines that are up confirm releases at once.
  void Poll()
  {
    mNow += kPoll;
    MemoryActions actions = mTracker.Poll(mNow);
    for (const auto& release : actions.mReleases) {
      if (mDown.contains(release.mTarget)) {
        mTracker.ReleaseFailed(release.mTarget, release.mProgram, mNow);
      } else {
        mCaches[release.mTarget].erase(release.mProgram.mRandom);
        mTracker.Released(release.mTarget, release.mProgram, mNow);
      }
    }
    for (const auto& ack : actions.mAcks) {
      mAcked.insert(ack.mProgram.mRandom);
      RC_ASSERT(!mCaches[0].contains(ack.mProgram.mRandom));
      RC_ASSERT(!mCaches[1].contains(ack.mProgram.mRandom));
    }
  }

  // Checks that no engine that is up caches a program more than aSlack past its allowed time.
  void CheckNothingOverdue(Millis aSlack)
  {
    for (const auto& [target, cache] : mCaches) {
      for (const uint64_t program : cache) {
        RC_ASSERT(mDown.contains(target) || mNow <= mAllowed[program] + aSlack);
      }
    }
  }

  MemoryTracker mTracker{ { 0, 1 }, MemoryRules{} };
  TimePoint mNow = TimePoint() + Seconds(1000);
  std::map<size_t, std::set<uint64_t>> mCaches{ { 0, {} }, { 1, {} } };
  std::set<size_t> mDown;
  std::set<uint64_t> mEnded;
  std::set<uint64_t> mAcked;
  std::map<uint64_t, TimePoint> mAllowed;
};

struct MemoryTrackerFixture
{
  MemoryModel mModel;
};

// Guards against memory that is never released: no program stays cached longer than its lease plus
// one poll, in any order of calls, holds, ends and lists.
BOOST_FIXTURE_TEST_CASE(MemoryTrackerInAnyInterleavingHoldsNothingPastLeaseAndPoll,
                        MemoryTrackerFixture)
{
  const bool holds = rc::check([] {
    MemoryModel model;
    for (int step = 0; step < 300; ++step) {
      const auto program = *rc::gen::inRange<uint64_t>(1, 6);
      switch (*rc::gen::inRange(0, 8)) {
        case 0:
          model.Call(*rc::gen::inRange<size_t>(0, 2), program);
          break;
        case 1:
          model.Hold(program, Millis(*rc::gen::inRange(1000, 60000)));
          break;
        case 2:
          model.End(program + 100 * *rc::gen::inRange<uint64_t>(0, 2));
          break;
        case 3:
          model.List(*rc::gen::inRange<size_t>(0, 2));
          break;
        default:
          model.Poll();
          model.CheckNothingOverdue(kPoll);
          break;
      }
    }
  });
  BOOST_TEST(holds);
}

// Guards against giving up a release while an engine is unreachable, and against acks before all
// engines have confirmed.
BOOST_FIXTURE_TEST_CASE(MemoryTrackerAfterEngineOutageReleasesAndAcks, MemoryTrackerFixture)
{
  mModel.Call(0, 1);
  mModel.Call(1, 1);
  mModel.mDown.insert(1);
  mModel.End(1);
  for (int poll = 0; poll < 1000; ++poll) {
    mModel.Poll();
  }
  BOOST_TEST(mModel.mCaches[0].empty());
  BOOST_TEST(mModel.mAcked.empty());
  mModel.mDown.clear();
  for (int poll = 0; poll < 4; ++poll) {
    mModel.Poll();
  }
  BOOST_TEST(mModel.mCaches[1].empty());
  BOOST_TEST(mModel.mAcked.contains(1));
  BOOST_TEST(mModel.mTracker.Programs() == 0U);
}

// Guards against programs that stay cached because the sidecar that tracked them was replaced.
BOOST_FIXTURE_TEST_CASE(MemoryTrackerAdoptingAListReleasesWhatNobodyHolds, MemoryTrackerFixture)
{
  mModel.mCaches[0] = { 1, 2 };
  mModel.List(0);
  BOOST_TEST(mModel.mTracker.Adopted() == 2U);
  for (int poll = 0; poll < 119; ++poll) {
    mModel.Poll();
    mModel.Hold(2, kLease);
  }
  BOOST_TEST(mModel.mCaches[0].size() == 2U);
  mModel.Poll();
  mModel.Poll();
  BOOST_TEST((mModel.mCaches[0] == std::set<uint64_t>{ 2 }));
}

// Guards against an ended program that gets a new lease through a late call or a late list.
BOOST_FIXTURE_TEST_CASE(MemoryTrackerWhenEndedProgramReappearsReleasesAtNextPoll,
                        MemoryTrackerFixture)
{
  mModel.End(1);
  mModel.Poll();
  mModel.Poll();
  BOOST_TEST(mModel.mTracker.Programs() == 0U);
  mModel.mCaches[0] = { 1 };
  mModel.List(0);
  mModel.Poll();
  BOOST_TEST(mModel.mCaches[0].empty());
}

// Guards against releasing a program on an engine that runs a call of it.
BOOST_FIXTURE_TEST_CASE(MemoryTrackerWhileCallRunsReleasesNothing, MemoryTrackerFixture)
{
  mModel.mTracker.CallStarted(0, Program(1), mModel.mNow);
  mModel.mTracker.Ended(Program(1), 7, mModel.mNow);
  for (const auto& release : mModel.mTracker.Poll(mModel.mNow).mReleases) {
    BOOST_TEST(release.mTarget == 1U);
  }
  mModel.mTracker.CallFinished(0, Program(1), 10, mModel.mNow);
  const auto releases = mModel.mTracker.Poll(mModel.mNow).mReleases;
  BOOST_REQUIRE(releases.size() == 1U);
  BOOST_TEST(releases[0].mTarget == 0U);
}

// Guards against owners that are not notified when the engine evicts a prefix.
BOOST_FIXTURE_TEST_CASE(MemoryTrackerWhenListLacksPrefixReportsItEvicted, MemoryTrackerFixture)
{
  mModel.Call(0, 1);
  BOOST_TEST(mModel.mTracker.HasPrefix(0, Program(1)));
  mModel.mCaches[0].clear();
  mModel.mNow += Millis(1);
  mModel.List(0);
  const auto actions = mModel.mTracker.Poll(mModel.mNow);
  BOOST_REQUIRE(actions.mEvicted.size() == 1U);
  BOOST_TEST((actions.mEvicted[0].mProgram == Program(1)));
  BOOST_TEST(!mModel.mTracker.HasPrefix(0, Program(1)));
}

// Guards against treating a prefix as evicted because of a list that was requested before the call
// that cached it.
BOOST_FIXTURE_TEST_CASE(MemoryTrackerWhenListIsOlderThanCallKeepsPrefix, MemoryTrackerFixture)
{
  const TimePoint requested = mModel.mNow;
  mModel.mNow += Millis(1);
  mModel.Call(0, 1);
  mModel.mTracker.Listed(0, {}, requested, mModel.mNow);
  BOOST_TEST(mModel.mTracker.HasPrefix(0, Program(1)));
}

}
