#include "ledger_fixture.h"

#include <boost/test/unit_test.hpp>
#include <thread>

namespace sycamore::ledger::testing {

static const ProgramId kProgram{ 3, 0, 1 };
static const std::string kStream = "partition-03";

struct LedgerFixture
{
  // The fold of the whole stream, regardless of who wrote it.
  PartitionState FoldAll() const
  {
    PartitionState state;
    state.mPartition = 3;
    const auto records = mLog.Records(kStream);
    for (size_t offset = 0; offset < records.size(); ++offset) {
      ApplyBatch(state, offset, base::ValueOf(wire::DecodeBatch(records[offset])));
    }
    return state;
  }

  // Claims the partition and creates a program with a large budget.
  static void Start(Owner& aOwner)
  {
    aOwner.Open();
    BOOST_REQUIRE((aOwner.Claim() == Verdict::Applied));
    const auto operation = aOwner.Append(Created(kProgram, 1000000, 0));
    BOOST_REQUIRE((aOwner.Await(operation.value()) == Verdict::Applied));
  }

  // Appends one turn under aFaults and checks that it is in the fold exactly once.
  void OneTurnUnder(std::vector<AppendFault> aFaults)
  {
    Owner owner(mLog, 11);
    Start(owner);
    mLog.PlanAppends(std::move(aFaults));
    const auto operation = owner.Append(Turn(kProgram, 1, 7, 0));
    BOOST_TEST((owner.Await(operation.value()) == Verdict::Applied));
    mLog.DeliverLate();
    const auto second = owner.Append(Turn(kProgram, 2, 7, 0));
    BOOST_TEST((owner.Await(second.value()) == Verdict::Applied));
    BOOST_TEST(owner.State().mPrograms.at(kProgram).mSpentTokens == 14U);
    BOOST_TEST((owner.State() == FoldAll()));
    BOOST_TEST(owner.Log().PendingBytes() == 0U);
  }

  FakeLog mLog;
};

// Guards against needless reads: an append at the expected offset needs no read-back.
BOOST_FIXTURE_TEST_CASE(LedgerOnHealthyLogAppendsWithoutReading, LedgerFixture)
{
  Owner owner(mLog, 11);
  Start(owner);
  const uint64_t reads = mLog.Reads();
  const auto operation = owner.Append(Turn(kProgram, 1, 7, 0));
  BOOST_TEST((owner.Await(operation.value()) == Verdict::Applied));
  BOOST_TEST(mLog.Reads() == reads);
  BOOST_TEST((owner.State() == FoldAll()));
}

// Guards against lost or duplicate turns when the log refuses appends.
BOOST_FIXTURE_TEST_CASE(LedgerAfterRefusedAppendsCommitsOnce, LedgerFixture)
{
  OneTurnUnder({ AppendFault::Refused, AppendFault::Refused, AppendFault::Refused });
}

// Guards against losing a turn when the reply to its append was lost.
BOOST_FIXTURE_TEST_CASE(LedgerAfterLostAnswerWithoutEffectCommitsOnce, LedgerFixture)
{
  OneTurnUnder({ AppendFault::LostNoEffect, AppendFault::LostNoEffect });
}

// Guards against a second append of a batch that is in the log.
BOOST_FIXTURE_TEST_CASE(LedgerAfterLostAnswerWithEffectCommitsOnce, LedgerFixture)
{
  OneTurnUnder({ AppendFault::LostEffect });
  BOOST_TEST(mLog.Records(kStream).size() == 4U);
}

// Guards against applying a turn twice when its first append takes effect after the repeated one.
BOOST_FIXTURE_TEST_CASE(LedgerAfterLateDuplicateCommitsOnce, LedgerFixture)
{
  OneTurnUnder({ AppendFault::LostEffectLate });
  BOOST_TEST(mLog.Records(kStream).size() == 5U);
}

// Guards against repeating an append before it was read back while reads fail.
BOOST_FIXTURE_TEST_CASE(LedgerWhileReadBackFailsDoesNotAppendAgain, LedgerFixture)
{
  Owner owner(mLog, 11);
  Start(owner);
  mLog.PlanAppends({ AppendFault::LostEffect });
  mLog.SetReadsFail(true);
  const uint64_t sent = owner.Log().AppendsSent();
  const auto operation = owner.Append(Turn(kProgram, 1, 7, 0));
  for (int i = 0; i < 5; ++i) {
    owner.AwaitEvent<LogAccessFailed>();
  }
  BOOST_TEST(owner.Log().AppendsSent() == sent + 1);
  mLog.SetReadsFail(false);
  BOOST_TEST((owner.Await(operation.value()) == Verdict::Applied));
  BOOST_TEST(owner.Log().AppendsSent() == sent + 1);
}

// Guards against a replaced owner that keeps writing: a paused owner learns of the newer claim when
// it reads back its own batch.
BOOST_FIXTURE_TEST_CASE(LedgerOfPausedOwnerReportsNewerClaimBeforeItsBatch, LedgerFixture)
{
  Owner paused(mLog, 11);
  Start(paused);
  Owner next(mLog, 22);
  next.Open();
  BOOST_REQUIRE((next.Claim() == Verdict::Applied));
  const auto own = next.Append(Turn(kProgram, 1, 5, 0));
  BOOST_REQUIRE((next.Await(own.value()) == Verdict::Applied));

  const auto stale = paused.Append(Turn(kProgram, 1, 9, 0));
  BOOST_TEST((paused.Await(stale.value()) == Verdict::NotOwner));
  BOOST_TEST(paused.State().mOwnerIncarnation == 22U);
  BOOST_TEST(!paused.Append(Turn(kProgram, 2, 9, 0)).has_value());
  paused.Log().Abandon(3);
  BOOST_TEST(paused.Log().PendingBytes() == 0U);
  BOOST_TEST((paused.State() == FoldAll()));
}

// Guards against two winners of concurrent claims.
BOOST_FIXTURE_TEST_CASE(LedgerOfTwoClaimantsHasOneWinner, LedgerFixture)
{
  Owner left(mLog, 11);
  Owner right(mLog, 22);
  left.Open();
  right.Open();
  mLog.PlanAppends({ AppendFault::LostEffect });
  const Verdict first = left.Claim();
  const Verdict second = right.Claim();
  BOOST_TEST((first == Verdict::Applied));
  BOOST_TEST((second == Verdict::NotOwner));
}

// Guards against a replaced owner that keeps writing: after the reply to an append was lost, the
// owner finds the newer claim when it reads back.
BOOST_FIXTURE_TEST_CASE(LedgerAfterLostAnswerAndNewerClaimStopsAppending, LedgerFixture)
{
  Owner owner(mLog, 11);
  Start(owner);
  mLog.PlanAppends({ AppendFault::LostNoEffect });
  mLog.SetReadsFail(true);
  owner.Append(Turn(kProgram, 1, 7, 0));
  owner.AwaitEvent<LogAccessFailed>();
  mLog.AppendForeign(kStream, wire::EncodeBatch(ClaimBatch(2, 22)));
  const uint64_t sent = owner.Log().AppendsSent();
  mLog.SetReadsFail(false);
  while (owner.State().mEpoch != 2) {
    owner.AwaitEvent<BatchRead>();
  }
  while (owner.Log().PendingBytes() > 0) {
    std::this_thread::yield();
  }
  BOOST_TEST(owner.Log().AppendsSent() == sent);
  BOOST_TEST((owner.State() == FoldAll()));
}

// Guards against unbounded memory use while the log is unavailable.
BOOST_FIXTURE_TEST_CASE(LedgerWhileLogIsDownBoundsPendingBytes, LedgerFixture)
{
  Owner owner(mLog, 11, 2000);
  Start(owner);
  mLog.SetAppendsFail(true);
  std::vector<uint64_t> operations;
  for (uint32_t seq = 1; seq <= 100; ++seq) {
    const auto operation = owner.Append(Turn(kProgram, seq, 1, 0));
    if (!operation) {
      break;
    }
    operations.push_back(*operation);
  }
  BOOST_TEST(operations.size() < 20U);
  BOOST_TEST(owner.Log().PendingBytes() <= 2000U);
  mLog.SetAppendsFail(false);
  for (const uint64_t operation : operations) {
    BOOST_TEST((owner.Await(operation) == Verdict::Applied));
  }
}

// Guards the group commit: many entries share a batch.
BOOST_FIXTURE_TEST_CASE(LedgerWithinWindowSharesBatch, LedgerFixture)
{
  Owner owner(mLog, 11);
  owner.Log().SetLivePartitions(30); // A window of 100 ms.
  Start(owner);
  const uint64_t sent = owner.Log().AppendsSent();
  std::optional<uint64_t> last;
  for (uint32_t seq = 1; seq <= 100; ++seq) {
    last = owner.Append(Turn(kProgram, seq, 1, 0));
  }
  BOOST_TEST((owner.Await(last.value()) == Verdict::Applied));
  BOOST_TEST(owner.Log().AppendsSent() <= sent + 3);
}

// Guards against losing events while the sink refuses them because the receiver's queue is full.
BOOST_FIXTURE_TEST_CASE(LedgerWhileSinkIsFullOffersEventsAgain, LedgerFixture)
{
  Owner owner(mLog, 11);
  Start(owner);
  owner.SetSinkFull(true);
  const auto operation = owner.Append(Turn(kProgram, 1, 7, 0));
  std::this_thread::sleep_for(base::Millis(20));
  owner.SetSinkFull(false);
  BOOST_TEST((owner.Await(operation.value()) == Verdict::Applied));
}

// Guards against a Stop that hangs while the sink refuses events or the log is unavailable.
BOOST_FIXTURE_TEST_CASE(LedgerWithFullSinkAndLogDownStops, LedgerFixture)
{
  Owner owner(mLog, 11);
  Start(owner);
  owner.SetSinkFull(true);
  mLog.SetAppendsFail(true);
  owner.Append(Turn(kProgram, 1, 7, 0));
  owner.Log().ReadTurn(3, 0, kProgram, 1, 5);
  owner.Log().Stop();
  BOOST_TEST(!owner.Append(Turn(kProgram, 2, 7, 0)).has_value());
}

// Guards against losing acknowledged turns under random faults, while two owners repeatedly take
// the partition over from each other.
BOOST_FIXTURE_TEST_CASE(LedgerUnderRandomFaultsKeepsAcknowledgedTurns, LedgerFixture)
{
  uint32_t random = 12345; // Fixed seed; the interleaving of the threads still varies.
  const auto next = [&random] { return (random = random * 1664525U + 1013904223U) >> 16U; };
  std::vector<AppendFault> faults;
  for (int i = 0; i < 400; ++i) {
    faults.push_back(next() % 3 == 0 ? static_cast<AppendFault>(next() % 5) : AppendFault::None);
  }
  Owner owners[] = { { mLog, 11 }, { mLog, 22 } };
  Start(owners[0]);
  mLog.PlanAppends(faults);
  uint32_t acknowledged = 0;
  for (int round = 0; round < 20; ++round) {
    Owner& owner = owners[round % 2];
    owner.Open();
    if (owner.Claim() != Verdict::Applied) {
      continue;
    }
    for (int turn = 0; turn < 10; ++turn) {
      const uint32_t seq = owner.State().mPrograms.at(kProgram).mNextSeq;
      BOOST_REQUIRE(seq == acknowledged + 1);
      const auto operation = owner.Append(Turn(kProgram, seq, 1, 0));
      BOOST_REQUIRE((owner.Await(operation.value()) == Verdict::Applied));
      ++acknowledged;
    }
    mLog.DeliverLate();
  }
  BOOST_TEST(acknowledged > 0U);
  BOOST_TEST(FoldAll().mPrograms.at(kProgram).mTurns.size() == acknowledged);
}

}
