#pragma once

#include "sycamore/bench/mix.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace sycamore::bench {

struct PlannedProgram;

struct PlannedModel
{
  std::string mService;
  uint64_t mPromptTokens = 0;
  uint64_t mAnswerTokens = 0;
  bool mStream = true;

  bool operator==(const PlannedModel&) const = default;
};

struct PlannedTool
{
  std::string mService;
  std::string mTool;
  uint64_t mArgumentBytes = 0;
  bool mRepeatable = true;

  bool operator==(const PlannedTool&) const = default;
};

struct PlannedPause
{
  base::Millis mDuration{ 0 };

  bool operator==(const PlannedPause&) const = default;
};

struct PlannedSubAgents
{
  std::vector<PlannedProgram> mPrograms;

  bool operator==(const PlannedSubAgents&) const;
};

using PlannedStep = std::variant<PlannedModel, PlannedTool, PlannedPause, PlannedSubAgents>;

// A program with all random choices made.
struct PlannedProgram
{
  base::Millis mArrival{ 0 }; // After the start of the run; of a sub-agent: 0.
  size_t mAccount = 0;        // Index in Mix::mAccounts.
  size_t mTemplate = 0;       // Index in Mix::mTemplates.
  std::string mRegion;
  uint64_t mTextSeed = 0; // Of the message texts.
  std::vector<PlannedStep> mSteps;

  bool operator==(const PlannedProgram&) const = default;
};

// All programs of a run in the order of arrival. The same mix, seed and duration give the same
// plan, whatever the system does: the load does not wait for it (open loop).
std::vector<PlannedProgram>
BuildPlan(const Mix& aMix, uint64_t aSeed, base::Millis aDuration);

// Text of about aTokens tokens (four bytes each) that is the same for the same seed.
std::string
TextOf(uint64_t aSeed, uint64_t aTokens);

}
