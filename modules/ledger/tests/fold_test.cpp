#include "records.h"

#include <boost/test/unit_test.hpp>

namespace sycamore::ledger::testing {

static const ProgramId kProgram{ 3, 0, 1 };
static const ProgramId kChild{ 3, 0, 2 };

// A partition owned by incarnation 11 in epoch 1.
struct FoldFixture
{
  FoldFixture()
  {
    mState.mPartition = 3;
    Fold(ClaimBatch(1, 11));
  }

  Verdict Fold(const wire::LogBatchT& aBatch)
  {
    return ApplyBatch(mState, mState.mNextOffset, aBatch);
  }

  // Folds the owner's next batch with aEntries.
  Verdict FoldNext(std::vector<LogEntryT> aEntries)
  {
    return Fold(With(Batch(1, 11, mState.mLastSequence + 1), std::move(aEntries)));
  }

  // Folds the owner's next batch with aEntries and checks that it is Invalid and changes no
  // program.
  void ExpectInvalid(std::vector<LogEntryT> aEntries)
  {
    const auto before = mState.mPrograms;
    const Verdict verdict = FoldNext(std::move(aEntries));
    BOOST_TEST((verdict == Verdict::Invalid));
    BOOST_TEST((mState.mPrograms == before));
  }

  ProgramState& Program(const ProgramId& aId = kProgram) { return mState.mPrograms.at(aId); }

  PartitionState mState;
};

// Guards the fencing of earlier owners: the batch of a paused owner must not change the history
// after a newer claim.
BOOST_FIXTURE_TEST_CASE(FoldAfterNewerClaimIgnoresOldOwner, FoldFixture)
{
  FoldNext({ Created(kProgram, 100, 10) });
  BOOST_TEST((Fold(ClaimBatch(2, 22)) == Verdict::Applied));
  const auto before = mState.mPrograms;
  BOOST_TEST((Fold(With(Batch(1, 11, 2), { Turn(kProgram, 1, 5, 10) })) == Verdict::NotOwner));
  BOOST_TEST((mState.mPrograms == before));
  BOOST_TEST(mState.mOwner == "entry-22");
}

// Guards against two owners of one epoch.
BOOST_FIXTURE_TEST_CASE(FoldOfTwoClaimsOfOneEpochKeepsFirst, FoldFixture)
{
  BOOST_TEST((Fold(ClaimBatch(2, 22)) == Verdict::Applied));
  BOOST_TEST((Fold(ClaimBatch(2, 33)) == Verdict::NotOwner));
  BOOST_TEST((Fold(Batch(2, 33, 1)) == Verdict::NotOwner));
  BOOST_TEST((Fold(Batch(2, 22, 1)) == Verdict::Applied));
}

// Guards against a claim by a process that has not read the stream.
BOOST_FIXTURE_TEST_CASE(FoldOfClaimThatSkipsAnEpochIsInvalid, FoldFixture)
{
  BOOST_TEST((Fold(ClaimBatch(3, 22)) == Verdict::Invalid));
  BOOST_TEST(mState.mEpoch == 1U);
}

// Guards against applying a repeated append twice.
BOOST_FIXTURE_TEST_CASE(FoldOfLateCopyIsDuplicate, FoldFixture)
{
  const auto batch = With(Batch(1, 11, 1), { Created(kProgram, 100, 10) });
  BOOST_TEST((Fold(batch) == Verdict::Applied));
  FoldNext({ Turn(kProgram, 1, 5, 10) });
  const auto before = mState.mPrograms;
  BOOST_TEST((Fold(batch) == Verdict::Duplicate));
  BOOST_TEST((Fold(ClaimBatch(1, 11)) == Verdict::Duplicate));
  BOOST_TEST((mState.mPrograms == before));
}

// Guards against a batch that overtakes its predecessor.
BOOST_FIXTURE_TEST_CASE(FoldOfBatchThatSkipsASequenceIsInvalid, FoldFixture)
{
  BOOST_TEST((Fold(Batch(1, 11, 2)) == Verdict::Invalid));
  BOOST_TEST((Fold(Batch(1, 11, 1)) == Verdict::Applied));
}

// Guards against a released partition that still accepts its old owner.
BOOST_FIXTURE_TEST_CASE(FoldAfterReleaseIgnoresOwnerUntilNextClaim, FoldFixture)
{
  BOOST_TEST((FoldNext({ Released(1) }) == Verdict::Applied));
  BOOST_TEST(mState.mOwner.empty());
  BOOST_TEST((Fold(Batch(1, 11, 2)) == Verdict::NotOwner));
  BOOST_TEST((Fold(Batch(1, 0, 2)) == Verdict::Invalid));
  BOOST_TEST((Fold(ClaimBatch(1, 11)) == Verdict::NotOwner));
  BOOST_TEST((Fold(ClaimBatch(2, 11)) == Verdict::Applied));
}

// Guards the order of a program's calls: turns are accepted only in the order of their sequence
// numbers.
BOOST_FIXTURE_TEST_CASE(FoldOfTurnOutOfOrderIsInvalid, FoldFixture)
{
  FoldNext({ Created(kProgram, 100, 10) });
  ExpectInvalid({ Turn(kProgram, 2, 1, 0) });
  BOOST_TEST((FoldNext({ Turn(kProgram, 1, 1, 0), Turn(kProgram, 2, 1, 0) }) == Verdict::Applied));
  ExpectInvalid({ Turn(kProgram, 2, 1, 0) });
  BOOST_TEST(Program().mNextSeq == 3U);
  BOOST_TEST(Program().mTurns.size() == 2U);
}

// Guards against partially applied batches.
BOOST_FIXTURE_TEST_CASE(FoldOfInvalidBatchChangesNothing, FoldFixture)
{
  FoldNext({ Created(kProgram, 100, 10), Created(ProgramId{ 3, 0, 9 }, 50, 0) });
  FoldNext({ Turn(kProgram, 1, 1, 10), Intent(kProgram, 2, "k") });
  ExpectInvalid({ Outcome(kProgram, 2, "k", LogOutcomeKind::Answered),
                  SubAgent(kChild, kProgram, 20),
                  RewrittenTurn(kProgram, 1),
                  Turn(kChild, 1, 5, 5),
                  Intent(kProgram, 3, "l"),
                  Ended(kProgram),
                  Turn(kProgram, 4, 1, 1) });
}

// Guards the token budget: no record may raise spent plus reserved tokens above the root's budget.
BOOST_FIXTURE_TEST_CASE(FoldAboveBudgetIsInvalid, FoldFixture)
{
  ExpectInvalid({ Created(kProgram, 100, 101) });
  FoldNext({ Created(kProgram, 100, 60), SubAgent(kChild, kProgram, 40) });
  BOOST_TEST(FreeTokens(mState, kProgram) == 0U);
  BOOST_TEST((BudgetRoot(mState, kChild) == kProgram));
  ExpectInvalid({ Reserved(kProgram, 61) });
  ExpectInvalid({ Turn(kChild, 1, 30, 11) });
  ExpectInvalid({ Turn(kChild, 1, ~uint64_t{ 0 }, 2) });
  BOOST_TEST((FoldNext({ Turn(kChild, 1, 30, 10) }) == Verdict::Applied));
  BOOST_TEST(Program().mSpentTokens == 30U);
  BOOST_TEST((FoldNext({ Turn(kProgram, 1, 20, 0) }) == Verdict::Applied));
  BOOST_TEST(FreeTokens(mState, kProgram) == 40U);
}

// Guards the token budget: calls in flight when a sub-agent ends may still use its reservation.
BOOST_FIXTURE_TEST_CASE(FoldOfSubAgentEndCountsReservationAsSpent, FoldFixture)
{
  FoldNext({ Created(kProgram, 100, 0), SubAgent(kChild, kProgram, 40) });
  BOOST_TEST((FoldNext({ Ended(kChild) }) == Verdict::Applied));
  BOOST_TEST(FreeTokens(mState, kProgram) == 60U);
  BOOST_TEST(Program().mSpentTokens == 40U);
}

// Guards against sub-agents that outlive the program whose budget they use.
BOOST_FIXTURE_TEST_CASE(FoldOfEndEndsSubAgents, FoldFixture)
{
  const ProgramId grandchild{ 3, 0, 5 };
  FoldNext({ Created(kProgram, 100, 0), SubAgent(kChild, kProgram, 1) });
  FoldNext({ SubAgent(grandchild, kChild, 1) });
  FoldNext({ Ended(kProgram) });
  BOOST_TEST(Program(kChild).mEnded);
  BOOST_TEST(Program(grandchild).mEnded);
  BOOST_TEST(Program(grandchild).mEndReason == "parent");
  BOOST_TEST(Program().mEndReason == "caller");
  BOOST_TEST(Program().mChildren.empty());
}

// Guards at-most-once execution of non-idempotent calls: a second intent for a key would allow a
// second execution.
BOOST_FIXTURE_TEST_CASE(FoldOfSecondIntentForKeyIsInvalid, FoldFixture)
{
  FoldNext({ Created(kProgram, 100, 0) });
  FoldNext({ Intent(kProgram, 1, "k") });
  const uint64_t offset = Program().mKeys.at("k").mIntentOffset;
  ExpectInvalid({ Intent(kProgram, 1, "k") });
  FoldNext({ Outcome(kProgram, 1, "k", LogOutcomeKind::NotRun) });
  ExpectInvalid({ Intent(kProgram, 2, "k") });
  BOOST_TEST(Program().mKeys.at("k").mIntentOffset == offset);
}

// Guards the order of a program's calls: a call with an intent and no outcome blocks later calls.
BOOST_FIXTURE_TEST_CASE(FoldWhileIntentIsOpenRefusesOtherCalls, FoldFixture)
{
  FoldNext({ Created(kProgram, 100, 0) });
  FoldNext({ Intent(kProgram, 1, "k") });
  ExpectInvalid({ Turn(kProgram, 1, 0, 0) });
  ExpectInvalid({ Intent(kProgram, 1, "l") });
  ExpectInvalid({ Turn(kProgram, 2, 0, 0) });
}

// Guards against a program that cannot continue after a call whose outcome is Unknown or NotRun.
BOOST_FIXTURE_TEST_CASE(FoldOfAnyOutcomeAdvancesSequence, FoldFixture)
{
  FoldNext({ Created(kProgram, 100, 0) });
  uint32_t seq = 1;
  for (const auto kind :
       { LogOutcomeKind::Answered, LogOutcomeKind::NotRun, LogOutcomeKind::Unknown }) {
    const std::string key = "k" + std::to_string(seq);
    FoldNext({ Intent(kProgram, seq, key) });
    BOOST_TEST((FoldNext({ Outcome(kProgram, seq, key, kind) }) == Verdict::Applied));
    BOOST_TEST(Program().mNextSeq == ++seq);
  }
  BOOST_TEST(Program().mTurns.size() == 1U);
  BOOST_TEST((FoldNext({ Turn(kProgram, 4, 0, 0) }) == Verdict::Applied));
}

// Guards the finality of outcomes and at-most-once execution: an Answered or NotRun outcome never
// changes, an Unknown one may.
BOOST_FIXTURE_TEST_CASE(FoldOfOutcomeRefinesUnknownOnly, FoldFixture)
{
  FoldNext({ Created(kProgram, 100, 0) });
  FoldNext({ Intent(kProgram, 1, "k") });
  FoldNext({ Outcome(kProgram, 1, "k", LogOutcomeKind::Unknown), Turn(kProgram, 2, 0, 0) });
  BOOST_TEST(
    (FoldNext({ Outcome(kProgram, 1, "k", LogOutcomeKind::Answered) }) == Verdict::Applied));
  BOOST_TEST(Program().mNextSeq == 3U);
  BOOST_REQUIRE(Program().mTurns.size() == 2U);
  BOOST_TEST(Program().mTurns.at(0).mKey == "k");
  BOOST_TEST(Program().mTurns.at(1).mSeq == 2U);
  ExpectInvalid({ Outcome(kProgram, 1, "k", LogOutcomeKind::NotRun) });
  ExpectInvalid({ Outcome(kProgram, 1, "k", LogOutcomeKind::Unknown) });
  ExpectInvalid({ Outcome(kProgram, 2, "other", LogOutcomeKind::Unknown) });
}

// Guards against new calls of ended programs, and against losing the outcome of a call in flight at
// the end.
BOOST_FIXTURE_TEST_CASE(FoldAfterEndAcceptsOutcomesOnly, FoldFixture)
{
  FoldNext({ Created(kProgram, 100, 0) });
  FoldNext({ Intent(kProgram, 1, "k") });
  FoldNext({ Ended(kProgram) });
  ExpectInvalid({ Turn(kProgram, 1, 0, 0) });
  ExpectInvalid({ Reserved(kProgram, 1) });
  ExpectInvalid({ Intent(kProgram, 2, "l") });
  ExpectInvalid({ SubAgent(kChild, kProgram, 0) });
  BOOST_TEST(
    (FoldNext({ Outcome(kProgram, 1, "k", LogOutcomeKind::Answered) }) == Verdict::Applied));
  BOOST_TEST((Program().mKeys.at("k").mOutcome == LogOutcomeKind::Answered));
  const auto before = mState.mPrograms;
  BOOST_TEST((FoldNext({ Outcome(kProgram, 1, "k", LogOutcomeKind::NotRun),
                         Ended(kProgram),
                         RewrittenTurn(kProgram, 1) }) == Verdict::Applied));
  BOOST_TEST((mState.mPrograms == before));
}

// Guards against losing committed texts: the index must point to the rewritten copy before
// retention drops the original.
BOOST_FIXTURE_TEST_CASE(FoldOfRewrittenTurnMovesItsOffsetOnly, FoldFixture)
{
  FoldNext({ Created(kProgram, 100, 0) });
  FoldNext({ Turn(kProgram, 1, 3, 0), Turn(kProgram, 2, 3, 0) });
  ProgramState expected = Program();
  expected.mTurns.at(0).mOffset = mState.mNextOffset;
  BOOST_TEST((FoldNext({ RewrittenTurn(kProgram, 1) }) == Verdict::Applied));
  BOOST_TEST((Program() == expected));
  ExpectInvalid({ RewrittenTurn(kProgram, 3) });
}

// Guards against history that depends on where a reader starts: a state restored from a checkpoint
// equals the folded one, also after later batches.
BOOST_FIXTURE_TEST_CASE(FoldOfCheckpointDropsEndedProgramsItLeavesOut, FoldFixture)
{
  const ProgramId live{ 3, 0, 7 };
  FoldNext({ Created(kProgram, 100, 0), Created(live, 50, 20) });
  FoldNext({ SubAgent(kChild, live, 5), Intent(kProgram, 1, "k"), Ended(kProgram) });
  wire::LogCheckpointT checkpoint = MakeCheckpoint(mState);
  std::erase_if(checkpoint.programs,
                [](const auto& aProgram) { return aProgram->created->program->random == 1; });
  PartitionState restored = RestoreCheckpoint(3, checkpoint);
  const uint64_t offset = mState.mNextOffset;
  const auto batch =
    With(Batch(1, 11, mState.mLastSequence + 1),
         { Outcome(kProgram, 1, "k", LogOutcomeKind::Unknown), wire::MakeEntry(checkpoint) });
  BOOST_TEST((Fold(batch) == Verdict::Applied));
  BOOST_TEST((ApplyBatch(restored, offset, batch) == Verdict::Applied));
  BOOST_TEST((mState == restored));
  BOOST_TEST(mState.mPrograms.count(kProgram) == 0U);
  BOOST_TEST(mState.mPrograms.count(kChild) == 1U);
  BOOST_TEST(mState.mCheckpointOffset == offset);
}

}
