#include "sycamore/programs/record_codec.h"

#include <boost/test/unit_test.hpp>

namespace sycamore::programs {

// Guards against a record that another process reads differently, in particular bytes that are no
// text.
BOOST_AUTO_TEST_CASE(RecordAfterEncodeAndDecodeIsTheSame)
{
  const std::string bytes("\0\xff\n", 3);
  const ProgramEvent events[] = {
    AttemptReserved{ "a", "p", 2304, 288 },
    AttemptEnded{ "a", "p", 16 },
    TurnCompleted{ "a", "p", "", bytes, bytes + "out", 24, "r-1", base::Millis(60000) },
  };
  for (const ProgramEvent& event : events) {
    const ProgramRecord record{ base::Millis(1234567890123), event };
    const auto decoded = DecodeRecord(EncodeRecord(record));
    BOOST_TEST_REQUIRE(decoded.has_value());
    BOOST_TEST((*decoded == record));
  }
}

// Guards against a crash on foreign or cut off records.
BOOST_AUTO_TEST_CASE(RecordThatIsCutOffIsRefused)
{
  const std::string whole =
    EncodeRecord({ base::Millis(1), AttemptReserved{ "attempt", "program", 1, 1 } });
  BOOST_TEST(!DecodeRecord("").has_value());
  BOOST_TEST(!DecodeRecord("not a record at all").has_value());
  for (size_t size = 0; size < whole.size() / 2; ++size) {
    BOOST_TEST(!DecodeRecord(std::string_view(whole).substr(0, size)).has_value(), size);
  }
}

}
