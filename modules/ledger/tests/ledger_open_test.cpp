#include "ledger_fixture.h"

#include <boost/test/unit_test.hpp>

namespace sycamore::ledger::testing {

static const ProgramId kProgram{ 3, 0, 1 };
static const std::string kStream = "partition-03";

// A stream of one owner: claim (0), program (1), turns 1..5 (2..6), checkpoint (7), turn 6 (8).
struct LedgerOpenFixture
{
  LedgerOpenFixture()
  {
    mState.mPartition = 3;
    Add(ClaimBatch(1, 11));
    Add(With(Next(), { Created(kProgram, 1000, 0) }));
    for (uint32_t seq = 1; seq <= 5; ++seq) {
      Add(With(Next(), { Turn(kProgram, seq, 1, 0) }));
    }
    Add(With(Next(), { wire::MakeEntry(MakeCheckpoint(mState)) }));
    Add(With(Next(), { Turn(kProgram, 6, 1, 0) }));
  }

  wire::LogBatchT Next() const
  {
    wire::LogBatchT batch = Batch(1, 11, mState.mLastSequence + 1);
    batch.checkpoint_offset = mState.mCheckpointOffset;
    return batch;
  }

  void Add(const wire::LogBatchT& aBatch)
  {
    const uint64_t offset = mLog.AppendForeign(kStream, wire::EncodeBatch(aBatch));
    ApplyBatch(mState, offset, aBatch);
  }

  FakeLog mLog;
  PartitionState mState;
};

// Guards against an Open that needs the whole stream: records before the checkpoint are dropped
// here.
BOOST_FIXTURE_TEST_CASE(LedgerOpenWithCheckpointEqualsPlainFold, LedgerOpenFixture)
{
  mLog.Truncate(kStream, 7);
  Owner owner(mLog, 22);
  const PartitionOpened opened = owner.Open();
  BOOST_TEST((*opened.mState == mState));
  BOOST_TEST(!opened.mHistoryLost);
}

// Guards the first start, when nothing was written yet.
BOOST_FIXTURE_TEST_CASE(LedgerOpenOfMissingStreamIsEmpty, LedgerOpenFixture)
{
  FakeLog empty;
  Owner owner(empty, 22);
  const PartitionOpened opened = owner.Open();
  BOOST_TEST(opened.mState->mEpoch == 0U);
  BOOST_TEST(opened.mState->mNextOffset == 0U);
  BOOST_TEST((owner.Claim() == Verdict::Applied));
}

// Guards against a wrong state when the last batch was written by a paused earlier owner and names
// no checkpoint.
BOOST_FIXTURE_TEST_CASE(LedgerOpenAfterBatchOfOldOwnerFindsCheckpoint, LedgerOpenFixture)
{
  Add(ClaimBatch(2, 33));
  Add(With(Batch(1, 11, 20), { Turn(kProgram, 7, 1, 0) }));
  mLog.Truncate(kStream, 7);
  Owner owner(mLog, 22);
  const PartitionOpened opened = owner.Open();
  BOOST_TEST((*opened.mState == mState));
}

// Guards against a state built on missing records when retention dropped the named checkpoint.
BOOST_FIXTURE_TEST_CASE(LedgerOpenWithDroppedCheckpointHasNoProgramsAndKeepsEpoch,
                        LedgerOpenFixture)
{
  Add(ClaimBatch(2, 33));
  mLog.Truncate(kStream, 8);
  Owner owner(mLog, 22);
  const PartitionOpened opened = owner.Open();
  BOOST_TEST(opened.mHistoryLost);
  BOOST_TEST(opened.mState->mPrograms.empty());
  BOOST_TEST(opened.mState->mEpoch == 2U);
  BOOST_TEST(opened.mState->mNextOffset == 10U);
  BOOST_TEST((owner.Claim() == Verdict::Applied));
  BOOST_TEST((ApplyBatch(mState, 10, ClaimBatch(3, 22)) == Verdict::Applied));
}

// Guards against losing programs again at the next takeover after records were lost: the first
// checkpoint of the new owner is found although no batch names it yet.
BOOST_FIXTURE_TEST_CASE(LedgerOpenAfterLostHistoryFindsCheckpointThatNoBatchNames,
                        LedgerOpenFixture)
{
  mLog.Truncate(kStream, 8);
  Owner owner(mLog, 22);
  BOOST_TEST(owner.Open().mHistoryLost);
  BOOST_REQUIRE((owner.Claim() == Verdict::Applied));
  const auto made = owner.Append(wire::MakeEntry(MakeCheckpoint(owner.State())));
  const ProgramId created{ 3, 10, 7 };
  const auto operation = owner.Append(Created(created, 100, 10));
  BOOST_REQUIRE((owner.Await(made.value()) == Verdict::Applied));
  BOOST_REQUIRE((owner.Await(operation.value()) == Verdict::Applied));
  Owner next(mLog, 33);
  const PartitionOpened opened = next.Open();
  BOOST_TEST(!opened.mHistoryLost);
  BOOST_TEST((*opened.mState == owner.State()));
}

// Guards against epochs that restart from a low number when retention dropped every record.
BOOST_FIXTURE_TEST_CASE(LedgerOpenOfEmptiedStreamExceedsAllEpochs, LedgerOpenFixture)
{
  Owner paused(mLog, 11);
  paused.Open();
  BOOST_REQUIRE((paused.Claim() == Verdict::Applied));
  mLog.Truncate(kStream, 10);
  Owner owner(mLog, 22);
  const PartitionOpened opened = owner.Open();
  BOOST_TEST(opened.mHistoryLost);
  BOOST_TEST(opened.mState->mEpoch >= 2U);
  BOOST_TEST((owner.Claim() == Verdict::Applied));

  // The process that still has the earlier state must open the partition again.
  paused.Append(Turn(kProgram, 7, 1, 0));
  BOOST_TEST(paused.AwaitEvent<LogAccessFailed>().mMustReopen);
  BOOST_TEST(!paused.Append(Turn(kProgram, 7, 1, 0)).has_value());
  BOOST_TEST(paused.Log().PendingBytes() == 0U);
}

// Guards against a state that lacks records: an owner paused for longer than the retention period
// must open the partition again.
BOOST_FIXTURE_TEST_CASE(LedgerAfterUnreadRecordsWereDroppedMustReopen, LedgerOpenFixture)
{
  Owner owner(mLog, 22);
  owner.Open();
  BOOST_REQUIRE((owner.Claim() == Verdict::Applied));
  mLog.AppendForeign(kStream, wire::EncodeBatch(ClaimBatch(3, 33)));
  mLog.AppendForeign(kStream, wire::EncodeBatch(Batch(3, 33, 1)));
  mLog.Truncate(kStream, 11);
  owner.Append(Turn(kProgram, 7, 1, 0));
  BOOST_TEST(owner.AwaitEvent<LogAccessFailed>().mMustReopen);
}

// Guards against an Open that gives up while the log is unavailable.
BOOST_FIXTURE_TEST_CASE(LedgerOpenWhileLogIsDownTriesAgain, LedgerOpenFixture)
{
  mLog.SetReadsFail(true);
  Owner owner(mLog, 22);
  owner.Log().Open(3);
  owner.AwaitEvent<LogAccessFailed>();
  owner.AwaitEvent<LogAccessFailed>();
  mLog.SetReadsFail(false);
  BOOST_TEST((*owner.AwaitEvent<PartitionOpened>().mState == mState));
}

// Guards against a record that does not decode and makes the partition unusable.
BOOST_FIXTURE_TEST_CASE(LedgerOpenSkipsRecordsThatAreNoBatch, LedgerOpenFixture)
{
  mLog.AppendForeign(kStream, "no batch");
  Owner owner(mLog, 22);
  const PartitionOpened opened = owner.Open();
  BOOST_TEST(opened.mState->mNextOffset == 10U);
  BOOST_TEST(opened.mState->mPrograms.at(kProgram).mTurns.size() == 6U);
}

// Guards against wrong history texts: they come from the record that the index names, and from no
// other call or program.
BOOST_FIXTURE_TEST_CASE(LedgerReadTurnReturnsTextOfThatCallOnly, LedgerOpenFixture)
{
  Add(With(Next(), { Intent(kProgram, 7, "k") }));
  Add(With(Next(), { Outcome(kProgram, 7, "k", LogOutcomeKind::Answered) }));
  Owner owner(mLog, 22);
  const auto read = [&owner](uint64_t aOffset, const ProgramId& aId, uint32_t aSeq) {
    owner.Log().ReadTurn(3, aOffset, aId, aSeq, 5);
    return owner.AwaitEvent<TurnRead>().mTurn;
  };
  BOOST_TEST(base::ValueOf(read(2, kProgram, 1)).answer == "answer");
  BOOST_TEST(base::ValueOf(read(9, kProgram, 7)).request == "notice");
  BOOST_TEST(base::ValueOf(read(10, kProgram, 7)).answer == "deposited");
  BOOST_TEST(!base::IsOk(read(2, ProgramId{ 3, 0, 2 }, 1)));
  BOOST_TEST(!base::IsOk(read(2, kProgram, 2)));
  mLog.Truncate(kStream, 3);
  BOOST_TEST((base::ErrorOf(read(2, kProgram, 1)).mKind == base::ErrorKind::CallNotFound));
}

}
