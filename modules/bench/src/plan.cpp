#include "sycamore/bench/plan.h"

#include "random_source.h"

#include "sycamore/base/random.h"

#include <algorithm>
#include <cassert>

namespace sycamore::bench {

static constexpr uint64_t kBytesPerToken = 4;

bool
PlannedSubAgents::operator==(const PlannedSubAgents& aOther) const
{
  return mPrograms == aOther.mPrograms;
}

static size_t
TemplateIndex(const Mix& aMix, const std::string& aName)
{
  const auto found =
    std::find_if(aMix.mTemplates.begin(), aMix.mTemplates.end(), [&](const Template& aTemplate) {
      return aTemplate.mName == aName;
    });
  assert(found != aMix.mTemplates.end());
  return static_cast<size_t>(found - aMix.mTemplates.begin());
}

// Makes the random choices of programs of one account and region.
class ProgramPlanner
{
public:
  ProgramPlanner(const Mix& aMix, size_t aAccount, std::string aRegion, RandomSource& aRandom)
    : mMix(aMix)
    , mAccount(aAccount)
    , mRegion(std::move(aRegion))
    , mRandom(aRandom)
  {
  }

  PlannedProgram Plan(size_t aTemplate, base::Millis aArrival)
  {
    PlannedProgram program{ aArrival, mAccount, aTemplate, mRegion, mRandom.Bits(), {} };
    AddSteps(mMix.mTemplates[aTemplate].mSteps, program.mSteps);
    return program;
  }

private:
  void AddSteps(const std::vector<Step>& aSteps, std::vector<PlannedStep>& aOut)
  {
    for (const Step& step : aSteps) {
      std::visit([&](const auto& aKind) { Add(aKind, aOut); }, step.mKind);
    }
  }

  void Add(const ModelStep& aStep, std::vector<PlannedStep>& aOut)
  {
    aOut.emplace_back(PlannedModel{ aStep.mService,
                                    mRandom.WholeIn(aStep.mPromptTokens),
                                    mRandom.WholeIn(aStep.mAnswerTokens),
                                    aStep.mStream });
  }

  void Add(const ToolStep& aStep, std::vector<PlannedStep>& aOut)
  {
    aOut.emplace_back(PlannedTool{
      aStep.mService, aStep.mTool, mRandom.WholeIn(aStep.mArgumentBytes), aStep.mRepeatable });
  }

  void Add(const PauseStep& aStep, std::vector<PlannedStep>& aOut)
  {
    aOut.emplace_back(PlannedPause{ base::Millis(std::llround(mRandom.In(aStep.mMillis))) });
  }

  void Add(const SubAgentsStep& aStep, std::vector<PlannedStep>& aOut)
  {
    PlannedSubAgents subAgents;
    const size_t index = TemplateIndex(mMix, aStep.mTemplate);
    const uint64_t count = mRandom.WholeIn(aStep.mCount);
    for (uint64_t i = 0; i < count; ++i) {
      subAgents.mPrograms.push_back(Plan(index, base::Millis(0)));
    }
    aOut.emplace_back(std::move(subAgents));
  }

  void Add(const RepeatStep& aStep, std::vector<PlannedStep>& aOut)
  {
    const uint64_t times = mRandom.WholeIn(aStep.mTimes);
    for (uint64_t i = 0; i < times; ++i) {
      AddSteps(aStep.mSteps, aOut);
    }
  }

  const Mix& mMix;
  size_t mAccount;
  std::string mRegion;
  RandomSource& mRandom;
};

static size_t
ChooseTemplate(const Mix& aMix, const Account& aAccount, RandomSource& aRandom)
{
  double total = 0;
  for (const TemplateShare& share : aAccount.mPrograms) {
    total += share.mShare;
  }
  double left = aRandom.Unit() * total;
  for (const TemplateShare& share : aAccount.mPrograms) {
    left -= share.mShare;
    if (left < 0) {
      return TemplateIndex(aMix, share.mTemplate);
    }
  }
  return TemplateIndex(aMix, aAccount.mPrograms.back().mTemplate);
}

// Times of a Poisson process of varying rate, by thinning a process of the peak rate.
static std::vector<base::Millis>
ArrivalTimes(const Mix& aMix,
             const Arrivals& aArrivals,
             base::Millis aDuration,
             RandomSource& aRandom)
{
  std::vector<base::Millis> times;
  const double peak = aArrivals.mPeakPerSecond;
  if (peak <= 0) {
    return times;
  }
  double seconds = aRandom.Gap(peak);
  for (;; seconds += aRandom.Gap(peak)) {
    const base::Millis time(std::llround(seconds * 1000));
    if (time >= aDuration) {
      return times;
    }
    if (aRandom.Unit() * peak < RateAt(aMix, aArrivals, time)) {
      times.push_back(time);
    }
  }
}

std::vector<PlannedProgram>
BuildPlan(const Mix& aMix, uint64_t aSeed, base::Millis aDuration)
{
  std::vector<PlannedProgram> plan;
  for (size_t account = 0; account < aMix.mAccounts.size(); ++account) {
    for (const Arrivals& arrivals : aMix.mAccounts[account].mArrivals) {
      // Each stream of arrivals has its own numbers, so that a change of one leaves the others.
      const std::string& name = aMix.mAccounts[account].mName;
      RandomSource random(base::MixHash(aSeed, base::StableHash(name + "/" + arrivals.mRegion)));
      ProgramPlanner planner(aMix, account, arrivals.mRegion, random);
      for (const base::Millis time : ArrivalTimes(aMix, arrivals, aDuration, random)) {
        const size_t kind = ChooseTemplate(aMix, aMix.mAccounts[account], random);
        plan.push_back(planner.Plan(kind, time));
      }
    }
  }
  std::stable_sort(plan.begin(), plan.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mArrival < aRight.mArrival;
  });
  return plan;
}

std::string
TextOf(uint64_t aSeed, uint64_t aTokens)
{
  RandomSource random(aSeed);
  std::string text;
  text.reserve(aTokens * kBytesPerToken);
  while (text.size() < aTokens * kBytesPerToken) {
    // Three letters and a space: one token.
    const uint64_t bits = random.Bits();
    for (const unsigned shift : { 0U, 8U, 16U }) {
      text += static_cast<char>('a' + ((bits >> shift) & 0xffU) % 26);
    }
    text += ' ';
  }
  return text;
}

}
