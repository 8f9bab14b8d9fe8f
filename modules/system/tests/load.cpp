#include "load.h"

#include "sycamore/testbed/wait.h"

#include <fmt/format.h>

namespace sycamore::system {

// Timeout of one call with all its retries, which may span an outage.
static constexpr base::Millis kCallTimeout{ 90000 };

static constexpr uint64_t kBudget = 100000;

Load::Load(std::vector<http::Endpoint> aEntries, size_t aPrograms, uint32_t aCalls)
  : mEntries(std::move(aEntries))
  , mCalls(aCalls)
  , mRecords(aPrograms)
  , mRunning(aPrograms)
{
  for (auto& record : mRecords) {
    mThreads.emplace_back([this, &record] {
      RunProgram(record);
      --mRunning;
    });
  }
}

Load::~Load()
{
  mStop = true;
  for (auto& thread : mThreads) {
    thread.join();
  }
}

bool
Load::WaitAnswered(size_t aCount, base::Millis aLimit) const
{
  return testbed::WaitUntil(aLimit, [&] { return mAnswered >= aCount; });
}

bool
Load::Finish(base::Millis aLimit)
{
  const bool finished = testbed::WaitUntil(aLimit, [this] { return mRunning == 0; });
  mStop = true;
  for (auto& thread : mThreads) {
    thread.join();
  }
  mThreads.clear();
  return finished;
}

void
Load::AddFault(std::string aFault)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mFaults.push_back(std::move(aFault));
}

void
Load::RunProgram(ProgramRecord& aRecord)
{
  Caller caller(mEntries);
  const auto created = caller.Complete("POST", "/v1/programs", ProgramBody(kBudget), kCallTimeout);
  if (!created || !created->Ok()) {
    AddFault("no program created: " + (created ? created->Code() : "no answer"));
    return;
  }
  aRecord.mProgram = created->mBody.at("program").as_string();
  for (uint32_t seq = 1; seq <= mCalls && !mStop; ++seq) {
    if (!RunCall(caller, aRecord, seq)) {
      return;
    }
  }
}

// Sends one call until its final answer. Returns false if the chain cannot go on.
bool
Load::RunCall(Caller& aCaller, ProgramRecord& aRecord, uint32_t aSeq)
{
  const std::string key = aSeq % 3 == 0 ? fmt::format("key-{}", aSeq) : "";
  const auto body = aSeq % 3 == 1 ? ModelBody(aSeq, fmt::format("question {}", aSeq), 8)
                                  : ToolBody(aSeq, aRecord.mProgram, key);
  const auto answer = aCaller.Complete("POST", CallsPath(aRecord.mProgram), body, kCallTimeout);
  if (!answer) {
    AddFault(fmt::format("{} seq {}: no final answer", aRecord.mProgram, aSeq));
    return false;
  }
  if (answer->Ok()) {
    ++mAnswered;
    aRecord.mAnswers[aSeq] = answer->mBody.at("answer");
    if (!key.empty()) {
      aRecord.mKeys[key] = "answered";
    }
    return true;
  }
  if (!key.empty() && (answer->Run() == "not_run" || answer->Run() == "unknown")) {
    aRecord.mKeys[key] = answer->Run();
    return true;
  }
  AddFault(fmt::format("{} seq {}: {} {}",
                       aRecord.mProgram,
                       aSeq,
                       answer->mStatus,
                       boost::json::serialize(answer->mBody)));
  return false;
}

}
