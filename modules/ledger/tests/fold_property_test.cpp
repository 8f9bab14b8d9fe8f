#include "owner_sim.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace sycamore::ledger::testing {

// Generates up to about 1600 steps. The length of the list grows with the case number.
static std::vector<SimStep>
Steps()
{
  const auto step = rc::gen::map(
    rc::gen::pair(rc::gen::inRange<uint32_t>(0, 8), rc::gen::inRange<uint32_t>(0, 1U << 20U)),
    [](const auto& aPair) {
      return SimStep{ aPair.first, aPair.second };
    });
  return *rc::gen::scale(16.0, rc::gen::container<std::vector<SimStep>>(step)).as("steps");
}

// RapidCheck finds this by argument-dependent lookup to print a counterexample.
void
showValue(const SimStep& aStep, std::ostream& aStream)
{
  aStream << "{" << aStep.mAction << ", " << aStep.mArgument << "}";
}

// Folds only the accepted batches of aLog, each at its offset.
static PartitionState
FoldAccepted(const std::vector<OwnerSim::Appended>& aLog)
{
  PartitionState state;
  state.mPartition = 3;
  for (size_t offset = 0; offset < aLog.size(); ++offset) {
    if (aLog.at(offset).mVerdict == Verdict::Applied) {
      RC_ASSERT((ApplyBatch(state, offset, aLog.at(offset).mBatch) == Verdict::Applied));
    }
  }
  state.mNextOffset = aLog.size();
  return state;
}

static PartitionState
FoldFrom(PartitionState aState, const std::vector<OwnerSim::Appended>& aLog)
{
  for (size_t offset = aState.mNextOffset; offset < aLog.size(); ++offset) {
    ApplyBatch(aState, offset, aLog.at(offset).mBatch);
  }
  return aState;
}

BOOST_AUTO_TEST_SUITE(FoldProperties)

// Guards against ignored batches, duplicates or late copies that change the state.
BOOST_AUTO_TEST_CASE(FoldOfInterleavedOwnersEqualsFoldOfAcceptedBatches)
{
  BOOST_TEST(rc::check("fold equals the fold of accepted batches", [] {
    OwnerSim sim;
    for (const SimStep& step : Steps()) {
      sim.Run(step);
    }
    RC_ASSERT((sim.Fold() == FoldAccepted(sim.Log())));
    RC_CLASSIFY(sim.Fold().mEpoch > 3, "several owners");
    RC_CLASSIFY(sim.Fold().mPrograms.size() > 1, "sub-agents");
  }));
}

// Guards against a fold that rejects a batch that is valid in its owner's view.
BOOST_AUTO_TEST_CASE(FoldOfHonestOwnersIsNeverInvalid)
{
  BOOST_TEST(rc::check("honest batches are applied or ignored", [] {
    OwnerSim sim;
    for (const SimStep& step : Steps()) {
      sim.Run(step);
    }
    for (const auto& appended : sim.Log()) {
      RC_ASSERT((appended.mVerdict != Verdict::Invalid));
    }
  }));
}

// Guards the order of turns and the token budget in every state.
BOOST_AUTO_TEST_CASE(FoldOfInterleavedOwnersKeepsInvariants)
{
  BOOST_TEST(rc::check("order and budget hold in every state", [] {
    OwnerSim sim;
    for (const SimStep& step : Steps()) {
      sim.Run(step);
      RC_ASSERT(BrokenInvariant(sim.Fold()) == "");
    }
  }));
}

// Guards against lost or changed history after a takeover: a new owner that starts from any
// checkpoint has the same state as one that reads the whole stream.
BOOST_AUTO_TEST_CASE(FoldFromAnyCheckpointEqualsPlainFold)
{
  BOOST_TEST(rc::check("checkpoint and restore equal the plain fold", [] {
    OwnerSim sim;
    const std::vector<SimStep> steps = Steps();
    const auto cut = *rc::gen::inRange<size_t>(0, steps.size() + 1);
    std::optional<wire::LogCheckpointT> taken;
    uint64_t checkpointOffset = kNoOffset;
    for (size_t i = 0; i < steps.size(); ++i) {
      if (i == cut && sim.Fold().mNextOffset > 0) {
        taken = MakeCheckpoint(sim.Fold());
        checkpointOffset = sim.Fold().mCheckpointOffset;
      }
      sim.Run(steps.at(i));
    }
    RC_PRE(taken.has_value());
    // The log stores the checkpoint encoded.
    const auto encoded = wire::EncodeBatch(With(Batch(1, 1, 1), { wire::MakeEntry(*taken) }));
    const auto decoded = base::ValueOf(wire::DecodeBatch(encoded));
    PartitionState restored =
      RestoreCheckpoint(3, *decoded.entries.at(0)->record.AsLogCheckpoint());
    restored.mCheckpointOffset = checkpointOffset;
    RC_ASSERT((FoldFrom(std::move(restored), sim.Log()) == sim.Fold()));
  }));
}

// Guards at-most-once execution of non-idempotent calls: of all intents for a key, only the first
// in log order may be dispatched.
BOOST_AUTO_TEST_CASE(FoldOfManyIntentsKeepsFirst)
{
  BOOST_TEST(rc::check("first intent wins", [] {
    OwnerSim sim;
    std::map<std::pair<ProgramId, std::string>, uint64_t> first;
    size_t seen = 0;
    for (const SimStep& step : Steps()) {
      sim.Run(step);
      for (const auto& [id, program] : sim.Fold().mPrograms) {
        for (const auto& [name, key] : program.mKeys) {
          const auto added = first.emplace(std::make_pair(id, name), key.mIntentOffset);
          RC_ASSERT(added.first->second == key.mIntentOffset);
        }
      }
      seen = first.size();
    }
    RC_CLASSIFY(seen > 0, "with intents");
  }));
}

// Generates a record of any kind for one of four programs, with values that may contradict the
// state.
static LogEntryT
ArbitraryEntry()
{
  const auto token = rc::gen::element<uint64_t>(0, 1, 10, 60, 101, ~uint64_t{ 0 });
  const ProgramId id{ 3, 0, *rc::gen::inRange<uint64_t>(1, 5) };
  const ProgramId parent{ 3, 0, *rc::gen::inRange<uint64_t>(1, 5) };
  const uint64_t tokens = *token;
  const uint64_t reserved = *token;
  const auto seq = *rc::gen::inRange<uint32_t>(1, 4);
  const std::string key = *rc::gen::element<std::string>("k", "l");
  const auto kind = static_cast<LogOutcomeKind>(*rc::gen::inRange(0, 3));
  switch (*rc::gen::inRange(0, 9)) {
    case 0:
      return Created(id, 100, tokens);
    case 1:
      return SubAgent(id, parent, tokens);
    case 2:
      return Reserved(id, tokens);
    case 3:
      return Intent(id, seq, key);
    case 4:
      return Outcome(id, seq, key, kind);
    case 5:
      return Ended(id);
    case 6:
      return RewrittenTurn(id, seq);
    default:
      return Turn(id, seq, tokens, reserved);
  }
}

// Guards the token budget and at-most-once execution against writers that validate nothing.
BOOST_AUTO_TEST_CASE(FoldOfArbitraryRecordsKeepsBudgetAndFirstIntent)
{
  BOOST_TEST(rc::check("budget and first intent hold for arbitrary records", [] {
    PartitionState state;
    state.mPartition = 3;
    ApplyBatch(state, 0, ClaimBatch(1, 11));
    std::map<std::pair<ProgramId, std::string>, KeyState> first;
    for (int i = *rc::gen::inRange(0, 200); i > 0; --i) {
      wire::LogBatchT batch = Batch(1, 11, state.mLastSequence + 1);
      for (int n = *rc::gen::inRange(1, 4); n > 0; --n) {
        batch.entries.push_back(std::make_unique<LogEntryT>(ArbitraryEntry()));
      }
      const auto before = state.mPrograms;
      const Verdict verdict = ApplyBatch(state, state.mNextOffset, batch);
      RC_ASSERT(verdict == Verdict::Applied || state.mPrograms == before);
      RC_ASSERT(BrokenInvariant(state) == "");
      for (const auto& [id, program] : state.mPrograms) {
        for (const auto& [name, key] : program.mKeys) {
          const auto& kept = first.emplace(std::make_pair(id, name), key).first->second;
          RC_ASSERT(kept.mIntentOffset == key.mIntentOffset);
        }
      }
    }
    RC_CLASSIFY(!first.empty(), "with intents");
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}
