#include "turn_texts.h"

#include "fake_log_store.h"
#include "loop_fixture.h"

namespace sycamore::gateway {

using programs::TextLocation;
using programs::TurnText;

// An answer of the store to another region.
static constexpr base::Millis kRemoteLatency{ 64 };
// Time that a turn waits for its texts.
static constexpr base::Millis kCallLimit{ 900 };

// Two processes with one log.
struct TurnTextsFixture : LoopFixture
{
  FakeLogStore mStore;
  static constexpr uint32_t kWriter = 7; // The hash of the writer's instance.

  TurnTexts mWriter{ mLoop.get_executor(), mStore, 0, 1000000, NoWriter };
  TurnTexts mReader{ mLoop.get_executor(),
                     mStore,
                     1,
                     1000,
                     [this](uint32_t aWriter, std::string aAttempt)
                       -> boost::asio::awaitable<std::optional<std::string>> {
                       ++mQuestions;
                       const bool asked = aWriter == kWriter && mWriterAnswers;
                       co_return asked ? mWriter.FindRecord(mAnswerFor.value_or(aAttempt))
                                       : std::nullopt;
                     } };
  bool mWriterAnswers = true;
  std::optional<std::string> mAnswerFor; // The writer answers with the text of this attempt.
  int mQuestions = 0;
  const std::string mFiller = std::string(24000, 'x');
  std::optional<base::Result<std::vector<TurnTextPtr>>> mLoaded;
  std::vector<uint64_t> mOffsets;

  static boost::asio::awaitable<std::optional<std::string>> NoWriter(uint32_t /* aWriter */,
                                                                     std::string /* aAttempt */)
  {
    co_return std::nullopt;
  }

  boost::asio::awaitable<void> Append(TurnText aText)
  {
    const auto offset =
      co_await mWriter.Append(std::move(aText), base::Clock::now() + base::Seconds(10));
    mOffsets.push_back(base::IsOk(offset) ? base::ValueOf(offset) : ~0ULL);
  }

  boost::asio::awaitable<void> Load(std::vector<TextReference> aReferences, base::Millis aLimit)
  {
    mLoaded = co_await mReader.Load(std::move(aReferences), base::Clock::now() + aLimit);
  }

  // Appends texts t0, t1 and so on, one after the other.
  void AppendTexts(size_t aCount)
  {
    for (size_t i = 0; i < aCount; ++i) {
      const std::string number = std::to_string(i);
      Spawn(Append({ "t" + number, "in" + number, "out" + number + "\n" }));
      RunUntil([&] { return mOffsets.size() == i + 1; });
    }
  }

  // Texts t0, t1 and so on of other gateways, with inputs as long as the largest on the sheets.
  void FillStream(size_t aCount)
  {
    mStore.mMaxRecordsPerPage = aCount;
    for (size_t i = 0; i < aCount; ++i) {
      const std::string number = std::to_string(i);
      mStore.mStreams[StreamName::Texts].push_back(
        programs::EncodeTurnText({ "t" + number, mFiller, number }));
    }
  }

  // Loads the texts of aReferences and returns inputs and outputs one after the other; "failed" on
  // failure.
  std::string TextOf(std::vector<TextReference> aReferences,
                     base::Millis aLimit = base::Seconds(10))
  {
    mLoaded.reset();
    Spawn(Load(std::move(aReferences), aLimit));
    RunUntil([&] { return mLoaded.has_value(); });
    if (!base::IsOk(*mLoaded)) {
      return "failed";
    }
    std::string all;
    for (const TurnTextPtr& text : base::ValueOf(*mLoaded)) {
      all += text->mInput + text->mOutput;
    }
    return all;
  }
};

// Guards against a prompt with texts of other turns, or in another order.
BOOST_FIXTURE_TEST_CASE(TurnTextsOfOthersAreReadInTheOrderAskedFor, TurnTextsFixture)
{
  AppendTexts(12);
  std::vector<TextReference> chain;
  std::string expected;
  for (size_t i = 0; i < 12; ++i) {
    chain.push_back({ "t" + std::to_string(i), TextLocation{ mOffsets[i], true, 6 } });
    expected += "in" + std::to_string(i) + "out" + std::to_string(i) + "\n";
  }
  BOOST_TEST(TextOf(chain) == expected);
}

// Guards against a turn that cannot be continued because its writer ended before it recorded the
// exact offset: the text is searched from the estimate on.
BOOST_FIXTURE_TEST_CASE(TurnTextsWithoutExactOffsetAreFoundBySearch, TurnTextsFixture)
{
  mStore.mMaxRecordsPerPage = 3;
  AppendTexts(10);
  BOOST_TEST(TextOf({ { "t8", TextLocation{ 1, false, 6 } } }) == "in8out8\n");
}

// Guards against a turn that cannot be continued although its text is in the store: its writer was
// killed before it recorded the exact offset, and other gateways had appended 2.4 MB since it last
// read the end of the stream. Each try read the same first megabyte.
BOOST_FIXTURE_TEST_CASE(TurnTextsFarBehindTheEstimateAreFoundInTime, TurnTextsFixture)
{
  FillStream(100);
  mStore.mLatency = kRemoteLatency;
  const base::TimePoint begin = base::Clock::now();
  BOOST_TEST(TextOf({ { "t98", TextLocation{ 0, false, 6 } } }, kCallLimit) == mFiller + "98");
  BOOST_TEST((base::Clock::now() - begin < kCallLimit));
}

// Guards against tries that all end at the same place: what a search has read is not read again, by
// the next try or for another text.
BOOST_FIXTURE_TEST_CASE(TurnTextsSearchGoesOnWhereTheLastOneEnded, TurnTextsFixture)
{
  FillStream(300);
  mStore.mLatency = kRemoteLatency * 4;
  const auto search = [&](const std::string& aAttempt) {
    return TextOf({ { aAttempt, TextLocation{ 0, false, 6 } } }, kCallLimit);
  };
  int tries = 1;
  while (search("t298") == "failed" && tries < 5) {
    ++tries;
  }
  BOOST_TEST(tries > 1);
  BOOST_TEST(tries < 5);
  const int reads = mStore.mReads;
  BOOST_TEST(reads < 60);
  BOOST_TEST(search("t150") == mFiller + "150");
  BOOST_TEST(mStore.mReads == reads + 1);
}

// Load pattern: all gateways were killed, and many turns whose writers told no place are continued
// at the same time. Guards against a search for each of them, whose pages together exceed the
// memory of the process.
BOOST_FIXTURE_TEST_CASE(TurnTextsOfManyTurnsAreFoundByOneSearch, TurnTextsFixture)
{
  constexpr size_t kTurns = 40;
  FillStream(100);
  mStore.mLatency = kRemoteLatency;
  size_t found = 0;
  const auto load =
    [](TurnTextsFixture& aFixture, size_t aTurn, size_t& aFound) -> boost::asio::awaitable<void> {
    std::vector<TextReference> references{ { "t" + std::to_string(99 - aTurn),
                                             TextLocation{ 0, false, 24000 } } };
    const auto texts =
      co_await aFixture.mReader.Load(std::move(references), base::Clock::now() + kCallLimit);
    aFound += base::IsOk(texts) ? 1 : 0;
  };
  for (size_t turn = 0; turn < kTurns; ++turn) {
    Spawn(load(*this, turn, found));
  }
  RunUntil([&] { return found == kTurns; });
  // The pages of one search, and a page for each of the other turns.
  BOOST_TEST(mStore.mReads < 70);
}

// Guards against a wrong text, or an endless search, for a turn whose text is not in the stream.
BOOST_FIXTURE_TEST_CASE(TurnTextsThatAreMissingAreAnError, TurnTextsFixture)
{
  AppendTexts(3);
  BOOST_TEST(TextOf({ { "other", TextLocation{ 0, false, 6 } } }) == "failed");
  BOOST_TEST(TextOf({ { "other", TextLocation{ 1, true, 6 } } }) == "failed");
  mStore.mDown = true;
  BOOST_TEST(TextOf({ { "t1", TextLocation{ 1, true, 6 } } }, base::Millis(300)) == "failed");
}

// Guards against reads of texts that are cached, and against a cache without bound.
BOOST_FIXTURE_TEST_CASE(TurnTextsInMemoryAreBoundedAndNotReadAgain, TurnTextsFixture)
{
  const std::string large(400, 'x');
  for (size_t i = 0; i < 4; ++i) {
    Spawn(Append({ "t" + std::to_string(i), large, "" }));
    RunUntil([&] { return mOffsets.size() == i + 1; });
  }
  const auto reference = [&](size_t aIndex) {
    return std::vector<TextReference>{ { "t" + std::to_string(aIndex),
                                         TextLocation{ mOffsets[aIndex], true, 400 } } };
  };
  BOOST_TEST(TextOf(reference(0)) == large);
  BOOST_TEST(TextOf(reference(1)) == large);
  mStore.mReads = 0;
  BOOST_TEST(TextOf(reference(0)) == large);
  BOOST_TEST(mStore.mReads == 0);
  BOOST_TEST(TextOf(reference(2)) == large); // Evicts t1, the least recently used.
  BOOST_TEST(mReader.CachedBytes() <= 1000U);
  BOOST_TEST(TextOf(reference(0)) == large);
  BOOST_TEST(mStore.mReads == 1);
}

// Guards against long searches: the estimate follows the end of the stream.
BOOST_FIXTURE_TEST_CASE(TurnTextsEstimateIsNeverBehindItsOwnAppends, TurnTextsFixture)
{
  Spawn(mReader.Run());
  AppendTexts(5);
  BOOST_TEST(mWriter.Next() == 5U);
  BOOST_TEST(mReader.Next() <= 5U);
}

// Guards against a read of the store, 70 ms from a remote region and 64 KB for a text whose place
// is not known yet, while the gateway that ran the turn before is near and has its text in memory.
BOOST_FIXTURE_TEST_CASE(TurnTextsTextComesFromItsWriterWithoutTheStore, TurnTextsFixture)
{
  AppendTexts(3);
  mStore.mReads = 0;
  const TextLocation estimate{ 0, false, 6, 0, kWriter };
  BOOST_TEST(TextOf({ { "t1", estimate }, { "t2", estimate } }) == "in1out1\nin2out2\n");
  BOOST_TEST(mQuestions == 2);
  BOOST_TEST(mStore.mReads == 0);
}

// Guards against a turn that is refused, or gets another turn's text, because its writer has gone
// or answers wrongly.
BOOST_FIXTURE_TEST_CASE(TurnTextsWriterThatCannotAnswerIsReplacedByTheStore, TurnTextsFixture)
{
  AppendTexts(3);
  mWriterAnswers = false;
  BOOST_TEST(TextOf({ { "t1", TextLocation{ 1, true, 6, 0, kWriter } } }) == "in1out1\n");
  mWriterAnswers = true;
  mAnswerFor = "t0";
  BOOST_TEST(TextOf({ { "t2", TextLocation{ 2, true, 6, 0, kWriter } } }) == "in2out2\n");
}

}
