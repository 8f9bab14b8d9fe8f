// The callers of the simulated world.
#include "sim_world.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

namespace sycamore::entry::testing {

namespace json = boost::json;

std::string
SimWorld::KeyOf(const SimCaller& aCaller)
{
  return fmt::format("k{}", aCaller.mVariant);
}

std::string
SimWorld::Body(const SimCaller& aCaller) const
{
  switch (aCaller.mVariant % 3) {
    case 0:
      return fmt::format(R"({{"seq":{},"kind":"model","service":"llm","max_tokens":20,)"
                         R"("messages":[{{"role":"user","content":"m{}"}}],"deadline_ms":8000}})",
                         aCaller.mSeq,
                         aCaller.mVariant);
    case 1:
      return fmt::format(R"({{"seq":{},"kind":"tool","service":"registry","tool":"book",)"
                         R"("arguments":{{}},"repeatable":false,"key":"{}","deadline_ms":8000}})",
                         aCaller.mSeq,
                         KeyOf(aCaller));
    default:
      return fmt::format(R"({{"seq":{},"kind":"tool","service":"registry","tool":"look",)"
                         R"("arguments":{{"v":{}}},"repeatable":true,"deadline_ms":8000}})",
                         aCaller.mSeq,
                         aCaller.mVariant);
  }
}

// Does nothing while a request of the caller is open.
void
SimWorld::Send(SimCaller& aCaller, size_t aEntry)
{
  if (aCaller.mOpen) {
    return;
  }
  SimEntry& entry = *mEntries[aEntry].mSim;
  aCaller.mOpen = true;
  aCaller.mEntry = aEntry;
  aCaller.mEntryIncarnation = mEntries[aEntry].mIncarnation;
  if (aCaller.mProgram.empty()) {
    aCaller.mRequest = entry.Request(
      "POST", "/v1/programs", R"({"account":"acme","region":"lahore-a","budget_tokens":60000})");
  } else {
    aCaller.mRequest =
      entry.Request("POST", "/v1/programs/" + aCaller.mProgram + "/calls", Body(aCaller));
  }
}

void
SimWorld::Collect(SimCaller& aCaller)
{
  if (!aCaller.mOpen) {
    return;
  }
  SimEntry& entry = *mEntries[aCaller.mEntry].mSim;
  if (mEntries[aCaller.mEntry].mIncarnation != aCaller.mEntryIncarnation) {
    // The entry was killed: the caller sees a closed connection and may repeat the request.
    aCaller.mOpen = false;
    aCaller.mUncertain = true;
    return;
  }
  const Received& answer = entry.Answer(aCaller.mRequest);
  if (answer.Complete()) {
    aCaller.mOpen = false;
    OnAnswer(aCaller, answer);
  }
}

static void
NextCall(SimCaller& aCaller)
{
  ++aCaller.mVariant;
  aCaller.mUncertain = false;
}

// The expected sequence number that the text of a turn_out_of_order error names.
static uint32_t
NextSeqOf(const Received& aAnswer, uint32_t aDefault)
{
  const std::string& body = aAnswer.mBody;
  const size_t at = body.find("next seq is ");
  return at == std::string::npos ? aDefault
                                 : static_cast<uint32_t>(std::stoul(body.substr(at + 12)));
}

void
SimWorld::OnAnswer(SimCaller& aCaller, const Received& aAnswer)
{
  if (aAnswer.mStatus == 201) {
    aCaller.mProgram = std::string(aAnswer.Json().at("program").as_string());
    return;
  }
  if (aAnswer.mStatus == 200) {
    const auto seq = static_cast<uint32_t>(aAnswer.Json().at("seq").as_int64());
    RC_ASSERT(seq <= aCaller.mSeq);
    const auto [known, added] = aCaller.mAcknowledged.emplace(seq, aAnswer.mBody);
    RC_ASSERT(added || known->second == aAnswer.mBody);
    aCaller.mSeq = seq + 1;
    NextCall(aCaller);
    return;
  }
  const std::string code = aAnswer.ErrorCode();
  const std::string run = aAnswer.Run();
  if (code == "turn_out_of_order") {
    aCaller.mSeq = NextSeqOf(aAnswer, aCaller.mSeq);
    NextCall(aCaller);
  } else if (code == "outcome_unknown") {
    ++aCaller.mSeq;
    NextCall(aCaller);
  } else if (code == "sealed_not_run") {
    RC_ASSERT(IsKeyed(aCaller));
    aCaller.mNotRun.push_back(KeyOf(aCaller));
    ++aCaller.mSeq;
    NextCall(aCaller);
  } else if (run != "not_run") {
    aCaller.mUncertain = true;
  } else if (!aCaller.mUncertain && IsKeyed(aCaller) && !aCaller.mProgram.empty()) {
    // The caller does not repeat a call that was reported as not run, so it must never run.
    aCaller.mNotRun.push_back(KeyOf(aCaller));
    NextCall(aCaller);
  }
  CheckRuns();
}

}
