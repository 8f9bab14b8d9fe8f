#include "sycamore/base/program_id.h"
#include "sycamore/base/random.h"

#include <boost/test/unit_test.hpp>

namespace sycamore::base {

struct ProgramIdFixture
{
  ProgramId mId{ 3, 120, RandomId() };
};

// Guards against ids that change their partition between entries.
BOOST_FIXTURE_TEST_CASE(ProgramIdFormattedParsesToItself, ProgramIdFixture)
{
  BOOST_TEST((ValueOf(ParseProgramId(ToString(mId))) == mId));
}

// Guards against two spellings of one program.
BOOST_FIXTURE_TEST_CASE(ProgramIdMalformedIsRefused, ProgramIdFixture)
{
  for (const char* text :
       { "", "1", "1-2", "a-2-0000000000000001", "1-2-1", "1--0000000000000001" }) {
    BOOST_TEST(!IsOk(ParseProgramId(text)), text);
  }
}

}
