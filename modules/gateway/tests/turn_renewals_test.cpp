#include "turn_renewals.h"

#include "fake_log_store.h"
#include "loop_fixture.h"
#include "sycamore/programs/record_codec.h"
#include "sycamore/programs/turn_text.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sycamore::gateway {

using base::Millis;
using base::Seconds;

// Gateways that share a store which keeps records for five minutes.
struct TurnRenewalsFixture : LoopFixture
{
  static constexpr uint32_t kPartitions = 3;
  static constexpr Seconds kStoreRetention{ 300 };
  static constexpr Seconds kRetention{ 60 };

  struct Process
  {
    explicit Process(TurnRenewalsFixture& aFixture)
      : mLogs(aFixture.mLoop.get_executor(), aFixture.mStore, kPartitions)
      , mTexts(aFixture.mLoop.get_executor(), aFixture.mStore, 0, 1000000, NoWriter)
      , mRenewals(aFixture.mLoop.get_executor(), mLogs, mTexts, 1, kStoreRetention)
    {
      aFixture.Spawn(mLogs.Run());
    }

    static boost::asio::awaitable<std::optional<std::string>> NoWriter(uint32_t /* aWriter */,
                                                                       std::string /* aAttempt */)
    {
      co_return std::nullopt;
    }

    ProgramLogs mLogs;
    TurnTexts mTexts;
    TurnRenewals mRenewals;
  };

  FakeLogStore mStore;
  std::vector<std::unique_ptr<Process>> mProcesses;
  std::optional<bool> mKept;

  // Destroys the coroutines before the processes that they refer to.
  ~TurnRenewalsFixture() { mLoop.stop(); }

  Process& AddProcess()
  {
    mProcesses.push_back(std::make_unique<Process>(*this));
    RunUntil([&] { return mProcesses.back()->mLogs.Loaded(); });
    return *mProcesses.back();
  }

  // A turn of aProgram that ended aAge ago is in the store.
  void StoreTurn(const std::string& aProgram,
                 const std::string& aAttempt,
                 const std::string& aPrevious,
                 Millis aAge)
  {
    auto& texts = mStore.mStreams[StreamName::Texts];
    const programs::TurnText text{ aAttempt, "in-" + aAttempt, "out-" + aAttempt };
    programs::TurnCompleted turn;
    turn.mAttempt = aAttempt;
    turn.mProgram = aProgram;
    turn.mPrevious = aPrevious;
    turn.mReplica = "r";
    turn.mRetention = kRetention;
    turn.mTextSearchStart = texts.size();
    turn.mTextBytes = static_cast<uint32_t>(text.Bytes());
    texts.push_back(programs::EncodeTurnText(text));
    const uint32_t partition =
      ProgramLogs(mLoop.get_executor(), mStore, kPartitions).For(aProgram).Partition();
    mStore.mStreams[{ StreamName::Programs, partition }].push_back(
      programs::EncodeRecord({ base::TimeOfDay() - aAge, { turn } }));
  }

  // The ends of all streams.
  std::map<StreamId, uint64_t> Ends() const
  {
    std::map<StreamId, uint64_t> ends;
    for (const auto& [stream, records] : mStore.mStreams) {
      ends[stream] = records.size();
    }
    return ends;
  }

  static boost::asio::awaitable<void> Continue(Process& aProcess,
                                               std::string aLast,
                                               std::optional<bool>& aOutKept)
  {
    const auto chain = aProcess.mLogs.Programs().Chain(aLast);
    std::vector<TextReference> references;
    for (const std::string& attempt : *chain) {
      references.push_back({ attempt, aProcess.mLogs.Programs().FindTurn(attempt)->mText });
    }
    const base::TimePoint deadline = base::Clock::now() + Seconds(2);
    const auto texts = co_await aProcess.mTexts.Load(std::move(references), deadline);
    aProcess.mRenewals.Start(base::ValueOf(texts), kRetention + Seconds(2), deadline);
    aOutKept = co_await aProcess.mRenewals.EnsureKept(*chain, kRetention, deadline);
  }

  // Whether the turn that continues aLast may be acknowledged by aProcess.
  bool MayAcknowledge(Process& aProcess, const std::string& aLast)
  {
    mKept.reset();
    Spawn(Continue(aProcess, aLast, mKept));
    RunUntil([&] { return mKept.has_value(); });
    return *mKept;
  }

  // The texts of the chain of aLast as aProcess reads them.
  std::string PromptOf(Process& aProcess, const std::string& aLast)
  {
    std::string prompt;
    bool ended = false;
    const auto load = [](Process& aReader,
                         std::string aTurn,
                         std::string& aOut,
                         bool& aOutEnded) -> boost::asio::awaitable<void> {
      const auto chain = aReader.mLogs.Programs().Chain(aTurn);
      std::vector<TextReference> references;
      for (const std::string& attempt : chain.value_or(std::vector<std::string>{})) {
        references.push_back({ attempt, aReader.mLogs.Programs().FindTurn(attempt)->mText });
      }
      const auto texts =
        co_await aReader.mTexts.Load(std::move(references), base::Clock::now() + Seconds(2));
      if (const auto* read = std::get_if<std::vector<TurnTextPtr>>(&texts)) {
        for (const TurnTextPtr& text : *read) {
          aOut += text->mInput + text->mOutput + " ";
        }
      }
      aOutEnded = true;
    };
    Spawn(load(aProcess, aLast, prompt, ended));
    RunUntil([&] { return ended; });
    return prompt;
  }
};

// Guards against 404 or a text that is not found after a restart: a program that outlives the
// store's retention has turns whose records the store has dropped.
BOOST_FIXTURE_TEST_CASE(TurnRenewalsChainIsKnownAfterTheStoreDroppedItsFirstRecords,
                        TurnRenewalsFixture)
{
  StoreTurn("p0", "t1", "", Seconds(280));
  StoreTurn("p1", "t2", "t1", Seconds(250));
  StoreTurn("p2", "t3", "t2", Seconds(220));
  const auto ends = Ends();
  BOOST_TEST(MayAcknowledge(AddProcess(), "t3"));
  mStore.mFirstKept = ends;
  BOOST_TEST(PromptOf(AddProcess(), "t3") == "in-t1out-t1 in-t2out-t2 in-t3out-t3 ");
}

// Guards against bytes that the store bills for nothing: records that last are not appended again,
// and two turns at one gateway that continue the same chain share its renewal.
BOOST_FIXTURE_TEST_CASE(TurnRenewalsYoungRecordsAreNotAppendedAgain, TurnRenewalsFixture)
{
  StoreTurn("p0", "t1", "", Seconds(250));
  StoreTurn("p0", "t2", "t1", Seconds(100));
  Process& process = AddProcess();
  std::optional<bool> other;
  Spawn(Continue(process, "t2", other));
  BOOST_TEST(MayAcknowledge(process, "t2"));
  RunUntil([&] { return other.has_value(); });
  BOOST_TEST(*other);
  BOOST_TEST(mStore.mStreams[StreamName::Texts].size() == 3U);
  RunUntil([&] { return process.mLogs.Programs().FindTurn("t1")->mCopy == 1; });
  BOOST_TEST(MayAcknowledge(process, "t2"));
  BOOST_TEST(mStore.mStreams[StreamName::Texts].size() == 3U);
}

// Guards against a turn that is acknowledged although its chain will be dropped before it expires,
// and against one that is broken off although its chain lasts: the store is away for a moment.
BOOST_FIXTURE_TEST_CASE(TurnRenewalsWithoutStoreKeepOnlyChainsThatLast, TurnRenewalsFixture)
{
  StoreTurn("p0", "aging", "", Seconds(160));
  StoreTurn("p1", "expiring", "", Seconds(250));
  Process& process = AddProcess();
  PromptOf(process, "aging");
  PromptOf(process, "expiring");
  mStore.mDown = true;
  BOOST_TEST(MayAcknowledge(process, "aging"));
  BOOST_TEST(!MayAcknowledge(process, "expiring"));
  mStore.mDown = false;
  BOOST_TEST(MayAcknowledge(process, "expiring"));
}

// Guards against two gateways that renew the same turn, and against a copy of the first record that
// the store executes late: all readers must find the texts, whatever they have read before.
BOOST_FIXTURE_TEST_CASE(TurnRenewalsByTwoGatewaysAgree, TurnRenewalsFixture)
{
  StoreTurn("p0", "t1", "", Seconds(250));
  Process& first = AddProcess();
  Process& second = AddProcess();
  std::optional<bool> other;
  Spawn(Continue(second, "t1", other));
  BOOST_TEST(MayAcknowledge(first, "t1"));
  RunUntil([&] { return other.has_value(); });
  BOOST_TEST(*other);
  const auto isCopied = [](Process& aProcess) {
    return aProcess.mLogs.Programs().FindTurn("t1")->mCopy == 1;
  };
  RunUntil([&] { return isCopied(first) && isCopied(second); });
  StoreTurn("p0", "t1", "", Seconds(0)); // Late: its texts count for nothing.
  StoreTurn("p0", "t2", "t1", Seconds(0));
  RunUntil([&] { return first.mLogs.Programs().Chain("t2").has_value(); });
  mStore.mFirstKept[StreamName::Texts] = 1;
  Process& third = AddProcess();
  BOOST_TEST(PromptOf(third, "t2") == "in-t1out-t1 in-t2out-t2 ");
  BOOST_TEST(
    (third.mLogs.Programs().FindTurn("t1")->mText == first.mLogs.Programs().FindTurn("t1")->mText));
}

}
