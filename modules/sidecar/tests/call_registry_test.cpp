#include "sycamore/sidecar/call_registry.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <rapidcheck.h>
#include <vector>

namespace sycamore::sidecar {

using base::Millis;
using base::TimePoint;

// Applies random events to a registry, following the protocol of the owners: the intent of a key
// records one sidecar incarnation and one epoch, and every dispatch of the key carries them,
// however often it is delayed or repeated. Seals and acks carry the same or a later epoch. A
// restart replaces the registry.
class RegistryModel
{
public:
  explicit RegistryModel(const CallRegistryLimits& aLimits)
    : mLimits(aLimits)
    , mRegistry(1, aLimits)
  {
  }

  void Step(int aKind, int aKey, uint64_t aEpochs)
  {
    const CallKey key{ { 1, 0, 1 }, 0, std::string(1, static_cast<char>('a' + aKey)) };
    Intent& intent = IntentOf(key);
    switch (aKind) {
      case 0:
      case 1:
        Dispatch(key, intent);
        break;
      case 2:
        Start(key, intent);
        break;
      case 3:
        Finish(key, intent);
        break;
      case 4:
        Seal(key, intent, aEpochs);
        break;
      case 5:
        Ack(key, intent, aEpochs);
        break;
      case 6:
        mNow += mLimits.mAbandonedAge;
        mOwnerEpoch += aEpochs;
        break;
      default:
        mRegistry = CallRegistry(mRegistry.Incarnation() + 1, mLimits);
        break;
    }
    RC_ASSERT(mRegistry.Records() <= mLimits.mMaxRecords);
  }

private:
  struct Intent
  {
    uint64_t mIncarnation = 0;
    uint64_t mEpoch = 0;
    int mRuns = 0;
    bool mSealed = false; // A seal was answered "not run".
    bool mAcked = false;  // The outcome is in the log, so the key is not sealed any more.
  };

  Intent& IntentOf(const CallKey& aKey)
  {
    return mIntents.try_emplace(aKey, Intent{ mRegistry.Incarnation(), mOwnerEpoch }).first->second;
  }

  void Dispatch(const CallKey& aKey, Intent& aIntent)
  {
    DispatchFacts facts{ aKey, aIntent.mEpoch, aIntent.mIncarnation, 0, false };
    const Admission admission = mRegistry.Admit(facts, mNow);
    RC_ASSERT(admission.mDecision != AdmitDecision::Replace);
    if (admission.mDecision == AdmitDecision::Run) {
      RC_ASSERT(aIntent.mRuns == 0);
      RC_ASSERT(!aIntent.mSealed);
    }
    if (admission.mDecision == AdmitDecision::Refuse &&
        aIntent.mIncarnation == mRegistry.Incarnation()) {
      RC_ASSERT(aIntent.mRuns == 0);
    }
  }

  void Start(const CallKey& aKey, Intent& aIntent)
  {
    const CallRecord* record = mRegistry.Find(aKey);
    if (record != nullptr && record->mState == RecordState::Queued) {
      mRegistry.SetRunning(aKey);
      RC_ASSERT(++aIntent.mRuns == 1);
      RC_ASSERT(!aIntent.mSealed);
    }
  }

  void Finish(const CallKey& aKey, const Intent&)
  {
    const CallRecord* record = mRegistry.Find(aKey);
    if (record != nullptr && record->mState == RecordState::Running) {
      mRegistry.Finish(aKey, std::make_shared<wire::CallOutcomeT>(), mNow);
    }
  }

  void Seal(const CallKey& aKey, Intent& aIntent, uint64_t aEpochs)
  {
    if (aIntent.mAcked) {
      return;
    }
    mOwnerEpoch = std::max(mOwnerEpoch, aIntent.mEpoch + aEpochs);
    const uint64_t epoch = aIntent.mEpoch + aEpochs;
    const SealState state = mRegistry.Seal(aKey, epoch, aIntent.mIncarnation, mNow);
    if (state == SealState::Sealed) {
      RC_ASSERT(aIntent.mRuns == 0);
      aIntent.mSealed = true;
    }
    if (state != SealState::NoAnswer) {
      RC_ASSERT(mRegistry.EpochFloor(aKey.mProgram.mPartition) >= epoch);
    }
  }

  void Ack(const CallKey& aKey, Intent& aIntent, uint64_t aEpochs)
  {
    const CallRecord* record = mRegistry.Find(aKey);
    const uint64_t required = record == nullptr ? 0 : record->mEpoch;
    const bool running = record != nullptr && record->mState == RecordState::Running;
    const bool forgotten = mRegistry.Ack(aKey, 0, aIntent.mEpoch + aEpochs);
    RC_ASSERT(!forgotten || (!running && aIntent.mEpoch + aEpochs >= required));
    aIntent.mAcked = aIntent.mAcked || forgotten;
  }

  CallRegistryLimits mLimits;
  CallRegistry mRegistry;
  TimePoint mNow;
  uint64_t mOwnerEpoch = 1;
  std::map<CallKey, Intent> mIntents;
};

struct CallRegistryFixture
{
  static CallRegistryLimits SmallLimits()
  {
    CallRegistryLimits limits;
    limits.mMaxRecords = 3;
    return limits;
  }

  static DispatchFacts Repeatable(uint32_t aSeq, uint32_t aAttempt)
  {
    return { { { 1, 0, 1 }, aSeq, "" }, 1, 0, aAttempt, true };
  }

  void FinishRepeatable(uint32_t aSeq, const std::string& aBody)
  {
    const DispatchFacts facts = Repeatable(aSeq, 1);
    mRegistry.Admit(facts, mNow);
    mRegistry.SetRunning(facts.mKey);
    auto outcome = std::make_shared<wire::CallOutcomeT>();
    outcome->body = aBody;
    mRegistry.Finish(facts.mKey, std::move(outcome), mNow);
  }

  TimePoint mNow;
  CallRegistry mRegistry{ 1, SmallLimits() };
};

// Guards against a call that runs twice or after a seal, and against a false "not run", in any
// interleaving of dispatches, seals, acks, restarts and owner changes, with a registry that is
// often full.
BOOST_FIXTURE_TEST_CASE(CallRegistryInAnyInterleavingRunsEachKeyAtMostOnce, CallRegistryFixture)
{
  const bool holds = rc::check([](const std::vector<uint32_t>& aSteps) {
    RegistryModel model(SmallLimits());
    for (const uint32_t step : aSteps) {
      model.Step(static_cast<int>(step % 8), static_cast<int>(step / 8 % 5), step / 40 % 3);
    }
  });
  BOOST_TEST(holds);
}

// The same with long sequences, in which abandoned outcomes are discarded too.
BOOST_FIXTURE_TEST_CASE(CallRegistryInLongInterleavingRunsEachKeyAtMostOnce, CallRegistryFixture)
{
  const bool holds = rc::check([] {
    RegistryModel model(SmallLimits());
    for (int i = 0; i < 2000; ++i) {
      const int kind = *rc::gen::weightedElement<int>(
        { { 8, 0 }, { 8, 2 }, { 8, 3 }, { 4, 4 }, { 3, 5 }, { 2, 6 }, { 1, 7 } });
      model.Step(kind, *rc::gen::inRange(0, 26), *rc::gen::inRange<uint64_t>(0, 3));
    }
  });
  BOOST_TEST(holds);
}

// Guards against a full registry that refuses calls in order to keep outcomes of repeatable calls.
BOOST_FIXTURE_TEST_CASE(CallRegistryWhenFullDiscardsOldestRepeatableOutcome, CallRegistryFixture)
{
  for (uint32_t seq = 1; seq <= 4; ++seq) {
    FinishRepeatable(seq, "x");
  }
  BOOST_TEST(mRegistry.Find(Repeatable(1, 1).mKey) == nullptr);
  BOOST_TEST(mRegistry.Find(Repeatable(4, 1).mKey) != nullptr);
}

// Guards against unbounded bytes of stored outcomes.
BOOST_FIXTURE_TEST_CASE(CallRegistryWithLargeOutcomesStaysBelowItsByteLimit, CallRegistryFixture)
{
  CallRegistryLimits limits;
  limits.mMaxOutcomeBytes = 100000;
  mRegistry = CallRegistry(1, limits);
  for (uint32_t seq = 1; seq <= 50; ++seq) {
    FinishRepeatable(seq, std::string(30000, 'x'));
    BOOST_TEST(mRegistry.OutcomeBytes() <= limits.mMaxOutcomeBytes);
  }
}

// Guards against an older attempt that replaces a newer one.
BOOST_FIXTURE_TEST_CASE(CallRegistryWithOlderAttemptIgnoresIt, CallRegistryFixture)
{
  mRegistry.Admit(Repeatable(1, 2), mNow);
  BOOST_TEST((mRegistry.Admit(Repeatable(1, 1), mNow).mDecision == AdmitDecision::Ignore));
  BOOST_TEST((mRegistry.Admit(Repeatable(1, 2), mNow).mDecision == AdmitDecision::Duplicate));
  BOOST_TEST((mRegistry.Admit(Repeatable(1, 3), mNow).mDecision == AdmitDecision::Replace));
}

// Guards against a full registry that evicts a seal which it has confirmed.
BOOST_FIXTURE_TEST_CASE(CallRegistryWhenFullOfSealsAnswersNoFurtherSeal, CallRegistryFixture)
{
  for (char name = 'a'; name <= 'c'; ++name) {
    const CallKey key{ { 1, 0, 1 }, 0, std::string(1, name) };
    BOOST_TEST((mRegistry.Seal(key, 2, 1, mNow) == SealState::Sealed));
  }
  const CallKey key{ { 1, 0, 1 }, 0, "d" };
  BOOST_TEST((mRegistry.Seal(key, 2, 1, mNow) == SealState::NoAnswer));
  BOOST_TEST(mRegistry.Ack({ { 1, 0, 1 }, 0, "a" }, 0, 2));
  BOOST_TEST((mRegistry.Seal(key, 2, 1, mNow) == SealState::Sealed));
}

}
