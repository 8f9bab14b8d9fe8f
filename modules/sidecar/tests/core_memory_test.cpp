#include "core_fixture.h"
#include "sycamore/base/program_id.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

namespace sycamore::sidecar {

using base::ErrorKind;
using base::Millis;
using base::Seconds;
using http::SendProgress;

struct CoreMemoryFixture : CoreFixture
{
  static constexpr base::ProgramId kProgram{ 3, 5, 9 };

  // Answers all open requests except calls. Without aReleases, release requests fail.
  void ServeEngine(bool aReleases = true)
  {
    while (true) {
      const auto request =
        std::find_if(mOutput.mOpen.begin(), mOutput.mOpen.end(), [](const auto& aEntry) {
          return aEntry.second.mPath != "/v1/chat/completions";
        });
      if (request == mOutput.mOpen.end()) {
        return;
      }
      Serve(request->second, aReleases);
    }
  }

  void Serve(const TargetRequest& aRequest, bool aReleases)
  {
    const uint64_t requestId = aRequest.mRequestId;
    if (aRequest.mPath == "/v1/cache") {
      Done(requestId,
           mCached ? R"({"programs":[{"program":"3-5-0000000000000009","tokens":4}]})"
                   : R"({"programs":[]})");
    } else if (aRequest.mPath == "/v1/cache/release" && !aReleases) {
      Fail(requestId, ErrorKind::TargetRefused, SendProgress::NothingSent);
    } else if (aRequest.mPath == "/v1/cache/release") {
      mCached = false;
      Done(requestId, R"({"released_tokens":4})");
    } else if (aRequest.mPath == "/v1/orders" && aRequest.mMethod == "POST") {
      mEngineOrder = aRequest.mBody;
      Done(requestId, mEngineOrder, mOrderStatus);
    } else if (aRequest.mPath == "/v1/orders") {
      Done(requestId, mEngineOrder);
    } else {
      Done(requestId, "{}");
    }
  }

  // Like Pass, with an engine that answers its requests after each tick.
  void PassServed(Millis aTime, bool aReleases = true)
  {
    const base::TimePoint end = mNow + aTime;
    while (mNow < end) {
      Pass(SidecarCore::kTickPeriod);
      ServeEngine(aReleases);
    }
  }

  void Release()
  {
    wire::ReleaseT release;
    release.program = std::make_unique<wire::ProgramT>();
    release.program->partition = kProgram.mPartition;
    release.program->creation_offset = kProgram.mCreationOffset;
    release.program->random = kProgram.mRandom;
    Receive(kLink, std::move(release));
  }

  static table::Table TableOf(uint64_t aVersion)
  {
    table::Table table;
    table.mVersion = aVersion;
    table.mOrders["inspect-llm"] = { "base", "lora", std::to_string(aVersion), "", aVersion };
    return table;
  }

  size_t OrdersSent() const
  {
    size_t sent = 0;
    for (const auto& request : mOutput.RequestsOf("/v1/orders")) {
      sent += request.mMethod == "POST" ? 1 : 0;
    }
    return sent;
  }

  bool mCached = false;
  std::string mEngineOrder = R"({"version":0})";
  int mOrderStatus = 200;
};

// Guards against an ended program that stays cached because a release failed, and against an ack
// before the engine has confirmed the release.
BOOST_FIXTURE_TEST_CASE(CoreWhenProgramEndsReleasesUntilConfirmed, CoreMemoryFixture)
{
  mCached = true;
  Release();
  PassServed(Seconds(5), false);
  BOOST_TEST(mOutput.RequestsOf("/v1/cache/release").size() >= 4U);
  BOOST_TEST(mOutput.FramesOf<wire::ReleaseAckT>(kLink).empty());
  PassServed(Seconds(2));
  BOOST_TEST(!mCached);
  BOOST_TEST(mOutput.FramesOf<wire::ReleaseAckT>(kLink).size() == 1U);
  Release();
  PassServed(Seconds(1));
  BOOST_TEST(mOutput.FramesOf<wire::ReleaseAckT>(kLink).size() == 2U);
}

// Guards against programs that stay cached because the sidecar process that tracked them was
// replaced.
BOOST_FIXTURE_TEST_CASE(CoreAtStartAdoptsCachedProgramsUnderALease, CoreMemoryFixture)
{
  mCached = true;
  PassServed(Seconds(59));
  BOOST_TEST(mCached);
  PassServed(Seconds(2));
  BOOST_TEST(!mCached);
}

// Guards against the release of a program that its owner holds.
BOOST_FIXTURE_TEST_CASE(CoreWithHeldProgramKeepsItUntilLeaseEnds, CoreMemoryFixture)
{
  mCached = true;
  for (int i = 0; i < 10; ++i) {
    PassServed(Seconds(20));
    wire::HoldT hold;
    hold.lease_ms = 60000;
    auto program = std::make_unique<wire::ProgramT>();
    program->partition = kProgram.mPartition;
    program->creation_offset = kProgram.mCreationOffset;
    program->random = kProgram.mRandom;
    hold.programs.push_back(std::move(program));
    Receive(kLink, std::move(hold));
  }
  BOOST_TEST(mCached);
  PassServed(Seconds(61));
  BOOST_TEST(!mCached);
}

// Guards against owners that keep placing calls by a prefix that the engine has evicted.
BOOST_FIXTURE_TEST_CASE(CoreWhenEngineEvictsPrefixSendsCacheHint, CoreMemoryFixture)
{
  ServeEngine();
  Receive(kLink, Model(1));
  Fail(mOutput.RequestsOf("/v1/chat/completions").at(0).mRequestId,
       ErrorKind::ConnectionLost,
       SendProgress::MaybeSent);
  PassServed(Seconds(6));
  const auto hints = mOutput.FramesOf<wire::CacheHintT>(kLink);
  BOOST_REQUIRE(hints.size() == 1U);
  BOOST_TEST(hints[0].target == "engine-1");
  BOOST_TEST(hints[0].tokens == 0U);
}

// Guards against an order sent without a slot, and against an order that is sent repeatedly.
BOOST_FIXTURE_TEST_CASE(CoreWithNewOrderTakesSlotAndSendsItOnce, CoreMemoryFixture)
{
  ServeEngine();
  mCore->OnTable(TableOf(5), Millis(0), mNow);
  BOOST_REQUIRE(mOutput.mSlots.size() == 1U);
  BOOST_TEST(mOutput.mSlots[0].mModel == "base");
  BOOST_TEST(OrdersSent() == 0U);
  mCore->OnSlot(mOutput.mSlots[0].mRequestId, true, Millis(0), mNow);
  BOOST_TEST(OrdersSent() == 1U);
  PassServed(Seconds(30));
  BOOST_TEST(OrdersSent() == 1U);
  BOOST_TEST(mOutput.mHeartbeat.config_version == 5U);
}

// Guards against a flood of slot requests while the weight store denies slots.
BOOST_FIXTURE_TEST_CASE(CoreWhenSlotIsDeniedWaitsAsAsked, CoreMemoryFixture)
{
  ServeEngine();
  mCore->OnTable(TableOf(5), Millis(0), mNow);
  mCore->OnSlot(mOutput.mSlots.at(0).mRequestId, false, Seconds(10), mNow);
  PassServed(Seconds(9));
  BOOST_TEST(mOutput.mSlots.size() == 1U);
  PassServed(Seconds(2));
  BOOST_TEST(mOutput.mSlots.size() == 2U);
}

// Guards against an older table that replaces a newer one, and against a fencing token that is
// older than the engine's order.
BOOST_FIXTURE_TEST_CASE(CoreAfterNewerTableIgnoresOlderOne, CoreMemoryFixture)
{
  ServeEngine();
  mCore->OnTable(TableOf(7), Millis(0), mNow);
  mCore->OnTable(TableOf(6), Millis(0), mNow);
  BOOST_TEST(!mCore->WantsTable(6));
  BOOST_REQUIRE(mOutput.mSlots.size() == 1U);
  mCore->OnSlot(mOutput.mSlots[0].mRequestId, true, Millis(0), mNow);
  ServeEngine();
  BOOST_TEST(mEngineOrder.find(R"("version":7)") != std::string::npos);
  mCore->OnTableReported(7, Millis(0), mNow);
  Receive(kLink, Model(1));
  const auto calls = mOutput.RequestsOf("/v1/chat/completions");
  BOOST_REQUIRE(calls.size() == 1U);
  BOOST_TEST(calls[0].mBody.find(R"("fence":7)") != std::string::npos);
}

// Guards against calls that the engine keeps rejecting until the next periodic read of its order.
BOOST_FIXTURE_TEST_CASE(CoreWhenFenceIsRejectedReadsNewerOrderAtOnce, CoreMemoryFixture)
{
  ServeEngine();
  mEngineOrder = R"({"version":9})";
  Receive(kLink, Model(1));
  Done(mOutput.RequestsOf("/v1/chat/completions").at(0).mRequestId, "", 409);
  PassServed(Millis(300));
  Receive(kLink, Model(2));
  const auto calls = mOutput.RequestsOf("/v1/chat/completions");
  BOOST_REQUIRE(calls.size() == 2U);
  BOOST_TEST(calls[1].mBody.find(R"("fence":9)") != std::string::npos);
}

// Guards against overwriting a newer order that a replacement sidecar has sent to the engine.
BOOST_FIXTURE_TEST_CASE(CoreWhenEngineHasNewerOrderSendsNone, CoreMemoryFixture)
{
  mEngineOrder = R"({"version":9})";
  ServeEngine();
  mCore->OnTable(TableOf(8), Millis(0), mNow);
  PassServed(Seconds(60));
  BOOST_TEST(mOutput.mSlots.empty());
  BOOST_TEST(OrdersSent() == 0U);
}

}
