#pragma once

#include "sycamore/base/result.h"
#include "sycamore/bench/step.h"
#include "sycamore/world/contract.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sycamore::bench {

// A kind of program.
struct Template
{
  std::string mName;
  uint64_t mBudgetTokens = 0;
  uint64_t mMaxTurns = 0; // 0: the system's default.
  base::Millis mIdleLimit{ 0 };
  bool mEnds = true;         // The caller ends it after the last step; otherwise it is abandoned.
  bool mEndsByLimit = false; // It loops; its turn limit or budget is its proper end.
  std::vector<Step> mSteps;
};

// Programs arrive as a Poisson process whose rate has its peak at sunset.
struct Arrivals
{
  std::string mRegion;
  double mBasePerSecond = 0;
  double mPeakPerSecond = 0;
  double mSunset = 0.75; // Fraction of the day.
  double mWidth = 0.08;  // Standard deviation of the peak, as a fraction of the day.
};

// A share of an account's programs.
struct TemplateShare
{
  std::string mTemplate;
  double mShare = 1;
};

struct Account
{
  std::string mName;
  world::Contract mContract; // Of its row for all regions and models.
  std::vector<Arrivals> mArrivals;
  std::vector<TemplateShare> mPrograms;
};

// A load: who sends which programs when.
struct Mix
{
  std::string mName;
  uint64_t mSeed = 1;
  base::Millis mDuration{ 60000 };
  base::Millis mDay{ 60000 };    // Length of one day of the arrival curve.
  double mSunsetDriftPerDay = 0; // Change of mSunset from one day to the next: the season.
  std::vector<Account> mAccounts;
  std::vector<Template> mTemplates;
};

// Parses a mix file (bench/README.md). InvalidField with the path of the first fault.
base::Result<Mix>
ParseMix(std::string_view aJson);

// Arrivals per second at aTime after the start.
double
RateAt(const Mix& aMix, const Arrivals& aArrivals, base::Millis aTime);

}
