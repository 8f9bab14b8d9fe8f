#include "sycamore/base/log_event.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <fstream>
#include <string>
#include <vector>

namespace sycamore::ctl {

struct EventsPageFixture
{
  std::vector<std::string> mRows; // Rows of the table of events.

  EventsPageFixture()
  {
    std::ifstream file(SYCAMORE_EVENTS_PAGE);
    BOOST_REQUIRE(file);
    for (std::string line; std::getline(file, line);) {
      if (line.size() > 3 && line.starts_with("| ") && line[2] >= '0' && line[2] <= '9') {
        mRows.push_back(line);
      }
    }
  }

  static std::string_view LevelName(base::LogLevel aLevel)
  {
    switch (aLevel) {
      case base::LogLevel::Debug:
        return "debug";
      case base::LogLevel::Info:
        return "info";
      case base::LogLevel::Warning:
        return "warning";
      case base::LogLevel::Error:
        break;
    }
    return "error";
  }
};

// Guards against an event that an operator finds in the log but not in docs/events.md, or with
// another number, name or level.
BOOST_FIXTURE_TEST_CASE(EventsPageListsAllEventsInOrder, EventsPageFixture)
{
  const auto events = base::AllLogEvents();
  BOOST_TEST_REQUIRE(mRows.size() == events.size());
  for (size_t i = 0; i < events.size(); ++i) {
    const auto expected = fmt::format("| {} | {} | {} | ",
                                      static_cast<int>(events[i].mEvent),
                                      events[i].mName,
                                      LevelName(events[i].mLevel));
    BOOST_TEST(mRows[i].starts_with(expected), mRows[i]);
    // The row goes on with a description.
    BOOST_TEST(mRows[i].size() > expected.size() + 10);
  }
}

}
