#include "sycamore/client/event_parser.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace sycamore::client {

struct EventParserFixture
{
  EventParser mParser;
  std::vector<ServerEvent> mEvents;

  void Feed(std::string_view aPiece)
  {
    mParser.Feed(aPiece, [this](const ServerEvent& aEvent) { mEvents.push_back(aEvent); });
  }
};

// Guards against events that depend on how the network cuts the stream.
BOOST_FIXTURE_TEST_CASE(EventParserFedByteWiseFindsSameEvents, EventParserFixture)
{
  const std::string text =
    "id: 3.1\nevent: token\ndata: {\"text\":\"a\"}\n\n: comment\r\nevent: done\r\ndata: x\r\ndata: "
    "y\r\n\r\n";
  Feed(text);
  const auto whole = mEvents;
  mEvents.clear();
  for (const char byte : text) {
    Feed(std::string_view(&byte, 1));
  }
  BOOST_TEST((mEvents == whole));
  BOOST_TEST_REQUIRE(whole.size() == 2U);
  BOOST_TEST((whole[0] == ServerEvent{ "3.1", "token", "{\"text\":\"a\"}" }));
  BOOST_TEST((whole[1] == ServerEvent{ "", "done", "x\ny" }));
}

// Guards against a cut event that is taken for a complete one.
BOOST_FIXTURE_TEST_CASE(EventParserIncompleteEventIsNotReported, EventParserFixture)
{
  Feed("event: done\ndata: {}\n");
  BOOST_TEST(mEvents.empty());
}

}
