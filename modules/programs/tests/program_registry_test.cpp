#include "sycamore/programs/program_registry.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <numeric>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>
#include <vector>

namespace sycamore::programs {

struct ProgramRegistryFixture
{
  ProgramRegistry mRegistry;
  base::Millis mNow{ 1000000 };

  void Apply(ProgramEvent aEvent) { mRegistry.Apply({ mNow, { std::move(aEvent) } }); }

  void Complete(const std::string& aAttempt, const std::string& aPrevious)
  {
    Apply(TurnCompleted{ aAttempt,
                         "p",
                         aPrevious,
                         8,
                         "replica-1",
                         base::Millis(60000),
                         kTextSearchStart,
                         kTextBytes });
  }

  static constexpr uint64_t kTextSearchStart = 40;
  static constexpr uint32_t kTextBytes = 500;
};

using Attempts = std::vector<std::string>;

// Guards against prompts that differ from what the replica was given before: a wrong byte makes the
// engine continue another conversation.
BOOST_FIXTURE_TEST_CASE(ProgramRegistryChainOfTurnsIsInOrderAndFollowsItsBranch,
                        ProgramRegistryFixture)
{
  Complete("t1", "");
  Complete("t2", "t1");
  Complete("t2b", "t1");
  BOOST_TEST((mRegistry.Chain("t2").value() == Attempts{ "t1", "t2" }));
  BOOST_TEST((mRegistry.Chain("t2b").value() == Attempts{ "t1", "t2b" }));
  BOOST_TEST((mRegistry.Chain("t1").value() == Attempts{ "t1" }));
}

// Guards against a prompt with a gap when an earlier turn is not known.
BOOST_FIXTURE_TEST_CASE(ProgramRegistryChainWithUnknownTurnGivesNothing, ProgramRegistryFixture)
{
  Complete("t2", "t1");
  BOOST_TEST(!mRegistry.Chain("t2").has_value());
  BOOST_TEST(!mRegistry.Chain("t9").has_value());
}

// Guards against a search for texts from the wrong offset: the exact offset replaces the first
// estimate, and a late copy of a record does not undo it.
BOOST_FIXTURE_TEST_CASE(ProgramRegistryPlacedTextKeepsItsExactOffset, ProgramRegistryFixture)
{
  Complete("t1", "");
  BOOST_TEST(
    (mRegistry.FindTurn("t1")->mText == TextLocation{ kTextSearchStart, false, kTextBytes }));
  Apply(TextPlaced{ "t1", 47 });
  BOOST_TEST((mRegistry.FindTurn("t1")->mText == TextLocation{ 47, true, kTextBytes }));
  Complete("t1", "");
  Apply(TextPlaced{ "unknown", 3 });
  BOOST_TEST((mRegistry.FindTurn("t1")->mText == TextLocation{ 47, true, kTextBytes }));
}

// Guards against a chain whose first turns expire while a later one can still be continued.
BOOST_FIXTURE_TEST_CASE(ProgramRegistryContinuedTurnLivesAsLongAsItsSuccessor,
                        ProgramRegistryFixture)
{
  Complete("t1", "");
  Complete("lonely", "");
  mNow += base::Millis(80000);
  Complete("t2", "t1");
  mRegistry.Expire(mNow + base::Millis(20000));
  BOOST_TEST(mRegistry.Chain("t2").has_value());
  BOOST_TEST(mRegistry.FindTurn("lonely") == nullptr);
}

// Guards against 404 for a turn that is kept: the records of a chain that spans programs are in
// several partitions, so that a gateway which loads the history may apply a later turn first.
BOOST_FIXTURE_TEST_CASE(ProgramRegistryTurnAppliedAfterItsSuccessorLivesAsLong,
                        ProgramRegistryFixture)
{
  const base::Millis begin = mNow;
  mNow = begin + base::Millis(100000);
  Complete("t3", "t2");
  mNow = begin + base::Millis(50000);
  Complete("t2", "t1");
  mNow = begin;
  Complete("t1", "");
  mRegistry.Expire(begin + base::Millis(150000));
  BOOST_TEST((mRegistry.Chain("t3").value_or(Attempts{}) == Attempts{ "t1", "t2", "t3" }));
  // Nothing is left of the chain after its last turn has expired.
  mRegistry.Expire(begin + base::Millis(200000));
  BOOST_TEST(mRegistry.TurnCount() == 0U);
}

// Guards against a refusal whose message does not tell a wrong id from a gap in the history.
BOOST_FIXTURE_TEST_CASE(ProgramRegistryUnknownTurnIsTheOneThatBreaksTheChain,
                        ProgramRegistryFixture)
{
  Complete("t1", "");
  Complete("t3", "t2");
  BOOST_TEST(mRegistry.UnknownTurn("t1") == "");
  BOOST_TEST(mRegistry.UnknownTurn("t3") == "t2");
  BOOST_TEST(mRegistry.UnknownTurn("t9") == "t9");
}

// Guards against a copy of an append that the store executes late: it must not change the history.
BOOST_FIXTURE_TEST_CASE(ProgramRegistrySecondCopyOfATurnChangesNothing, ProgramRegistryFixture)
{
  Complete("t1", "");
  Complete("t1", "");
  BOOST_TEST(mRegistry.TurnCount() == 1U);
  BOOST_TEST(mRegistry.FitsBudget("p", 8 + 10, 10));
  BOOST_TEST(!mRegistry.FitsBudget("p", 8 + 9, 10));
}

// Guards against a reservation that arrives after its attempt has ended and would never be
// released.
BOOST_FIXTURE_TEST_CASE(ProgramRegistryReservationAfterTheEndHasNoEffect, ProgramRegistryFixture)
{
  Apply(AttemptEnded{ "a", "p", 0 });
  Apply(AttemptReserved{ "a", "p", 100, 100 });
  BOOST_TEST((mRegistry.ReservationOf("p", "a") == Reservation::Ended));
  BOOST_TEST(mRegistry.FitsBudget("p", 100, 100));
}

// Guards against concurrent turns that exceed the budget together: a reservation counts in full
// until its attempt ends.
BOOST_FIXTURE_TEST_CASE(ProgramRegistryReservationsBeyondTheBudgetAreRefused,
                        ProgramRegistryFixture)
{
  Apply(AttemptReserved{ "a", "p", 100, 60 });
  Apply(AttemptReserved{ "b", "p", 100, 60 });
  BOOST_TEST((mRegistry.ReservationOf("p", "a") == Reservation::Granted));
  BOOST_TEST((mRegistry.ReservationOf("p", "b") == Reservation::Refused));
  Apply(AttemptEnded{ "a", "p", 8 });
  Apply(AttemptReserved{ "c", "p", 100, 60 });
  BOOST_TEST((mRegistry.ReservationOf("p", "c") == Reservation::Granted));
}

// Guards against a budget that is granted again after a restart: the ends that a reservation tells
// again are those that the store drops soon, and reservations whose gateway has gone.
BOOST_FIXTURE_TEST_CASE(ProgramRegistryOldEndsAreToldAgain, ProgramRegistryFixture)
{
  const base::Millis retention(300000);
  Apply(AttemptReserved{ "gone", "p", 1000, 300 });
  Apply(AttemptReserved{ "old", "p", 1000, 200 });
  Apply(AttemptEnded{ "old", "p", 150 });
  Apply(AttemptEnded{ "nothing", "p", 0 });
  mNow += base::Millis(160000);
  Apply(AttemptReserved{ "running", "p", 1000, 100 });
  Apply(AttemptEnded{ "young", "p", 50 });
  const auto ends = mRegistry.EndsToRenew("p", mNow, base::Millis(120000), retention, 100);
  BOOST_TEST(ends.size() == 2U);
  ProgramRegistry restarted;
  restarted.Apply({ mNow, ends });
  BOOST_TEST(restarted.SpentTokens("p") == 450U);
  // Whoever knows the first records counts nothing twice, in any order.
  const uint64_t used = mRegistry.UsedTokens("p");
  mRegistry.Apply({ mNow, ends });
  mRegistry.Apply({ mNow, ends });
  Apply(AttemptEnded{ "old", "p", 150 });
  BOOST_TEST(mRegistry.UsedTokens("p") == used);
  BOOST_TEST(mRegistry.EndsToRenew("p", mNow, base::Millis(120000), retention, 100).empty());
  BOOST_TEST(mRegistry.EndsToRenew("unknown", mNow, base::Millis(120000), retention, 100).empty());
}

BOOST_AUTO_TEST_SUITE(ProgramRegistryTest)

// Guards against a budget that is exceeded in some order of reservations, ends and copies: granted
// attempts never use more than they reserved, so that used and reserved tokens stay within the
// budget.
RC_BOOST_PROP(GrantedTokensNeverExceedTheBudget, ())
{
  const uint64_t budget = *rc::gen::inRange<uint64_t>(1, 400);
  ProgramRegistry registry;
  std::map<std::string, uint64_t> maxTokens;
  std::map<std::string, uint64_t> used;
  std::vector<ProgramEvent> history;
  const int steps = *rc::gen::inRange(1, 60);
  for (int i = 0; i < steps; ++i) {
    const std::string attempt = "a" + std::to_string(*rc::gen::inRange(0, 12));
    ProgramEvent event;
    if (!history.empty() && *rc::gen::inRange(0, 5) == 0) {
      event = history[*rc::gen::inRange<size_t>(0, history.size())]; // A late copy.
    } else if (*rc::gen::arbitrary<bool>()) {
      event = AttemptReserved{ attempt, "p", budget, *rc::gen::inRange<uint64_t>(1, 120) };
    } else {
      const bool granted = registry.ReservationOf("p", attempt) == Reservation::Granted;
      const uint64_t tokens = granted ? *rc::gen::inRange<uint64_t>(0, maxTokens[attempt] + 1) : 0;
      event = AttemptEnded{ attempt, "p", tokens };
    }
    history.push_back(event);
    const auto* reserved = std::get_if<AttemptReserved>(&event);
    const auto before =
      reserved != nullptr ? registry.ReservationOf("p", reserved->mAttempt) : Reservation::Ended;
    const auto* ended = std::get_if<AttemptEnded>(&event);
    const bool settles =
      ended != nullptr && registry.ReservationOf("p", ended->mAttempt) == Reservation::Granted;
    registry.Apply({ base::Millis(1), { event } });
    if (reserved != nullptr && before == Reservation::Unknown &&
        registry.ReservationOf("p", reserved->mAttempt) == Reservation::Granted) {
      maxTokens[reserved->mAttempt] = reserved->mMaxTokens;
      used[reserved->mAttempt] = reserved->mMaxTokens;
    }
    if (settles) {
      used[ended->mAttempt] = std::min(ended->mTokens, used[ended->mAttempt]);
    }
    uint64_t total = 0;
    for (const auto& [id, tokens] : used) {
      total += tokens;
    }
    RC_ASSERT(total <= budget);
  }
}

// Guards against a history that depends on the order in which partitions are read: each record is
// in the partition of its program, and only the records of one partition are in order.
RC_BOOST_PROP(HistoryDoesNotDependOnTheOrderOfPartitions, ())
{
  constexpr uint32_t kPartitions = 4;
  std::vector<std::vector<ProgramRecord>> partitions(kPartitions);
  const int turns = *rc::gen::inRange(1, 30);
  for (int i = 0; i < turns; ++i) {
    const int previous = *rc::gen::inRange(-1, i);
    TurnCompleted turn;
    turn.mAttempt = "t" + std::to_string(i);
    turn.mProgram = "p";
    turn.mPrevious = previous < 0 ? "" : "t" + std::to_string(previous);
    turn.mRetention = base::Millis(60000);
    const base::Millis written(1000000 + 40000 * i);
    partitions[*rc::gen::inRange<size_t>(0, kPartitions)].push_back({ written, { turn } });
  }
  std::vector<size_t> order(kPartitions);
  std::iota(order.begin(), order.end(), size_t{ 0 });
  ProgramRegistry forward;
  ProgramRegistry backward;
  for (const size_t partition : order) {
    for (const ProgramRecord& record : partitions[partition]) {
      forward.Apply(record);
    }
  }
  std::reverse(order.begin(), order.end());
  for (const size_t partition : order) {
    for (const ProgramRecord& record : partitions[partition]) {
      backward.Apply(record);
    }
  }
  const base::Millis now(1000000 + *rc::gen::inRange(0, 40000 * (turns + 3)));
  forward.Expire(now);
  backward.Expire(now);
  RC_ASSERT(forward.TurnCount() == backward.TurnCount());
  for (int i = 0; i < turns; ++i) {
    const std::string attempt = "t" + std::to_string(i);
    RC_ASSERT(forward.Chain(attempt) == backward.Chain(attempt));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}
