#pragma once

#include "sim_entry.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

namespace sycamore::entry::testing {

// A single entry that owns all partitions, with one engine service and one tool service.
struct OwnerFixture
{
  OwnerFixture()
  {
    mEntry.ConfirmTable();
    mEntry.AdvanceTime(base::Millis{ 3200 });
    mEngine = mEntry.ConnectSidecar("side-e", 71, "llm", "engine");
    mTool = mEntry.ConnectSidecar("side-t", 72, "registry", "tool");
  }

  static std::string ModelBody(uint32_t aSeq, const std::string& aText, bool aStream = false)
  {
    return fmt::format(R"({{"seq":{},"kind":"model","service":"llm",)"
                       R"("messages":[{{"role":"user","content":"{}"}}],)"
                       R"("max_tokens":50,"stream":{},"deadline_ms":10000}})",
                       aSeq,
                       aText,
                       aStream);
  }

  static std::string ToolBody(uint32_t aSeq, const std::string& aArgument)
  {
    return fmt::format(R"({{"seq":{},"kind":"tool","service":"registry","tool":"lookup",)"
                       R"("arguments":{{"id":"{}"}},"repeatable":true,"deadline_ms":10000}})",
                       aSeq,
                       aArgument);
  }

  static std::string KeyedBody(uint32_t aSeq,
                               const std::string& aKey,
                               const std::string& aArgument = "a")
  {
    return fmt::format(R"({{"seq":{},"kind":"tool","service":"registry","tool":"notice",)"
                       R"("arguments":{{"id":"{}"}},"repeatable":false,"key":"{}",)"
                       R"("deadline_ms":10000}})",
                       aSeq,
                       aArgument,
                       aKey);
  }

  std::string Calls(const std::string& aProgram) { return "/v1/programs/" + aProgram + "/calls"; }

  // Sends a model call, answers its dispatch and returns the response.
  Received& RunModel(const std::string& aProgram, uint32_t aSeq, const std::string& aText)
  {
    const uint64_t request = mEntry.Request("POST", Calls(aProgram), ModelBody(aSeq, aText));
    const auto dispatch = mEntry.Take<wire::DispatchT>(mEngine);
    BOOST_REQUIRE_MESSAGE(dispatch, mEntry.Answer(request).mBody);
    mEntry.AnswerModel(mEngine, *dispatch, "answer to " + aText);
    return mEntry.Answer(request);
  }

  SimLog mLog;
  base::TimePoint mStart{ base::Seconds{ 1000 } };
  SimEntry mEntry{ mLog, "entry-a", 11, mStart };
  transport::LinkId mEngine = 0;
  transport::LinkId mTool = 0;
};

}
