#include "sycamore/programs/record_codec.h"

#include "sycamore/programs/turn_text.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

namespace sycamore::programs {

// Guards against a record that another process reads differently, in particular ids that are not 16
// hexadecimal digits, or whose number is zero.
BOOST_AUTO_TEST_CASE(RecordAfterEncodeAndDecodeIsTheSame)
{
  const std::string bytes("\0\xff\n", 3);
  for (const std::string id :
       { "a", "00ff12ab90cdef34", "0000000000000000", "00FF12AB90CDEF34", "0123456789abcdef0" }) {
    const ProgramRecord record{
      base::Millis(1234567890123),
      { AttemptReserved{ id, "p", 2304, 288 },
        AttemptEnded{ id, "p" + bytes, 16 },
        TurnCompleted{ id, "p", "", 24, "r-1", base::Millis(60000), 1ULL << 40, 700 },
        TurnCompleted{ "x", "p", id, 24, "r-1", base::Millis(60000), 0, 0 },
        TurnCompleted{ "y", "p", id, 24, "r-1", base::Millis(60000), 5, 6, 7, 8, 3 },
        TextPlaced{ id, 12 } }
    };
    const auto decoded = DecodeRecord(EncodeRecord(record));
    BOOST_TEST_REQUIRE(decoded.has_value());
    BOOST_TEST((*decoded == record), id);
  }
}

// Guards against programs that are mixed up because their ids are packed: only ids that come back
// letter for letter are stored as a number.
BOOST_AUTO_TEST_CASE(RecordKeepsTheIdsOfProgramsLetterForLetter)
{
  for (const std::string program : { "3fa81c",
                                     "f0a212eea0155",
                                     "ffffffffffffffff",
                                     "03fa81c",
                                     "3FA81C",
                                     "0",
                                     "",
                                     "10000000000000000",
                                     "3fa81c-1" }) {
    const ProgramRecord record{ base::Millis(1),
                                { AttemptReserved{ "a", program, 2304, 288 },
                                  AttemptEnded{ "a", program, 16 },
                                  TurnCompleted{
                                    "b", program, "", 24, "r", base::Millis(1), 1, 7, 5 } } };
    BOOST_TEST((DecodeRecord(EncodeRecord(record)) == record), program);
  }
}

// Guards against events that are lost or change their order when several records become one: the
// order decides which reservations are granted.
BOOST_AUTO_TEST_CASE(RecordsThatAreJoinedKeepAllEventsInOrder)
{
  const ProgramEvent first = AttemptReserved{ "a", "p", 2304, 288 };
  const ProgramEvent second = AttemptEnded{ "a", "p", 16 };
  const ProgramEvent third = AttemptReserved{ "b", "p", 2304, 288 };
  const std::string joined = JoinRecords({ EncodeRecord({ base::Millis(7), { first, second } }),
                                           EncodeRecord({ base::Millis(5), { third } }) });
  const ProgramRecord expected{ base::Millis(7), { first, second, third } };
  BOOST_TEST((DecodeRecord(joined) == expected));
}

// Guards against ends of attempts that are lost or counted for another program when several of them
// share one entry.
BOOST_AUTO_TEST_CASE(RecordWithManyEndsOfAProgramIsSmallAndKeepsThem)
{
  ProgramRecord record{ base::Millis(1), {} };
  for (uint64_t i = 0; i < 100; ++i) {
    record.mEvents.emplace_back(AttemptEnded{ fmt::format("{:016x}", i), "3fa81c", 100 + i });
  }
  record.mEvents.emplace_back(AttemptEnded{ "0123456789abcdef", "3fa81d", 7 });
  record.mEvents.emplace_back(AttemptEnded{ "not packed", "3fa81d", 8 });
  record.mEvents.emplace_back(AttemptEnded{ "0123456789abcde0", "3fa81d", 1ULL << 40 });
  record.mEvents.emplace_back(AttemptReserved{ "b", "3fa81d", 2304, 288 });
  record.mEvents.emplace_back(AttemptEnded{ "0123456789abcde1", "3fa81d", 9 });
  const std::string bytes = EncodeRecord(record);
  BOOST_TEST((DecodeRecord(bytes) == record));
  BOOST_TEST(bytes.size() < 2000U);
}

// Guards against texts that come back changed: a wrong byte makes the engine continue another
// conversation.
BOOST_AUTO_TEST_CASE(TextAfterEncodeAndDecodeIsTheSame)
{
  const std::string bytes("\0\xff\n", 3);
  for (const TurnText& text : { TurnText{ "a", bytes, bytes + "out" },
                                TurnText{ "a", "", "" },
                                TurnText{ "", "x", "" } }) {
    BOOST_TEST((DecodeTurnText(EncodeTurnText(text)) == text));
  }
  BOOST_TEST(!DecodeTurnText("not a text").has_value());
}

// Guards against a crash on foreign or truncated records.
BOOST_AUTO_TEST_CASE(RecordThatIsTruncatedIsRejected)
{
  const std::string whole =
    EncodeRecord({ base::Millis(1), { AttemptReserved{ "attempt", "program", 1, 1 } } });
  BOOST_TEST(!DecodeRecord("").has_value());
  BOOST_TEST(!DecodeRecord("not a record at all").has_value());
  for (size_t size = 0; size < whole.size() / 2; ++size) {
    BOOST_TEST(!DecodeRecord(std::string_view(whole).substr(0, size)).has_value(), size);
  }
}

}
