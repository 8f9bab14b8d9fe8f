#pragma once

#include "sycamore/base/clock.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace sycamore::bench {

// Uniformly distributed numbers.
struct Range
{
  double mMin = 0;
  double mMax = 0;
};

struct ModelStep
{
  std::string mService;
  Range mPromptTokens; // Of the new message.
  Range mAnswerTokens;
  bool mStream = true;
};

struct ToolStep
{
  std::string mService;
  std::string mTool;
  Range mArgumentBytes;
  bool mRepeatable = true; // Otherwise the call gets a key.
};

// Time in which the program does nothing: a tool or a person of the caller.
struct PauseStep
{
  Range mMillis;
};

// Runs programs of another template side by side and waits for all.
struct SubAgentsStep
{
  std::string mTemplate;
  Range mCount;
};

struct Step;

struct RepeatStep
{
  Range mTimes;
  std::vector<Step> mSteps;
};

struct Step
{
  std::variant<ModelStep, ToolStep, PauseStep, SubAgentsStep, RepeatStep> mKind;
};

}
