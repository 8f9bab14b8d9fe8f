#include "sycamore/testbed/log_standin.h"

#include "port_fixture.h"

#include "sycamore/platform/base64.h"
#include "sycamore/testbed/json.h"

#include <boost/test/unit_test.hpp>

namespace sycamore::testbed {

struct LogStandinFixture : PortFixture
{
  LogStandinFixture() { Use(std::make_unique<LogStandin>(LogSettings{})); }

  uint64_t Append(const std::string& aData)
  {
    return UintField(Ask("POST", "/streams/s", aData), "offset", 999);
  }

  // The records of a page as "offset:data" texts.
  std::vector<std::string> Records(const std::string& aQuery)
  {
    std::vector<std::string> records;
    const auto page = Ask("GET", "/streams/s?" + aQuery);
    for (const auto& value : page.at("records").as_array()) {
      const auto& record = value.as_object();
      const auto data = platform::DecodeBase64(TextField(record, "data"));
      records.push_back(std::to_string(UintField(record, "offset")) + ":" + data.value_or("?"));
    }
    return records;
  }

  using Texts = std::vector<std::string>;
};

// Guards against wrong offsets, on which every fold depends.
BOOST_FIXTURE_TEST_CASE(LogStandinAfterAppendsReturnsThemByOffset, LogStandinFixture)
{
  BOOST_TEST(Append("a") == 0U);
  BOOST_TEST(Append(std::string("\0\xff", 2)) == 1U);
  BOOST_TEST(Append("c") == 2U);
  BOOST_TEST(Records("from=1") == (Texts{ std::string("1:\0\xff", 4), "2:c" }));
  BOOST_TEST(Records("from=0&max_records=1") == Texts{ "0:a" });
  BOOST_TEST(Records("last=1") == Texts{ "2:c" });
  BOOST_TEST(UintField(Ask("GET", "/streams/s?from=9"), "next") == 3U);
}

// Guards against a reader that stands still because its byte limit is below the record size.
BOOST_FIXTURE_TEST_CASE(LogStandinWithSmallByteLimitReturnsOneRecord, LogStandinFixture)
{
  Append("aaaa");
  Append("b");
  BOOST_TEST(Records("from=0&max_bytes=1") == Texts{ "0:aaaa" });
  BOOST_TEST(Records("from=0&max_bytes=5") == (Texts{ "0:aaaa", "1:b" }));
}

// Guards against an error for streams that nobody has written yet.
BOOST_FIXTURE_TEST_CASE(LogStandinUnknownStreamIsEmpty, LogStandinFixture)
{
  const auto page = Ask("GET", "/streams/none?last=1");
  BOOST_TEST(UintField(page, "next", 9) == 0U);
  BOOST_TEST(page.at("records").as_array().empty());
}

// Guards against reuse of offsets after records were dropped.
BOOST_FIXTURE_TEST_CASE(LogStandinAfterTruncateStartsAtOffset, LogStandinFixture)
{
  Append("a");
  Append("b");
  Append("c");
  Control(R"({"truncate":{"stream":"s","before":2}})");
  BOOST_TEST(Records("from=0") == Texts{ "2:c" });
  BOOST_TEST(UintField(Ask("GET", "/streams/s?from=0"), "first") == 2U);
  BOOST_TEST(Append("d") == 3U);
}

// Guards against retention limits that are not enforced.
BOOST_FIXTURE_TEST_CASE(LogStandinWithRetentionDropsOldRecords, LogStandinFixture)
{
  Control(R"({"retain_records":2})");
  Append("aa");
  Append("bb");
  Append("cc");
  BOOST_TEST(Records("from=0") == (Texts{ "1:bb", "2:cc" }));
  Control(R"({"retain_bytes":3})");
  BOOST_TEST(Records("from=0") == Texts{ "2:cc" });
  Control(R"({"retain_age_ms":1000})");
  Advance(base::Millis(1001));
  BOOST_TEST(Records("from=0").empty());
  BOOST_TEST(UintField(Ask("GET", "/streams/s?last=1"), "next") == 3U);
}

// Guards against a log faster than the platform's, which would hide missing group commit.
BOOST_FIXTURE_TEST_CASE(LogStandinAboveItsRateAnswers429, LogStandinFixture)
{
  Control(R"({"appends_per_second":100})");
  int accepted = 0;
  for (int i = 0; i < 60; ++i) {
    accepted += Status(Request("POST", "/streams/s", "x")) == 201 ? 1 : 0;
  }
  BOOST_TEST(accepted == 25);
  Advance(base::Millis(100));
  for (int i = 0; i < 60; ++i) {
    accepted += Status(Request("POST", "/streams/s", "x")) == 201 ? 1 : 0;
  }
  BOOST_TEST(accepted == 35);
  BOOST_TEST(UintField(Ask("GET", "/stats"), "rate_limited") == 85U);
}

// Guards against test scripts with misspelt keys that silently inject nothing.
BOOST_FIXTURE_TEST_CASE(LogStandinUnknownControlKeyIsRejected, LogStandinFixture)
{
  BOOST_TEST(Status(Request("POST", "/control", R"({"retain":1})")) == 422);
  BOOST_TEST(Status(Request("POST", "/control", R"({"faults":[{"kind":"explode"}]})")) == 422);
  BOOST_TEST(Status(Request("POST", "/control", R"({"faults":[{"knd":"hang"}]})")) == 422);
}

}
