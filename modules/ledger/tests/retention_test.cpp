#include "records.h"
#include "sycamore/ledger/retention.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace sycamore::ledger::testing {

using base::Millis;
using base::TimePoint;

static constexpr Millis kRetention{ 6400 };
static constexpr Millis kTick{ 100 }; // A 64th of the retention period.

struct RetentionFixture
{
  RetentionFixture() { mSettings.mRetention = kRetention; }

  TimePoint At(int aTicks) const { return mStart + aTicks * kTick; }

  RetentionSettings mSettings;
  OffsetAges mAges{ kRetention };
  TimePoint mStart = base::Clock::now();
};

// Guards against offsets that count as young although they may be old, and the reverse.
BOOST_FIXTURE_TEST_CASE(OffsetAgesWithSamplesBoundsAgesFromBothSides, RetentionFixture)
{
  BOOST_TEST(mAges.YoungFrom(kRetention, At(0)) == kNoOffset);
  BOOST_TEST(mAges.OldBelow(Millis(0), At(0)) == 0U);
  for (uint64_t tick = 0; tick <= 200; ++tick) {
    mAges.Observe(1000 + tick, At(static_cast<int>(tick)));
  }
  BOOST_TEST(mAges.YoungFrom(10 * kTick, At(200)) == 1191U);
  BOOST_TEST(mAges.OldBelow(10 * kTick, At(200)) == 1190U);
  BOOST_TEST(mAges.OldBelow(kRetention, At(200)) == 1136U);
  BOOST_TEST(mAges.YoungFrom(10 * kTick, At(300)) == kNoOffset);
}

// Guards against a checkpoint so late that retention has already dropped the previous one.
BOOST_FIXTURE_TEST_CASE(CheckpointDueAtQuarterOfRetentionOrEnoughData, RetentionFixture)
{
  BOOST_TEST(!CheckpointDue(mSettings, { 1, 1, kRetention / 4 - Millis(1) }));
  BOOST_TEST(CheckpointDue(mSettings, { 0, 0, kRetention / 4 }));
  BOOST_TEST(CheckpointDue(mSettings, { mSettings.mCheckpointBatches, 1, Millis(1) }));
  BOOST_TEST(CheckpointDue(mSettings, { 1, mSettings.mCheckpointBytes, Millis(1) }));
}

// Guards against owners that change so often that none of them ever writes a checkpoint.
BOOST_FIXTURE_TEST_CASE(CheckpointDueAtOnceForNewOwner, RetentionFixture)
{
  BOOST_TEST(CheckpointDue(mSettings, { 0, 0, Millis(0), false }));
}

// Guards against ended programs that stay in checkpoints for ever, or that vanish while a caller
// may still ask for their calls.
BOOST_FIXTURE_TEST_CASE(TrimEndedAfterRetentionRemovesProgramAndMarksItExpired, RetentionFixture)
{
  const ProgramId ended{ 3, 0, 1 };
  const ProgramId live{ 3, 0, 2 };
  PartitionState state;
  state.mPartition = 3;
  ApplyBatch(state, 0, ClaimBatch(1, 11));
  ApplyBatch(
    state, 1, With(Batch(1, 11, 1), { Created(ended, 10, 0), Created(live, 10, 0), Ended(ended) }));
  mAges.Observe(2, At(0));

  wire::LogCheckpointT early = MakeCheckpoint(state);
  TrimEnded(mSettings, mAges, At(63), early);
  BOOST_TEST(early.programs.size() == 2U);
  BOOST_TEST((MissingProgramError(state, ended) == base::ErrorKind::UnknownProgram));

  wire::LogCheckpointT late = MakeCheckpoint(state);
  TrimEnded(mSettings, mAges, At(64), late);
  BOOST_TEST(late.programs.size() == 1U);
  ApplyBatch(state, 2, With(Batch(1, 11, 2), { wire::MakeEntry(late) }));
  BOOST_TEST(state.mPrograms.count(ended) == 0U);
  BOOST_TEST(state.mPrograms.count(live) == 1U);
  BOOST_TEST((MissingProgramError(state, ended) == base::ErrorKind::ProgramExpired));
  BOOST_TEST((MissingProgramError(state, { 3, 5, 1 }) == base::ErrorKind::UnknownProgram));
}

// Guards against rewriting all turns in one step.
BOOST_FIXTURE_TEST_CASE(TurnsToRewriteWithByteLimitTakesOldestFirst, RetentionFixture)
{
  const ProgramId program{ 3, 0, 1 };
  PartitionState state;
  state.mPartition = 3;
  ApplyBatch(state, 0, ClaimBatch(1, 11));
  ApplyBatch(state, 1, With(Batch(1, 11, 1), { Created(program, 10, 0) }));
  for (uint32_t seq = 1; seq <= 5; ++seq) {
    ApplyBatch(state, 1 + seq, With(Batch(1, 11, 1 + seq), { Turn(program, seq, 0, 0) }));
  }
  ApplyBatch(state, 7, With(Batch(1, 11, 7), { RewrittenTurn(program, 1) }));
  mAges.Observe(8, At(0));
  const auto bytes = state.mPrograms.at(program).mTurns.at(0).mBytes;
  const auto some = TurnsToRewrite(mSettings, state, mAges, At(0), 2 * bytes);
  BOOST_REQUIRE(some.size() == 2U);
  BOOST_TEST(some.at(0).mTurn.mSeq == 2U);
  BOOST_TEST(some.at(1).mTurn.mSeq == 3U);
  BOOST_TEST(TurnsToRewrite(mSettings, state, mAges, At(0), 1).size() == 1U);
  BOOST_TEST(TurnsToRewrite(mSettings, state, mAges, At(0), 1000000).back().mTurn.mSeq == 1U);
  ApplyBatch(state, 8, With(Batch(1, 11, 8), { Ended(program) }));
  BOOST_TEST(TurnsToRewrite(mSettings, state, mAges, At(0), 1000000).empty());
}

// Simulates successive owners of one stream and records the time of each append.
class RetentionSim
{
public:
  RetentionSim()
  {
    mState.mPartition = 3;
    mSettings.mRetention = kRetention;
  }

  // A new owner claims the partition. It knows the age of no record.
  void Claim()
  {
    Append(ClaimBatch(mState.mEpoch + 1, mState.mEpoch + 100));
    mAges = std::make_unique<OffsetAges>(kRetention);
  }

  // Advances the time by a 64th of the retention period. The owner adds a turn if aAddTurn is true,
  // and rewrites turns.
  void Tick(bool aAddTurn)
  {
    mNow += kTick;
    mAges->Observe(mState.mNextOffset, mNow);
    if (mState.mPrograms.empty()) {
      Append(With(Next(), { Created(mProgram, 10, 0) }));
    }
    if (aAddTurn) {
      Append(With(Next(), { Turn(mProgram, mState.mPrograms.at(mProgram).mNextSeq, 0, 0) }));
    }
    for (const auto& turn : TurnsToRewrite(mSettings, mState, *mAges, mNow, 100)) {
      Append(With(Next(), { RewrittenTurn(turn.mProgram, turn.mTurn.mSeq) }));
    }
  }

  // Whether the log has dropped a text that a live program needs.
  bool LostText() const
  {
    const auto& turns = mState.mPrograms.at(mProgram).mTurns;
    return std::any_of(turns.begin(), turns.end(), [this](const TurnIndex& aTurn) {
      return mNow - mTimes.at(aTurn.mOffset) > kRetention;
    });
  }

private:
  wire::LogBatchT Next() const
  {
    return Batch(mState.mEpoch, mState.mOwnerIncarnation, mState.mLastSequence + 1);
  }

  void Append(const wire::LogBatchT& aBatch)
  {
    mTimes.push_back(mNow);
    RC_ASSERT(ApplyBatch(mState, mState.mNextOffset, aBatch) == Verdict::Applied);
  }

  const ProgramId mProgram{ 3, 0, 1 };
  RetentionSettings mSettings;
  PartitionState mState;
  std::unique_ptr<OffsetAges> mAges;
  std::vector<TimePoint> mTimes; // Of the append of each offset.
  TimePoint mNow = base::Clock::now();
};

// Guards against losing committed texts: retention drops no text of a live program, even if owners
// change often.
BOOST_AUTO_TEST_CASE(TurnsToRewriteUnderChangingOwnersKeepsAllTexts)
{
  BOOST_TEST(rc::check("texts of live programs stay retained", [] {
    RetentionSim sim;
    for (int owners = *rc::gen::inRange(1, 20); owners > 0; --owners) {
      sim.Claim();
      for (int ticks = *rc::gen::inRange(1, 80); ticks > 0; --ticks) {
        sim.Tick(*rc::gen::inRange(0, 4) == 0);
        RC_ASSERT(!sim.LostText());
      }
    }
  }));
}

}
