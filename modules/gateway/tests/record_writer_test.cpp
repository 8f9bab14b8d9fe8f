#include "record_writer.h"

#include "fake_log_store.h"
#include "loop_fixture.h"

namespace sycamore::gateway {

struct RecordWriterFixture : LoopFixture
{
  FakeLogStore mStore;
  RecordWriter mWriter{ mLoop.get_executor(),
                        mStore,
                        StreamName::Programs,
                        [](uint64_t, const std::vector<std::string>&) {},
                        nullptr,
                        RecordWriter::Limits{} };
  std::vector<base::Result<uint64_t>> mResults;

  boost::asio::awaitable<void> Append(std::string aRecord, base::Millis aLimit)
  {
    auto result = co_await mWriter.Append(std::move(aRecord), base::Clock::now() + aLimit);
    mResults.push_back(std::move(result));
  }
};

// Guards against one call for each record: the store takes a fixed time for each call, so that a
// burst would fill its queue for seconds.
BOOST_FIXTURE_TEST_CASE(RecordWriterManyRecordsAtOnceTakeFewCalls, RecordWriterFixture)
{
  mStore.mLatency = base::Millis(20);
  for (int i = 0; i < 200; ++i) {
    Spawn(Append("r" + std::to_string(i), base::Seconds(10)));
  }
  RunUntil([&] { return mResults.size() == 200; });
  BOOST_TEST(mStore.mStreams[StreamName::Programs].size() == 200U);
  BOOST_TEST(mStore.mAppends <= 6);
}

// Guards against a record that is lost, or reported as failed, when only the answer was lost.
BOOST_FIXTURE_TEST_CASE(RecordWriterLostAnswerIsRepeatedUntilAcknowledged, RecordWriterFixture)
{
  mStore.mLostAnswers = 1;
  Spawn(Append("r", base::Seconds(10)));
  RunUntil([&] { return mResults.size() == 1; });
  BOOST_TEST_REQUIRE(base::IsOk(mResults[0]));
  BOOST_TEST(base::ValueOf(mResults[0]) == 1U);
  BOOST_TEST(mStore.mStreams[StreamName::Programs].size() == 2U);
}

// Guards against a flood of calls during a store outage: refused calls have a cost and delay the
// recovery.
BOOST_FIXTURE_TEST_CASE(RecordWriterStoreDownFailsWithFewCalls, RecordWriterFixture)
{
  mStore.mDown = true;
  for (int i = 0; i < 50; ++i) {
    Spawn(Append("r", base::Millis(500)));
  }
  RunUntil([&] { return mResults.size() == 50; });
  for (const auto& result : mResults) {
    BOOST_TEST_REQUIRE(!base::IsOk(result));
    BOOST_TEST((base::ErrorOf(result).mKind == base::ErrorKind::LogUnavailable));
  }
  BOOST_TEST(mStore.mAppends <= 20);
}

// Guards against "certainly not appended" for a record that the store may have.
BOOST_FIXTURE_TEST_CASE(RecordWriterUnansweredRecordIsUncertain, RecordWriterFixture)
{
  mStore.mLostAnswers = 1000;
  Spawn(Append("r", base::Millis(200)));
  RunUntil([&] { return mResults.size() == 1; });
  BOOST_TEST_REQUIRE(!base::IsOk(mResults[0]));
  BOOST_TEST((base::ErrorOf(mResults[0]).mKind == base::ErrorKind::OutcomeUnknown));
}

// Guards against a separate call for each deferred record, and against deferred records that are
// never sent while nothing else is appended.
BOOST_FIXTURE_TEST_CASE(RecordWriterDeferredRecordIsSentWithTheNextBatch, RecordWriterFixture)
{
  const base::TimePoint deadline = base::Clock::now() + base::Seconds(10);
  mWriter.AppendDeferred("late1", deadline);
  Spawn(Append("r", base::Seconds(10)));
  RunUntil([&] { return mResults.size() == 1; });
  BOOST_TEST(mStore.mAppends == 1);
  BOOST_TEST(mStore.mStreams[StreamName::Programs].size() == 2U);
  mWriter.AppendDeferred("late2", deadline);
  RunUntil([&] { return mStore.mStreams[StreamName::Programs].size() == 3U; });
}

// A writer that joins records with commas.
struct RecordWriterJoinFixture : LoopFixture
{
  FakeLogStore mStore;
  RecordWriter mWriter{ mLoop.get_executor(),
                        mStore,
                        StreamName::Programs,
                        [](uint64_t, const std::vector<std::string>&) {},
                        [](const std::vector<std::string>& aRecords) {
                          std::string joined;
                          for (const std::string& record : aRecords) {
                            joined += record + ",";
                          }
                          return joined;
                        },
                        RecordWriter::Limits{} };
  std::vector<uint64_t> mOffsets;

  boost::asio::awaitable<void> Append(std::string aRecord)
  {
    const auto result =
      co_await mWriter.Append(std::move(aRecord), base::Clock::now() + base::Seconds(10));
    mOffsets.push_back(base::ValueOf(result));
  }
};

// Guards against a wrong offset for records that share one of the stream: a reservation would be
// evaluated before it is applied.
BOOST_FIXTURE_TEST_CASE(RecordWriterJoinedRecordsHaveTheOffsetOfTheirRecord,
                        RecordWriterJoinFixture)
{
  mStore.mStreams[StreamName::Programs].push_back("earlier");
  Spawn(Append("a"));
  Spawn(Append("b"));
  RunUntil([&] { return mOffsets.size() == 2; });
  BOOST_TEST((mOffsets == std::vector<uint64_t>{ 1, 1 }));
  BOOST_TEST(mStore.mStreams[StreamName::Programs].back() == "a,b,");
}

// A writer that has up to three calls of two records under way.
struct RecordWriterInFlightFixture : LoopFixture
{
  FakeLogStore mStore;
  RecordWriter mWriter{ mLoop.get_executor(),
                        mStore,
                        StreamName::Texts,
                        [](uint64_t, const std::vector<std::string>&) {},
                        nullptr,
                        RecordWriter::Limits{ base::Millis(0), 3, 2 } };
  size_t mAppended = 0;

  boost::asio::awaitable<void> Append(std::string aRecord)
  {
    const auto result =
      co_await mWriter.Append(std::move(aRecord), base::Clock::now() + base::Seconds(10));
    mAppended += base::IsOk(result) ? 1 : 0;
  }
};

// Guards against records that wait for the calls before them, each of which takes a round trip to a
// remote region, against more calls at once than are allowed, and against records that are left in
// the queue when a call ends.
BOOST_FIXTURE_TEST_CASE(RecordWriterCallsInFlightAreBounded, RecordWriterInFlightFixture)
{
  mStore.mLatency = base::Millis(50);
  for (int i = 0; i < 24; ++i) {
    Spawn(Append("r" + std::to_string(i)));
  }
  const base::TimePoint begin = base::Clock::now();
  RunUntil([&] { return mAppended == 24; });
  const auto took = base::Clock::now() - begin;
  BOOST_TEST(mStore.mStreams[StreamName::Texts].size() == 24U);
  BOOST_TEST(mStore.mMostAppendsAtOnce == 3);
  // One call after the other takes 12 round trips of 50 ms.
  BOOST_TEST((took < base::Millis(12 * 50)));
}

// Guards against a queue that stays behind when the store fails while several calls are under way.
BOOST_FIXTURE_TEST_CASE(RecordWriterInFlightCallsFailAreRepeated, RecordWriterInFlightFixture)
{
  mStore.mDown = true;
  for (int i = 0; i < 12; ++i) {
    Spawn(Append("r" + std::to_string(i)));
  }
  RunUntil([&] { return mStore.mAppends >= 6; });
  mStore.mDown = false;
  RunUntil([&] { return mAppended == 12; });
  BOOST_TEST(mStore.mStreams[StreamName::Texts].size() == 12U);
}

}
